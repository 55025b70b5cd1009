package topk_test

import (
	"fmt"
	"testing"

	"github.com/lacewingyard/lacewingyard/pkg/topk"
	. "github.com/onsi/gomega"
)

// Guards against memory that grows with the number of keys, and against a frequent key that is
// displaced by many rare ones.
func TestFrequentKeysStayAmongManyRareOnes(t *testing.T) {
	g := NewWithT(t)
	c := topk.NewCounter(20)
	for i := range 100_000 {
		c.Add(fmt.Sprint("rare", i))
		if i%10 == 0 {
			c.Add("large")
		}
		if i%11 == 0 {
			c.Add("second")
		}
	}
	g.Expect(c.Len()).To(Equal(20))
	g.Expect(c.Largest(2)).To(Equal([]string{"large", "second"}))
	g.Expect(c.Largest(100)).To(HaveLen(20))
}

// Guards against a key that stays the largest long after its events have ended.
func TestDecayLetsRecentKeysPass(t *testing.T) {
	g := NewWithT(t)
	c := topk.NewCounter(3)
	for range 100 {
		c.Add("old")
	}
	for range 10 {
		c.Decay(0.5)
	}
	c.Add("new")
	g.Expect(c.Largest(1)).To(Equal([]string{"new"}))
}
