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

// runError marks an error of a command that ran. Errors without it come from
// the check of the command line.
type runError struct{ error }

func (e runError) Unwrap() error { return e.error }

// markRun marks the errors of a command's run that are not usage errors.
func markRun(cmd *cobra.Command) {
	run := cmd.RunE
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		err := run(cmd, args)
		var usage usageError
		if err == nil || errors.As(err, &usage) {
			return err
		}
		return runError{err}
	}
}

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
	var failed runError
	if errors.As(err, &failed) {
		os.Exit(exitFailed)
	}
	os.Exit(exitUsage)
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
	root.AddGroup(
		&cobra.Group{ID: "commands", Title: "Commands (run something):"},
		&cobra.Group{ID: "queries", Title: "Queries (ask something):"},
	)
	root.AddCommand(
		newServe(), newEdge(), newEdgeStatus(), newEdgeExplain(), newSoak(), newStory(), newDrain(), newDemo(), newBench(), newLookup(),
		newCheck(), newExplain(), newEntries(), newQuery(), newStatus(), newTrace(), newVersion(),
	)
	for _, cmd := range root.Commands() {
		markRun(cmd)
	}
	return root
}
