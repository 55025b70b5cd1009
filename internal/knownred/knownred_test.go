package knownred

import (
	"fmt"
	"testing"
)

type fake struct{ said string }

func (f *fake) Helper()                           {}
func (f *fake) Name() string                      { return "a test" }
func (f *fake) Fatalf(format string, args ...any) { f.said = "fatal" }
func (f *fake) Skipf(format string, args ...any)  { f.said = fmt.Sprintf(format, args...) }

// Guards against a test that skips under the name of another one, and against
// a listed check that cannot be run.
func TestSkip(t *testing.T) {
	for _, c := range []struct{ set, name, want string }{
		{"", "a test", "a test: listed in KNOWN-RED.txt; KNOWN_RED=1 runs it"}, {"1", "a test", ""}, {"1", "another", "fatal"},
	} {
		t.Setenv(EnvVar, c.set)
		f := new(fake)
		Skip(f, c.name)
		if f.said != c.want {
			t.Errorf("%+v: %q", c, f.said)
		}
	}
}
