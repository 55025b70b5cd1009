package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/api"
)

const clientTimeout = 30 * time.Second

// call sends a request to a host and decodes the answer. An error answer
// becomes an error with its outcome and message.
func call(ctx context.Context, method, address, path string, header http.Header, body io.Reader, answer any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return usageError{err}
	}
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := (&http.Client{Timeout: clientTimeout}).Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		var e api.Error
		if err := json.NewDecoder(resp.Body).Decode(&e); err != nil {
			return fmt.Errorf("%s answered %s", address, resp.Status)
		}
		return fmt.Errorf("%s (%s): %s", e.Outcome, e.Reason, e.Message)
	}
	if err := json.NewDecoder(resp.Body).Decode(answer); err != nil {
		return fmt.Errorf("decode the answer of %s: %w", address, err)
	}
	return nil
}
