package main

import (
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/pkg/tenant"
	"github.com/spf13/cobra"
)

// maxKeyFileBytes limits what is read as a key.
const maxKeyFileBytes = 4096

// digestReport is the output of the key-digest command.
type digestReport struct {
	Digest string `json:"digest"`
}

func newKeyDigest() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "key-digest [FILE]",
		GroupID: "queries",
		Short:   "Print the digest of a tenant's key",
		Long: "Read a key from a file, or from standard input without one, and print its SHA-256\n" +
			"digest for key_digests in the configuration document. A key is not taken from the\n" +
			"command line, which other processes can read. Space around the key is left out.",
		Example: "  openssl rand -hex 24 > anna.key && lacewingyard key-digest anna.key",
		Args:    cobra.MaximumNArgs(1),
	}
	format := outputFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		in := cmd.InOrStdin()
		if len(args) > 0 {
			file, err := os.Open(args[0])
			if err != nil {
				return usageError{err}
			}
			defer file.Close()
			in = file
		}
		key, err := readKey(in)
		if err != nil {
			return usageError{err}
		}
		digest := tenant.Digest(key)
		report := digestReport{Digest: hex.EncodeToString(digest[:])}
		return format.print(cmd.OutOrStdout(), report, func(w io.Writer) { fmt.Fprintln(w, report.Digest) })
	}
	return cmd
}

// readKey reads a key that a header can carry. Its errors do not contain the key.
func readKey(in io.Reader) (string, error) {
	data, err := io.ReadAll(io.LimitReader(in, maxKeyFileBytes+1))
	if err != nil {
		return "", err
	}
	key := strings.TrimSpace(string(data))
	c := tenant.ParseBearer([]string{tenant.Scheme + " " + key})
	if len(data) > maxKeyFileBytes || c.State != tenant.Presented || c.Digest != tenant.Digest(key) || strings.ContainsAny(key, "\r\n") {
		return "", fmt.Errorf("not a key: it must be one word of at most %d bytes, without commas", maxKeyFileBytes)
	}
	return key, nil
}

// keyFlag adds the flag for the key of a request.
func keyFlag(cmd *cobra.Command, file *string) {
	cmd.Flags().StringVar(file, "key-file", "", "file with the key of a tenant; empty for a request without a key")
}

// setKey sets the header with the key in a file, if one is named.
func setKey(header http.Header, file string) error {
	if file == "" {
		return nil
	}
	in, err := os.Open(file)
	if err != nil {
		return fmt.Errorf("--key-file: %w", err)
	}
	defer in.Close()
	key, err := readKey(in)
	if err != nil {
		return fmt.Errorf("--key-file %s: %w", file, err)
	}
	header.Set(api.HeaderAuthorization, tenant.Scheme+" "+key)
	return nil
}
