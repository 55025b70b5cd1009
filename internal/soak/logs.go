package soak

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"regexp"
)

// issuedKeys matches the keys that callers of a run present.
var issuedKeys = regexp.MustCompile(`\b(key|wrong)-[0-9]{4}\b`)

// checkOutput reports keys in the output of the hosts.
func (s *testFleet) checkOutput() {
	output, err := os.Open(s.output.Name())
	if err != nil {
		s.checker.Fail(fmt.Sprintf("the output of the hosts cannot be read: %v", err))
		return
	}
	defer func() { _ = output.Close() }()
	if lines, first := linesWithKeys(output); lines > 0 {
		s.checker.Fail(fmt.Sprintf("%d lines of the output of the hosts have keys, the first one: %s", lines, first))
	}
}

// linesWithKeys returns the number of lines with keys and the first of them.
func linesWithKeys(output io.Reader) (count int, first string) {
	lines := bufio.NewReader(output)
	for {
		line, err := lines.ReadString('\n')
		if issuedKeys.MatchString(line) {
			if count == 0 {
				first = line
			}
			count++
		}
		if err != nil {
			return count, first
		}
	}
}
