package main

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"text/tabwriter"

	"github.com/spf13/cobra"
)

// outputFormat is the value of the -o flag: json or table.
type outputFormat string

func (o *outputFormat) String() string { return string(*o) }
func (o *outputFormat) Type() string   { return "json|table" }
func (o *outputFormat) Set(text string) error {
	if text != "json" && text != "table" {
		return fmt.Errorf("%q is not json or table", text)
	}
	*o = outputFormat(text)
	return nil
}

// outputFlag adds the -o flag, with table as the default.
func outputFlag(cmd *cobra.Command) *outputFormat {
	o := outputFormat("table")
	cmd.Flags().VarP(&o, "output", "o", "output format")
	return &o
}

// jsonAlias adds the --json flag, the older name of "-o json".
func (o *outputFormat) jsonAlias(cmd *cobra.Command) {
	cmd.Flags().BoolFunc("json", "same as -o json", func(text string) error {
		on, err := strconv.ParseBool(text)
		if err == nil && on {
			*o = "json"
		}
		return err
	})
}

// print writes value as JSON or, in table format, what rows writes: cells separated
// by tabs, which are aligned.
func (o outputFormat) print(w io.Writer, value any, rows func(w io.Writer)) error {
	if o == "json" {
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		return enc.Encode(value)
	}
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	rows(table)
	return table.Flush()
}

// logLevel is the value of a --log-level flag: debug, info, warn or error.
type logLevel string

func (l *logLevel) String() string { return string(*l) }
func (l *logLevel) Type() string   { return "debug|info|warn|error" }
func (l *logLevel) Set(text string) error {
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, text) {
		return fmt.Errorf("%q is not debug, info, warn or error", text)
	}
	*l = logLevel(text)
	return nil
}

// logLevelFlag adds the --log-level flag, which sets the log level of the hosts that a
// command starts.
func logLevelFlag(cmd *cobra.Command, level string) *logLevel {
	l := logLevel(level)
	cmd.Flags().Var(&l, "log-level", "log level of the hosts")
	return &l
}
