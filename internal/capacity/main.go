// Command capacity measures the slopes of docs/CAPACITY.md again and prints
// them in the form of the page's tables, with the page's figure beside each.
//
//	go run ./internal/capacity                                # about 4 minutes
//	go run ./internal/capacity -only memory -save slopes.txt  # one part of it
//	go run ./internal/capacity -from slopes.txt               # tables of saved output
//
// It runs the benchmarks named in parts with the go command, so it needs the
// repository and is no part of the tier. The exit status is 1 if a benchmark
// failed or a row was not measured, and 2 if the command line is wrong.
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

// part is one call of go test. Each ends within two minutes on an idle machine.
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

// run is the command without the process around it; it returns the exit status.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("capacity", flag.ContinueOnError)
	flags.SetOutput(stderr)
	from := flags.String("from", "", "file with saved output of the benchmarks; nothing runs")
	only := flags.String("only", "", "run one part: memory, processor, planning, document, model or spread")
	save := flags.String("save", "", "file to which the output of the benchmarks is appended")
	page := flags.String("page", "docs/CAPACITY.md", "page to compare with")
	if err := flags.Parse(args); err != nil {
		return 2
	}
	text, err := os.ReadFile(*page)
	if err == nil && *only != "" && !slices.ContainsFunc(parts, func(p part) bool { return p.name == *only }) {
		err = fmt.Errorf("-only: there is no part %q", *only)
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

// measure runs all parts, or one, and returns what the benchmarks printed. A
// part that fails does not hide the output of the others.
func measure(ctx context.Context, only string, stderr io.Writer) ([]byte, error) {
	var output bytes.Buffer
	var failed []string
	for _, p := range parts {
		if only != "" && p.name != only {
			continue
		}
		fmt.Fprintf(stderr, "%s: %s go test -run ^$ %s\n", p.name, strings.Join(p.env, " "), strings.Join(p.args, " "))
		began := time.Now()
		cmd := exec.CommandContext(ctx, "go", append([]string{"test", "-run", "^$"}, p.args...)...)
		cmd.Env = append(os.Environ(), p.env...)
		cmd.Stdout, cmd.Stderr = &output, stderr
		if err := cmd.Run(); err != nil {
			failed = append(failed, fmt.Sprintf("%s: %v", p.name, err))
		}
		fmt.Fprintf(stderr, "%s: ended after %.0f s\n", p.name, time.Since(began).Seconds())
	}
	if len(failed) > 0 {
		return output.Bytes(), fmt.Errorf("%s", strings.Join(failed, "; "))
	}
	return output.Bytes(), nil
}

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
