package settings

import (
	"fmt"
	"strings"
)

// Fault is one validation error in a document.
type Fault struct {
	// Path is the JSON path, for example "places.riga-a.settings.hedge_quantile";
	// empty for the document as a whole.
	Path    string `json:"path,omitempty"`
	Problem string `json:"problem"`
}

// String returns the path and the problem, such as "version: 0 is below 1".
func (f Fault) String() string {
	if f.Path == "" {
		return f.Problem
	}
	return f.Path + ": " + f.Problem
}

// InvalidError is returned for a refused document and lists every fault found.
type InvalidError struct{ Faults []Fault }

// Error returns all faults on one line, separated by "; ".
func (e *InvalidError) Error() string {
	texts := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		texts[i] = f.String()
	}
	return strings.Join(texts, "; ")
}

// faults collects the faults of a document during validation.
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
