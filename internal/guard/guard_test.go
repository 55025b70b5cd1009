package guard_test

import (
	"bytes"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/lacewingyard/lacewingyard/internal/guard"
	. "github.com/onsi/gomega"
)

func TestRun(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	log := hclog.New(&hclog.LoggerOptions{Output: &out})
	before := guard.Panics()
	g.Expect(guard.Run(log, "a heartbeat", func() {})).To(BeTrue())
	g.Expect(out.String()).To(BeEmpty())
	g.Expect(guard.Run(log, "a heartbeat", func() { _ = indexOutOfRange(3) })).To(BeFalse())
	g.Expect(guard.Panics()).To(Equal(before + 1))
	g.Expect(out.String()).To(And(ContainSubstring("a heartbeat"), ContainSubstring("out of range"), ContainSubstring("guard_test.go")))
	for range 100 {
		guard.Run(log, "a heartbeat", func() { panic("again") })
	}
	g.Expect(guard.Panics()).To(Equal(before + 101))
	g.Expect(bytes.Count(out.Bytes(), []byte("work="))).To(BeNumerically("<", 30), "a flood of panics does not flood the log")
}

func indexOutOfRange(i int) int { return []int{1, 2}[i] }
