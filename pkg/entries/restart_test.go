package entries_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/entries"
	"github.com/lacewingyard/lacewingyard/pkg/roster"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against callers that are spread over all hosts for seconds after a restart of the
// fleet, because the hosts that answer them do not know the large ones yet: each small host
// opens connections to all shards, more than the targets accept. Plays the heartbeats of 81
// hosts in three places, two large ones in each, in virtual time.
var _ = Describe("Fleet that restarts", func() {
	const hosts, places, largePerPlace, seeds, interval = 81, 3, 2, 3, 500 * time.Millisecond
	start := time.Unix(1000, 0)
	place := func(i int) string { return fmt.Sprint("p", i%places) }
	capacity := func(i int) float64 {
		if i >= 30 && i < 30+places*largePerPlace { // the seeds are small
			return 5000
		}
		return 1280
	}

	// play returns the number of hosts whose directory answers name a small host, after
	// each round of heartbeats, the greetings of the seeds being the first.
	play := func(rounds int, rng *rand.Rand) (naming []int) {
		rosters := make([]*roster.Roster, hosts)
		own := make([]roster.State, hosts)
		for i := range rosters {
			rosters[i] = roster.New(fmt.Sprint(i), place(i), start)
			own[i] = roster.State{Name: fmt.Sprint(i), Incarnation: 1, Place: place(i), Capacity: capacity(i), Ready: true}
		}
		send := func(now time.Time, from, to int, relayed []roster.State, liveness []roster.Liveness) {
			rosters[to].Observe(now, own[from])
			for _, s := range relayed {
				rosters[to].Observe(now, s)
			}
			for _, l := range liveness {
				rosters[to].ObserveLiveness(now, l)
			}
		}
		for round := range rounds {
			now := start.Add(time.Duration(round) * interval)
			for i := range rosters {
				own[i].Sequence++
				if round == 0 {
					for s := range seeds {
						if s != i {
							send(now, i, s, nil, nil)
							send(now, s, i, rosters[s].SampleForReply(now, place(i), 10, rng), nil)
						}
					}
					continue
				}
				params := rosters[i].HeartbeatParams()
				relayed, liveness := rosters[i].Sample(now, params.States, params.LargeStates, params.NearLiveness, params.FarLiveness, rng)
				for _, h := range rosters[i].Receivers(now, uint64(round), rng) {
					to, err := strconv.Atoi(h.Name)
					Expect(err).NotTo(HaveOccurred())
					send(now, i, to, relayed, liveness)
				}
			}
			small := 0
			for i, r := range rosters {
				known := []entries.Host{{Name: own[i].Name, Place: place(i), Capacity: capacity(i), Reachable: true, PlaceInService: true}}
				for _, h := range r.Alive(now) {
					known = append(known, entries.Host{Name: h.Name, Place: h.Place, Capacity: h.Capacity, Reachable: true, PlaceInService: true})
				}
				chosen := entries.LimitRemote(entries.Choose(entries.Concentrate(entries.PreferLarge(known)), place(i), rng), place(i))
				for _, h := range chosen {
					if h.Capacity < 5000 {
						small++
						break
					}
				}
			}
			naming = append(naming, small)
		}
		return naming
	}

	It("directs callers of nine in ten hosts to large ones within half a second, and of all within two", func() {
		for seed := range uint64(5) {
			naming := play(8, rand.New(rand.NewPCG(seed, 1)))
			seen := fmt.Sprintf("seed %d: hosts that name small ones after each round: %v", seed, naming)
			GinkgoWriter.Println(seen)
			Expect(naming[1]).To(BeNumerically("<=", hosts/10), seen)
			Expect(naming[4]).To(BeZero(), seen)
		}
	})
})
