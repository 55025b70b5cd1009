package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
)

// maxLineBytes bounds the length of a log line; a longer line is an error.
const maxLineBytes = 1 << 20

func newStory() *cobra.Command {
	return &cobra.Command{
		Use:     "story REQUEST",
		GroupID: "queries",
		Short:   "Print the log lines of one request",
		Long: "Read a host's log from standard input and print the lines of one request, the earlier\n" +
			"lines about the targets of that request, and the lines about the published state of the\n" +
			"host around that time.",
		Example: "  lacewingyard story 9c41d07be2a35f68 < host.log",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return printRequestLog(cmd.InOrStdin(), cmd.OutOrStdout(), args[0])
		},
	}
}

// logLine is a log line in the JSON format of hclog.
type logLine struct {
	prefix string // text before the JSON object
	fields map[string]any
}

// printRequestLog copies from in to out the log lines of a request, the earlier lines that
// belong to no request and whose target the request's first line names, and the lines about the
// published state of the host around that time. Text that is not JSON is skipped. A log without
// a line of the request is an error.
func printRequestLog(in io.Reader, out io.Writer, request string) error {
	var lines []logLine
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		// A log collector may have put a time or a name before the JSON object.
		before, text, ok := strings.Cut(scanner.Text(), "{")
		line := logLine{prefix: before}
		if ok && json.Unmarshal([]byte("{"+text), &line.fields) == nil {
			lines = append(lines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return errors.Wrap(err, "read log")
	}
	first := slices.IndexFunc(lines, func(l logLine) bool { return l.fields["request"] == request })
	if first < 0 {
		return errors.Newf("no line of request %s among %d lines", request, len(lines))
	}
	state := stateLines(lines, first)
	for i, l := range lines {
		target, named := l.fields["target"].(string)
		if l.fields["request"] == request || state[i] ||
			named && i < first && l.fields["request"] == nil && lines[first].mentions(target) {
			printLogLine(out, l.fields)
		}
	}
	return nil
}

// mentions reports whether a line names a target in its fields target, tries or
// lacking.
func (l logLine) mentions(target string) bool {
	if l.fields["target"] == target {
		return true
	}
	for _, field := range []string{"tries", "lacking"} {
		values, _ := l.fields[field].([]any)
		if slices.ContainsFunc(values, func(v any) bool { return strings.Contains(fmt.Sprint(v), target) }) {
			return true
		}
	}
	return false
}

func printLogLine(out io.Writer, l map[string]any) {
	fmt.Fprintf(out, "%v %v\n", l["@timestamp"], l["@message"])
	names := make([]string, 0, len(l))
	for name := range l {
		if !strings.HasPrefix(name, "@") {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		if values, ok := l[name].([]any); ok {
			for _, v := range values {
				fmt.Fprintf(out, "  %s: %v\n", name, v)
			}
			continue
		}
		fmt.Fprintf(out, "  %s: %v\n", name, l[name])
	}
}
