// Command lacewingyard is the query tier: the daemon of an entry host and the
// tools of its operators.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// Exit codes.
const (
	exitFailed = 1 // the command ran and failed
	exitUsage  = 2 // the command line or a settings file is wrong
)

// usageError marks an error that the user can mend in the command line or in a
// settings file.
type usageError struct{ error }

func (e usageError) Unwrap() error { return e.error }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	// A second signal gets the default action, the end of the process, unless
	// the command handles it.
	context.AfterFunc(ctx, stop)
	err := newRoot().ExecuteContext(ctx)
	stop()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "lacewingyard:", err)
	var usage usageError
	if errors.As(err, &usage) {
		os.Exit(exitUsage)
	}
	os.Exit(exitFailed)
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "lacewingyard",
		Short: "A query tier over many shards",
		Long: "lacewingyard takes a caller's request, asks the targets that hold the shards,\n" +
			"and returns one answer with its true coverage.\n\n" +
			"Exit status: 0 success, 1 failure, 2 wrong command line or settings.",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.AddGroup(
		&cobra.Group{ID: "commands", Title: "Commands (run something):"},
		&cobra.Group{ID: "queries", Title: "Queries (ask something):"},
	)
	root.AddCommand(
		newServe(), newDemo(), newBench(), newLookup(),
		newCheck(), newExplain(), newEntries(), newQuery(), newStatus(), newVersion(),
	)
	return root
}
