package daemon

import (
	"testing"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/quarantine"
)

// TestQuarantineSpreadsByHeartbeats guards against hosts beyond those that are
// told at once: in a fleet in which no host sends to all others they would let
// a proven killer query run. Nobody is told at once here.
func TestQuarantineSpreadsByHeartbeats(t *testing.T) {
	t.Parallel()
	s := newSpread(t, newDocument(4, 24, 2))
	s.startAll()
	fp := quarantine.Of("tags", []string{"killer"})
	first := s.hosts[seat{placeName(0), 0}].daemon.branch.guard
	first.died(fp, quarantine.Death{Target: "tags-g0000-r0", Group: "tags-g0000", Canary: true}, false)
	first.died(fp, quarantine.Death{Target: "tags-g0001-r0", Group: "tags-g0001", Canary: true}, false)
	began := time.Now()
	s.wait(20*time.Second, "every host refuses the query", func() bool {
		for _, h := range s.hosts {
			if e, known := h.daemon.branch.guard.entry(fp); !known || e.Proven == 0 {
				return false
			}
		}
		return true
	})
	t.Logf("24 hosts refuse the query after %s", time.Since(began))
}
