package main

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"

	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/internal/telemetry"
	"github.com/spf13/cobra"
)

var traceIDPattern = regexp.MustCompile("^[0-9a-f]{32}$")

// newTraceparent returns a traceparent header with a new trace identifier and the
// sampled flag, and the identifier. The parent span, this command, is not recorded.
func newTraceparent() (header, trace string) {
	var id [24]byte
	_, _ = rand.Read(id[:]) // never fails
	trace = hex.EncodeToString(id[:16])
	return "00-" + trace + "-" + hex.EncodeToString(id[16:]) + "-01", trace
}

// traceRequest adds a sampled traceparent header to a request and writes the trace
// identifier to standard error.
func traceRequest(cmd *cobra.Command, header http.Header) {
	parent, trace := newTraceparent()
	header.Set(api.HeaderTrace, parent)
	fmt.Fprintln(cmd.ErrOrStderr(), "trace:", trace)
}

func newTrace() *cobra.Command {
	var files []string
	cmd := &cobra.Command{
		Use:     "trace ID",
		GroupID: "queries",
		Short:   "Show the hops of one request from trace files",
		Long: "Show the spans of one trace as a tree: the entry host, the messages to branch\n" +
			"hosts and homes, and every sub-request to a target with its time in the queue and\n" +
			"at the target. Hosts write spans every 5 s to \"traces.file\" of the process settings;\n" +
			"give the files of several hosts to see all hops.",
		Example: "  lacewingyard query --entry 127.0.0.1:8080 --service tagdesk --term red --trace\n" +
			"  lacewingyard trace --file traces.json 4bf92f3577b34da6a3ce929d0e0e4736",
		Args: cobra.ExactArgs(1),
	}
	format := outputFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if !traceIDPattern.MatchString(args[0]) {
			return usageError{fmt.Errorf("%q is not the identifier of a trace, 32 hexadecimal digits", args[0])}
		}
		var spans []*telemetry.Span
		for _, name := range files {
			file, err := os.Open(name)
			if err != nil {
				return usageError{err}
			}
			read, err := telemetry.ReadSpans(file, args[0])
			_ = file.Close()
			if err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
			spans = append(spans, read...)
		}
		if len(spans) == 0 {
			return fmt.Errorf("%s: no span of trace %s; hosts write spans every 5 s", strings.Join(files, ", "), args[0])
		}
		slices.SortStableFunc(spans, func(a, b *telemetry.Span) int { return a.Start.Compare(b.Start) })
		return format.print(cmd.OutOrStdout(), spans, func(w io.Writer) { printTrace(w, spans) })
	}
	cmd.Flags().StringArrayVar(&files, "file", nil, "trace file; may be repeated")
	_ = cmd.MarkFlagRequired("file")
	return cmd
}

// printTrace prints the spans, sorted by start time, as a tree. Spans whose parent is
// not among them are roots.
func printTrace(w io.Writer, spans []*telemetry.Span) {
	present := map[string]bool{}
	for _, s := range spans {
		present[s.ID] = true
	}
	children := map[string][]*telemetry.Span{}
	for _, s := range spans {
		parent := s.Parent
		if !present[parent] {
			parent = ""
		}
		children[parent] = append(children[parent], s)
	}
	fmt.Fprintln(w, "SPAN\tHOST\tSTART ms\tTOOK ms\tDETAILS")
	var walk func(parent string, depth int)
	walk = func(parent string, depth int) {
		for _, s := range children[parent] {
			fmt.Fprintf(w, "%s%s\t%s\t%.1f\t%.1f\t%s\n", strings.Repeat("  ", depth), s.Name, s.Host,
				s.Start.Sub(spans[0].Start).Seconds()*1000, s.Duration().Seconds()*1000, formatAttributes(s))
			walk(s.ID, depth+1)
		}
	}
	walk("", 0)
}

// tableAttributes lists the attributes that a row of the tree shows, in this order.
var tableAttributes = []string{
	"service", "coverage", "snapshot", "branch.place", "branch.ordinal", "parts", "target", "cause", "queue_us", "service_us",
	"target.died", "outcome", "reason",
}

// formatAttributes returns the attributes of tableAttributes that the span has, as
// key=value pairs; those with the value false are left out.
func formatAttributes(s *telemetry.Span) string {
	var shown []string
	for _, key := range tableAttributes {
		value, ok := s.Attributes[key]
		if !ok || value == false {
			continue
		}
		shown = append(shown, fmt.Sprintf("%s=%v", key, value))
	}
	return strings.Join(shown, " ")
}
