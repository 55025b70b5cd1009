package warmup_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestWarmup(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "warmup")
}

func BenchmarkObserve(b *testing.B) {
	r, now := warmRamp(4)
	s := answered(now, reportedWarm, medianLatency)
	for b.Loop() {
		r.Observe(now, s)
		_ = r.Allowed(now, true)
	}
}
