package roster_test

import (
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/roster"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("DirectedShare", func() {
	start := time.Unix(1000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

	// Guards against a share for a single hedge that is divided among hosts without
	// requests.
	It("gives the hosts to which callers are directed three quarters of a limit", func() {
		var directed, other roster.DirectedShare
		for s := 0.0; s <= 10; s += 0.5 {
			directed.Update(at(s), true, 10)
			other.Update(at(s), false, 10)
		}
		Expect(directed.Of(at(10), 1.0/24)).To(BeNumerically("~", 0.075, 1e-9))
		Expect(10*directed.Of(at(10), 1.0/24) + 14*other.Of(at(10), 1.0/24)).To(BeNumerically("<=", 1))
		Expect(directed.Of(at(10), 0.2)).To(Equal(0.2), "a large host keeps its share")
	})

	// Guards against a limit that is used twice within a window, by the hosts to which
	// callers were directed and by those that replaced them.
	It("is not larger until the hosts before have left the window", func() {
		var d roster.DirectedShare
		d.Update(at(0), false, 10)
		d.Update(at(1), true, 10)
		Expect(d.Of(at(1), 1.0/24)).To(Equal(1.0 / 24))
		d.Update(at(10.9), true, 10)
		Expect(d.Of(at(10.9), 1.0/24)).To(Equal(1.0 / 24))
		d.Update(at(11), true, 10)
		Expect(d.Of(at(11), 1.0/24)).To(BeNumerically("~", 0.075, 1e-9))
		d.Update(at(11.5), false, 10)
		Expect(d.Of(at(11.5), 1.0/24)).To(BeNumerically("~", 0.25/24, 1e-9))
	})

	// Guards against a host that is cut off and takes the whole limit: it knows of no
	// other host to which callers are directed.
	It("counts the most hosts of the last half minute", func() {
		var d roster.DirectedShare
		d.Update(at(0), true, 10)
		for s := 0.5; s <= 29; s += 0.5 {
			d.Update(at(s), true, 1)
		}
		Expect(d.Of(at(29), 1.0/24)).To(BeNumerically("~", 0.075, 1e-9))
	})
})
