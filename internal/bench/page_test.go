package bench

import (
	"image"
	"image/color"
	"image/png"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// scriptedRun returns a run of 4 s with 100 requests per second at the given latency;
// half of those in the third second are refused.
func scriptedRun(policy Policy, latency time.Duration) *Summary {
	rec := newRecorder(&settings.Document{Services: map[string]settings.Service{"tagdesk": {}}}, 4)
	for i := range 400 {
		r := &result{query: &query{service: "tagdesk", at: time.Duration(i) * 10 * time.Millisecond}, latency: latency, coverage: 0.9125}
		r.reply.outcome = outcome.OK()
		r.reply.search = &api.SearchResponse{}
		if i/100 == 2 && i%2 == 0 {
			r.reply.outcome = outcome.Refused(outcome.Overload, "full")
		}
		rec.add(r)
		rec.addReferences("tagdesk", referenceLatencies{oracle: latency / 4, queue: latency / 2, restart: latency / 2})
	}
	return &Summary{
		Case: "place-move", Policy: policy, Seed: 7, Seconds: 4, Rows: rec.rows(4, true),
		Events: []EventMark{{At: Duration(time.Second), Do: DoPlaceOut}, {At: Duration(3 * time.Second), Do: DoPlaceOut, Undo: true}},
	}
}

// columnsWithColor returns the number of pixel columns of a plot that contain a colour.
func columnsWithColor(file string, want color.Color) (n int) {
	f, err := os.Open(file)
	Expect(err).NotTo(HaveOccurred())
	defer f.Close()
	var img image.Image
	img, err = png.Decode(f)
	Expect(err).NotTo(HaveOccurred())
	for x := range img.Bounds().Dx() {
		for y := range img.Bounds().Dy() {
			if color.RGBAModel.Convert(img.At(x, y)) == want {
				n++
				break
			}
		}
	}
	return n
}

var _ = Describe("WriteReport", func() {
	// Guards against a page that lacks values or contains scripts or external links, and
	// against plots that lack lines or event marks.
	It("writes a page and plots with the data of all policies", func() {
		dir := filepath.Join(GinkgoT().TempDir(), "new", "report")
		naive := scriptedRun(PolicyNaive, 60*time.Millisecond)
		naive.Rows[0].Violations = Violations{OverSlots: 2, RunTwice: 1}
		Expect(WriteReport(dir, []*Summary{scriptedRun(PolicyTier, 40*time.Millisecond), naive})).To(Succeed())
		data, err := os.ReadFile(filepath.Join(dir, PageName))
		Expect(err).NotTo(HaveOccurred())
		page := string(data)
		Expect(page).To(And(ContainSubstring("Policy tier"), ContainSubstring("Policy naive"), ContainSubstring("tagdesk: over_slots 2, run_twice 1</p>"), ContainSubstring("place_out ends"),
			ContainSubstring("<td>tagdesk</td><td>400</td><td>40.0</td>"), ContainSubstring("<td>60.0</td>"), ContainSubstring("0.91250")))
		// The histograms by second have two significant digits, hence 40.2.
		Expect(page).To(And(ContainSubstring(`<tr class="event"><td>1</td><td>place_out</td><td>100</td><td>40.2</td><td>1.0</td><td class="bad">0.91250</td><td>0</td><td>100</td>`),
			ContainSubstring(`<td>2</td><td></td>`), ContainSubstring("<td>50</td></tr>")))
		Expect(page).NotTo(Or(ContainSubstring("<script"), ContainSubstring("http://"), ContainSubstring("https://")))
		for _, name := range []string{"coverage.png", "p99.png", "refusals.png", "latency-total.png", "latency-tagdesk.png"} {
			Expect(page).To(ContainSubstring(`src="` + name + `"`))
		}
		p99, coverage, cdf := filepath.Join(dir, "p99.png"), filepath.Join(dir, "coverage.png"), filepath.Join(dir, "latency-tagdesk.png")
		// Both lines span most of the 768 columns. The coverages are equal, so that the
		// second line hides the first.
		Expect(columnsWithColor(p99, lineColors[0])).To(BeNumerically(">", 400))
		Expect(columnsWithColor(p99, lineColors[1])).To(BeNumerically(">", 400))
		Expect(columnsWithColor(coverage, lineColors[1])).To(BeNumerically(">", 400))
		Expect(columnsWithColor(p99, markColor)).To(BeNumerically(">", 0))
		Expect(columnsWithColor(coverage, objectiveColor)).To(BeNumerically(">", 100))
		Expect(columnsWithColor(cdf, lineColors[0])).To(BeNumerically(">", 0))
		Expect(columnsWithColor(cdf, lineColors[1])).To(BeNumerically(">", 0))
	})

	// Guards against a page that compares runs with different arrivals.
	It("rejects runs with different seeds", func() {
		other := scriptedRun(PolicyNaive, time.Millisecond)
		other.Seed = 8
		Expect(WriteReport(GinkgoT().TempDir(), []*Summary{scriptedRun(PolicyTier, time.Millisecond), other})).NotTo(Succeed())
	})
})

var _ = Describe("SumRuns", func() {
	// Guards against a sum that omits violations of some seeds or of saturated runs.
	It("adds up the runs of one policy over all seeds", func() {
		clean, broken, naive := scriptedRun(PolicyTier, 1), scriptedRun(PolicyTier, 1), scriptedRun(PolicyNaive, 1)
		broken.Seed, broken.Usage.Saturated = 8, true
		for _, s := range []*Summary{broken, naive} {
			s.Rows[len(s.Rows)-1].Violations = Violations{OverSlots: 2, RunTwice: 1}
		}
		Expect(SumRuns([]*Summary{clean, broken, naive}, PolicyTier)).To(Equal(PolicyTotal{
			Policy: PolicyTier, Runs: 2, Saturated: 1, FailedSeeds: []uint64{8}, Violations: Violations{OverSlots: 2, RunTwice: 1},
		}))
	})
})
