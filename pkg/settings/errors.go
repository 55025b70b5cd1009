package settings

import (
	"fmt"
	"strings"
)

// Fault is one thing wrong with a document.
type Fault struct {
	Path    string // JSON path, for example "places.riga-a.settings.hedge_quantile"
	Problem string
}

func (f Fault) String() string {
	if f.Path == "" {
		return f.Problem
	}
	return f.Path + ": " + f.Problem
}

// InvalidError lists every fault that was found in a document.
type InvalidError struct{ Faults []Fault }

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
