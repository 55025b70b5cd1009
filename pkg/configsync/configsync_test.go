package configsync_test

import (
	"errors"
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lacewingyard/lacewingyard/pkg/configsync"
)

func hostList(version int, hosts []int) []byte {
	raw := fmt.Appendf(nil, `{"version":%d,"hosts":[`, version)
	for i, h := range hosts {
		if i > 0 {
			raw = append(raw, ',')
		}
		raw = fmt.Appendf(raw, `{"name":"h%d \"}{","place":"north"}`, h)
	}
	return append(raw, "]}"...)
}

func pull(from, to *configsync.State) ([]uint64, error) {
	m := from.Manifest()
	missing := to.Missing(m)
	raw, err := to.Assemble(m, from.Sections(m.Position, missing))
	if err == nil {
		_, err = to.Offer(raw)
	}
	return missing, err
}

// ConfigForward is the name of an invariant in docs/design.md and docs/invariants.md.
var _ = Describe("ConfigForward: State", func() {
	// Guards against a stale configuration service or peer that reverts a host.
	It("ignores an older document and counts it", func() {
		s := configsync.NewState(versionOf)
		_, _ = s.Offer([]byte(`{"version":7}`))
		Expect(s.Offer([]byte(`{"version":6}`))).To(BeFalse())
		Expect(s.Behind(configsync.Position{Version: 6, Digest: ^uint64(0)})).To(BeFalse())
		Expect(s.Position().Version).To(Equal(uint64(7)))
		Expect(s.Counters().Older).To(Equal(uint64(1)))
	})

	// Guards against two documents of the same version remaining in force.
	It("puts the document with the higher digest in force on both hosts and counts the conflict", func() {
		a, b := configsync.NewState(versionOf), configsync.NewState(versionOf)
		_, _ = a.Offer([]byte(`{"version":7,"x":1}`))
		_, _ = b.Offer([]byte(`{"version":7,"x":2}`))
		Expect(a.Behind(b.Position())).NotTo(Equal(b.Behind(a.Position())))
		_, _ = a.Offer(b.Raw())
		_, _ = b.Offer(a.Raw())
		Expect(a.Position()).To(Equal(b.Position()))
		Expect(a.Counters().Conflicts).To(Equal(uint64(1)))
		Expect(b.Counters().Conflicts).To(Equal(uint64(1)))
	})

	// Guards against an invalid document replacing the one in force, and against
	// pulling and checking it again every second.
	It("keeps the document in force when another fails the check, and does not pull the refused one again", func() {
		checks := 0
		s := configsync.NewState(func(raw []byte) (uint64, error) {
			checks++
			if v, _ := versionOf(raw); v == 8 {
				return 8, errors.New("invalid")
			}
			return versionOf(raw)
		})
		_, _ = s.Offer([]byte(`{"version":7}`))
		for range 3 {
			Expect(s.Offer([]byte(`{"version":8}`))).Error().To(MatchError("invalid"))
		}
		last, _ := s.LastRefusal()
		Expect(s.Behind(last.Position)).To(BeFalse())
		Expect(checks).To(Equal(2))
		Expect(s.Counters().Refused).To(Equal(uint64(3)))
		Expect(s.Position().Version).To(Equal(uint64(7)))
	})

	// Guards against a document assembled from sections of different versions.
	It("rejects sections that do not have the digest of the manifest when assembled", func() {
		peer, host := configsync.NewState(versionOf), configsync.NewState(versionOf)
		_, _ = peer.Offer([]byte(`{"version":2,"places":{"a":{"state":"in"}}}`))
		m := peer.Manifest()
		_, err := host.Assemble(m, [][]byte{[]byte("{}")})
		Expect(err).To(MatchError(ContainSubstring("missing")))
		m.Position.Digest++
		_, err = host.Assemble(m, peer.Sections(peer.Position(), host.Missing(m)))
		Expect(err).To(MatchError(ContainSubstring("the manifest says")))
	})

	// Guards against a removed host that shifts the boundaries of all later sections,
	// so that all of them are transferred.
	It("pulls few sections of a long list after one element was removed", func() {
		var hosts []int
		for i := range 1300 {
			hosts = append(hosts, i)
		}
		peer, host := configsync.NewState(versionOf), configsync.NewState(versionOf)
		_, _ = host.Offer(hostList(1, hosts))
		_, _ = peer.Offer(hostList(2, append(hosts[:100:100], hosts[101:]...)))
		missing, err := pull(peer, host)
		Expect(err).NotTo(HaveOccurred())
		Expect(host.Raw()).To(Equal(peer.Raw()))
		Expect(len(peer.Manifest().Sections)).To(BeNumerically(">", 20))
		Expect(len(missing)).To(BeNumerically("<=", 3))
		for _, section := range peer.Manifest().Sections {
			Expect(section.Size).To(BeNumerically("<=", 33*len(`{"name":"h1234 \"}{","place":"north"},`)))
		}
	})
})

var _ = Describe("Watches", func() {
	// Guards against a place where no host, or every host, watches the configuration
	// service.
	It("selects two hosts of a place, and a third while one of them is silent", func() {
		count := func(heard func(int) bool) (n int) {
			for ordinal := range 56 {
				if configsync.Watches("north", ordinal, 56, 7, heard) {
					n++
				}
			}
			return n
		}
		silent := configsync.Watchers("north", 56, 7)[0]
		Expect(count(func(int) bool { return true })).To(Equal(2))
		Expect(count(func(o int) bool { return o != silent })).To(Equal(3))
	})

	// Guards against a host that reads every change: 1,500 a day, uncompressed if the
	// configuration service does not compress, exceed the control traffic budget of 4 KB/s.
	It("selects no host so often that its reads exceed the control traffic budget in a day", func() {
		const changes, documentBytes, budget = 1500, 835 << 10, 4 << 10
		reads := map[int]int{}
		for version := range uint64(changes) {
			for _, ordinal := range configsync.Watchers("north", 57, version)[:configsync.WatchersPerPlace] {
				reads[ordinal]++
			}
		}
		for ordinal := range 57 {
			Expect(reads[ordinal]*documentBytes/86400).To(BeNumerically("<", budget), "ordinal %d", ordinal)
		}
	})
})

// Guards against an assembled document that differs from the original: any two
// documents, JSON or not, must be byte for byte the same on both hosts after a pull.
func TestReassemblyIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		check := func(version uint64) configsync.Check {
			return func([]byte) (uint64, error) { return version, nil }
		}
		token := rapid.SampledFrom([]string{"{", "}", "[", "]", `"`, `\`, ",", `"a":`, `{"b":[{"c":{}}]}`, "x"})
		text := func(label string) []byte {
			var raw []byte
			for _, p := range rapid.SliceOf(token).Draw(t, label) {
				raw = append(raw, p...)
			}
			return append(raw, ' ')
		}
		peer, host := configsync.NewState(check(2)), configsync.NewState(check(1))
		_, _ = host.Offer(text("old"))
		_, _ = peer.Offer(text("new"))
		m := peer.Manifest()
		raw, err := host.Assemble(m, peer.Sections(m.Position, host.Missing(m)))
		if err != nil || string(raw) != string(peer.Raw()) {
			t.Fatalf("got %q (%v), want %q", raw, err, peer.Raw())
		}
	})
}
