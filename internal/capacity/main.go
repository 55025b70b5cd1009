// Command capacity measures the costs per unit that docs/CAPACITY.md calls slopes, such
// as bytes per target, and prints them as tables like those of the page, each with the
// figure on the page for comparison.
//
//	go run ./internal/capacity                                # about 4 minutes
//	go run ./internal/capacity -only memory -save slopes.txt  # one part of it
//	go run ./internal/capacity -from slopes.txt               # tables of saved output
//
// The command runs the benchmarks listed in parts, one after the other, with the go
// command. It needs the source tree and is not part of the tier. It changes no file but
// that of -save. The exit status does not depend on the figures: it is 1 if a benchmark
// failed, the file of -save could not be written or, without -only, a row was not
// measured, and 2 if the command line is invalid or the file of -page or -from cannot be
// read.
package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"slices"
	"strings"
	"time"
)

// part is one run of go test. Each takes less than two minutes on an idle machine.
type part struct {
	name string
	args []string
	env  []string
}

var parts = []part{
	{name: "memory", args: []string{"-bench", "Capacity", "-benchtime", "3x", "./internal/daemon"}},
	{name: "processor", args: []string{"-bench", "BenchmarkCost", "-benchtime", "2000x", "./internal/daemon"}},
	{name: "planning", args: []string{"-bench", "Plan|Pick", "./pkg/routing", "./pkg/snapshot"}},
	{name: "document", args: []string{"-bench", "Document", "-benchtime", "3x", "./internal/daemon"}},
	{name: "model", args: []string{"-bench", "SpreadModel/hosts=1300", "-benchtime", "20x", "./internal/daemon"}},
	{name: "spread", args: []string{"-bench", "Spread$", "-benchtime", "1x", "./internal/daemon"}, env: []string{"SPREAD_HOSTS=32"}},
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// run parses the command line, runs the benchmarks or reads saved output, prints the
// tables and returns the exit status.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("capacity", flag.ContinueOnError)
	flags.SetOutput(stderr)
	from := flags.String("from", "", "file written by -save; print its tables instead of running the benchmarks")
	only := flags.String("only", "", "run only one part: memory, processor, planning, document, model or spread")
	save := flags.String("save", "", "file to which the benchmark output is appended")
	page := flags.String("page", "docs/CAPACITY.md", "Markdown file whose tables hold the figures to compare with")
	if err := flags.Parse(args); err != nil {
		return 2
	}
	text, err := os.ReadFile(*page)
	if err == nil && *only != "" && !slices.ContainsFunc(parts, func(p part) bool { return p.name == *only }) {
		err = fmt.Errorf("-only: unknown part %q", *only)
	}
	var output []byte
	if err == nil && *from != "" {
		output, err = os.ReadFile(*from)
	}
	if err != nil {
		fmt.Fprintln(stderr, "capacity:", err)
		return 2
	}
	status := 0
	if *from == "" {
		if output, err = measure(ctx, *only, stderr); err != nil {
			fmt.Fprintln(stderr, "capacity:", err)
			status = 1
		}
		if err := appendFile(*save, output); err != nil {
			fmt.Fprintln(stderr, "capacity:", err)
			status = 1
		}
	}
	if missing := printTables(stdout, parseBenchmarks(output), parsePage(string(text))); missing > 0 && *only == "" {
		fmt.Fprintf(stderr, "capacity: %d rows were not measured\n", missing)
		status = 1
	}
	return status
}

// measure runs all parts, or only the one named, and returns the output of the
// benchmarks. The other parts still run if a part fails; the error lists the failed ones.
func measure(ctx context.Context, only string, stderr io.Writer) ([]byte, error) {
	var output bytes.Buffer
	var failed []string
	for _, p := range parts {
		if only != "" && p.name != only {
			continue
		}
		fmt.Fprintf(stderr, "%s: %s go test -run ^$ %s\n", p.name, strings.Join(p.env, " "), strings.Join(p.args, " "))
		start := time.Now()
		cmd := exec.CommandContext(ctx, "go", append([]string{"test", "-run", "^$"}, p.args...)...)
		cmd.Env = append(os.Environ(), p.env...)
		cmd.Stdout, cmd.Stderr = &output, stderr
		if err := cmd.Run(); err != nil {
			failed = append(failed, fmt.Sprintf("%s: %v", p.name, err))
		}
		fmt.Fprintf(stderr, "%s: finished after %.0f s\n", p.name, time.Since(start).Seconds())
	}
	if len(failed) > 0 {
		return output.Bytes(), fmt.Errorf("%s", strings.Join(failed, "; "))
	}
	return output.Bytes(), nil
}

// appendFile appends data to a file, which it creates if missing. An empty name does
// nothing.
func appendFile(name string, data []byte) error {
	if name == "" {
		return nil
	}
	file, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	if _, err := file.Write(data); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}
