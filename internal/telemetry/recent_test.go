package telemetry

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a status page that shows coverage older than a minute, or not the lowest
// coverage of the last minute.
func TestRecentDropsOldAnswers(t *testing.T) {
	g := NewWithT(t)
	var r Recent
	now := time.Unix(1000, 0)
	for _, coverage := range []float64{1, 0.5, 0.75} {
		r.add(now, "tags", func(b *bucket) { b.Answers++; b.addSearch(coverage) })
		now = now.Add(10 * time.Second)
	}
	r.add(now, "tags", func(b *bucket) { b.Failed++ })
	g.Expect(r.Window(now, "tags")).To(Equal(Window{Answers: 3, Searches: 3, Failed: 1, CoverageMean: 0.75, CoverageMin: 0.5}))
	later := r.Window(now.Add(45*time.Second), "tags")
	g.Expect(later.Searches).To(Equal(1))
	g.Expect(later.CoverageMin).To(Equal(0.75))
	g.Expect(r.Window(now.Add(2*time.Minute), "tags")).To(Equal(Window{}))
	g.Expect(r.Window(now, "other")).To(Equal(Window{}))
}
