package settings

import (
	"fmt"
	"strings"
)

// Fault is one thing wrong with a document.
type Fault struct {
	// Path is the JSON path, for example "places.riga-a.settings.hedge_quantile";
	// empty for the document as a whole.
	Path    string `json:"path,omitempty"`
	Problem string `json:"problem"`
}

// String returns path and problem, such as "version: 0 is below 1".
func (f Fault) String() string {
	if f.Path == "" {
		return f.Problem
	}
	return f.Path + ": " + f.Problem
}

// InvalidError lists every fault that was found in a document.
type InvalidError struct{ Faults []Fault }

// Error returns all faults on one line, for log lines and status.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "; ")
}

// faults collects problems while a document is checked.
type faults []Fault

func (f *faults) addf(path, format string, args ...any) {
	*f = append(*f, Fault{Path: path, Problem: fmt.Sprintf(format, args...)})
}

func (f faults) err() error {
	if len(f) == 0 {
		return nil
	}
	return &InvalidError{Faults: f}
}
