// Command lacewingyard contains the daemon of a host, which forwards queries of callers
// to targets, and the command-line tools of its operators.
//
// This package owns the command line: flags, output formats, exit status and signals.
// The subcommands run in internal/, which makes all decisions on requests. Data goes
// to standard output; progress, identifiers and errors go to standard error. "edge"
// writes its log to standard output. One command runs per process.
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
	exitFailure = 1 // the command ran and failed
	exitUsage   = 2 // the command line, a settings file or a configuration document is invalid
)

// usageError marks an error in the command line, a settings file or a configuration
// document. The exit status is exitUsage.
type usageError struct{ error }

func (e usageError) Unwrap() error { return e.error }

// runError marks an error of a command that ran. Errors that are not marked are
// usage errors, such as those that cobra returns for the command line.
type runError struct{ error }

func (e runError) Unwrap() error { return e.error }

// wrapRunErrors makes a command's RunE wrap its errors in runError, except those that are a
// usageError.
func wrapRunErrors(cmd *cobra.Command) {
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
	// After the first signal the default action is restored, so that a second signal
	// terminates the process unless the command handles it.
	context.AfterFunc(ctx, stop)
	err := newRoot().ExecuteContext(ctx)
	stop()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "lacewingyard:", err)
	var failed runError
	if errors.As(err, &failed) {
		os.Exit(exitFailure)
	}
	os.Exit(exitUsage)
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "lacewingyard",
		Short: "A query tier over many shards",
		Long: "lacewingyard takes a caller's request, sends it to the targets that hold the shards,\n" +
			"and returns one answer with its true coverage.\n\n" +
			"Exit status: 0 success, 1 failure, 2 invalid command line or settings.",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddGroup(
		&cobra.Group{ID: "commands", Title: "Commands (run or change something):"},
		&cobra.Group{ID: "queries", Title: "Queries (read only):"},
	)
	root.AddCommand(
		newServe(), newEdge(), newEdgeStatus(), newEdgeExplain(), newSoak(), newStory(), newDrain(), newDemo(), newBench(), newLookup(),
		newCheck(), newExplain(), newEntries(), newQuery(), newStatus(), newKeyDigest(), newTrace(), newVersion(),
	)
	for _, cmd := range root.Commands() {
		wrapRunErrors(cmd)
	}
	return root
}
