package bench

import (
	"math/rand/v2"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/internal/fleet"
)

var _ = DescribeTable("ParseCase rejects an invalid case and names the field",
	// Guards against a mistake in a case file that is ignored, so that the run measures
	// another load or other faults than intended.
	func(text, message string) {
		_, err := ParseCase([]byte(text))
		Expect(err).To(MatchError(ContainSubstring(message)))
	},
	Entry("unknown field", `{"name":"x","load":1,"evnts":[]}`, `"evnts"`),
	Entry("unknown action", `{"name":"x","load":1,"events":[{"at":"1s","do":"slow"}]}`, `events[0]: do: "slow"`),
	Entry("number as duration", `{"name":"x","load":1,"events":[{"at":5,"do":"config_down"}]}`, "not a duration string"),
	Entry("neither load nor rate", `{"name":"x"}`, "exactly one of load and rate"),
	Entry("load and rate", `{"name":"x","load":1,"rate":5}`, "exactly one of load and rate"),
	Entry("unknown class", `{"name":"x","load":1,"classes":{"gold":1}}`, `"gold"`),
	Entry("undo of a restart", `{"name":"x","load":1,"events":[{"at":"1s","for":"1s","do":"restart"}]}`, "cannot be undone"),
	Entry("straggler without factor", `{"name":"x","load":1,"events":[{"at":"1s","do":"straggler","ratio":0.1}]}`, "factor above 1"),
	Entry("fraction above 1", `{"name":"x","load":1,"events":[{"at":"1s","do":"kill","on":{"fraction":2}}]}`, "on.fraction"),
	Entry("cut with one end", `{"name":"x","load":1,"events":[{"at":"1s","do":"cut","from":"#0"}]}`, "from and to"),
	Entry("data after the document", `{"name":"x","load":1} {}`, "data after"),
)

var _ = Describe("the named cases", func() {
	// Guards against a case file whose targets, places or hosts do not exist in a
	// deployment.
	It("resolve on both example deployments", func() {
		files, err := filepath.Glob("../../cases/*.json")
		Expect(err).NotTo(HaveOccurred())
		Expect(files).To(HaveLen(12))
		for _, dir := range []string{"../../examples/new-england", "../../examples/riga"} {
			d, err := fleet.Load(dir)
			Expect(err).NotTo(HaveOccurred())
			for _, file := range files {
				c, err := LoadCase(file)
				Expect(err).NotTo(HaveOccurred())
				Expect(c.Name + ".json").To(Equal(filepath.Base(file)))
				_, err = timeline(c, &d.Document, 1, time.Minute)
				Expect(err).NotTo(HaveOccurred(), "%s on %s", file, dir)
			}
		}
	})

	// Guards against a selector that ignores one of its fields or an index out of range.
	It("select targets that match every field of a selector, and reject an index out of range", func() {
		d, err := fleet.Load("../../examples/new-england")
		Expect(err).NotTo(HaveOccurred())
		two := 2
		s := Selector{Service: "tagdesk", Replica: &two, Fraction: 0.2}
		ids, err := s.selectTargets(&d.Document, rand.New(rand.NewPCG(1, 1)))
		Expect(err).NotTo(HaveOccurred())
		Expect(ids).To(HaveLen(2))
		Expect(ids).To(HaveEach(MatchRegexp(`^tagdesk-g0\d-r2$`)))
		_, err = Selector{Place: "#3"}.selectTargets(&d.Document, nil)
		Expect(err).To(MatchError(ContainSubstring("not #0 to #2")))
	})
})
