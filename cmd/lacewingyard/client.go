package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/internal/httpanswer"
	"github.com/spf13/cobra"
)

// clientTimeout bounds one request to a host. It exceeds every deadline that a host
// accepts, unless deadline_max is configured above it.
const clientTimeout = 30 * time.Second

// callHost sends a request to the host at an IP address with a port and decodes the
// response into answer. A malformed address is a usageError; an error response is returned
// as an error with its outcome and message.
func callHost(ctx context.Context, method, address, path string, header http.Header, body io.Reader, answer any) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return usageError{fmt.Errorf("%q is not an IP address with a port, such as 127.0.0.1:8080", address)}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return usageError{err}
	}
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := (&http.Client{Transport: httpanswer.DefaultTransport, Timeout: clientTimeout}).Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := api.ReadAnswer(resp, answer); err != nil {
		return fmt.Errorf("%s: %w", address, err)
	}
	return nil
}

// setDeadline sets the deadline header if the --deadline flag was given. A deadline under
// 1 ms is an error.
func setDeadline(cmd *cobra.Command, header http.Header, deadline time.Duration) error {
	if deadline == 0 && !cmd.Flags().Changed("deadline") {
		return nil
	}
	if deadline < time.Millisecond {
		return fmt.Errorf("--deadline must be at least 1ms, not %s", deadline)
	}
	header.Set(api.HeaderDeadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	return nil
}
