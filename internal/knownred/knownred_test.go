package knownred

import (
	"fmt"
	"testing"
)

type fakeT struct{ result string }

func (f *fakeT) Helper()                           {}
func (f *fakeT) Name() string                      { return "a test" }
func (f *fakeT) Fatalf(format string, args ...any) { f.result = "fatal" }
func (f *fakeT) Skipf(format string, args ...any)  { f.result = fmt.Sprintf(format, args...) }

// Guards against a test that is skipped under the name of another test, and against a
// listed test that cannot be run.
func TestSkip(t *testing.T) {
	for _, c := range []struct{ set, name, want string }{
		{"", "a test", "a test: known failure listed in KNOWN-RED.txt; set KNOWN_RED=1 to run it"}, {"1", "a test", ""}, {"1", "another", "fatal"},
	} {
		t.Setenv(EnvVar, c.set)
		f := new(fakeT)
		Skip(f, c.name)
		if f.result != c.want {
			t.Errorf("%+v: got %q", c, f.result)
		}
	}
}
