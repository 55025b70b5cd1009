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

// longestLine bounds a log line that is read.
const longestLine = 1 << 20

func newStory() *cobra.Command {
	return &cobra.Command{
		Use:     "story REQUEST",
		GroupID: "queries",
		Short:   "Print what a host's log says of one request",
		Long: "Read log lines of hosts from standard input and print those of one request, and\n" +
			"what the same host wrote of the targets that it was sent to.",
		Example: "  lacewingyard story 9c41d07be2a35f68 < host.log",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return story(cmd.InOrStdin(), cmd.OutOrStdout(), args[0])
		},
	}
}

// logLine is a line of a log as hclog writes it.
type logLine map[string]any

func story(in io.Reader, out io.Writer, request string) error {
	var lines []logLine
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, longestLine)
	for scanner.Scan() {
		// Whatever wrote the log may have put a time or a name before the line.
		_, text, ok := strings.Cut(scanner.Text(), "{")
		var line logLine
		if ok && json.Unmarshal([]byte("{"+text), &line) == nil {
			lines = append(lines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return errors.Wrap(err, "log")
	}
	found := slices.IndexFunc(lines, func(l logLine) bool { return l["request"] == request })
	if found < 0 {
		return errors.Newf("no line of request %s among %d lines", request, len(lines))
	}
	for i, l := range lines {
		if l["request"] == request {
			printLine(out, l)
			continue
		}
		target, named := l["target"].(string)
		if named && i < found && l["request"] == nil && lines[found].names(target) {
			printLine(out, l)
		}
	}
	return nil
}

// names reports whether a line speaks of a target.
func (l logLine) names(target string) bool {
	if l["target"] == target {
		return true
	}
	for _, field := range []string{"tries", "lacking"} {
		values, _ := l[field].([]any)
		if slices.ContainsFunc(values, func(v any) bool { return strings.Contains(fmt.Sprint(v), target) }) {
			return true
		}
	}
	return false
}

func printLine(out io.Writer, l logLine) {
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
