package gossip

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/lacewingyard/lacewingyard/pkg/roster"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// fleetHostState returns the state of host i of a fleet in the given number of
// places.
func fleetHostState(i, places int, start time.Time) roster.State {
	return roster.State{
		Name: fmt.Sprintf("frontend-place-%d-%d", i%places, i), Incarnation: start.UnixNano() + int64(i), Place: fmt.Sprint("place-", i%places), Ready: true,
		CallerAddress: "10.111.111.111:8226", PeerAddress: "10.111.111.111:8224", GossipAddress: "10.111.111.111:7740", Revision: 1 << 20, ConfirmedAge: 900,
		Capacity: 1280.5, Load: 0.123,
	}
}

// Simulates a fleet in virtual time: 57 hosts per place, the size for which the fleet
// is planned, and 1 % of the datagrams lost. Guards against heartbeats that exceed the
// budget for control traffic, leave running hosts out of rosters, keep a failed host in
// the directory or are too rare to spare most hosts reads of the store.
var _ = Describe("Heartbeats of a large fleet", func() {
	const (
		hosts         = 456
		places        = 8
		controlBudget = 4096 // bytes per second that a host may send as control traffic
		// removalDeadline is the longest time after a host's failure during which
		// callers may get its address.
		removalDeadline = 8 * time.Second
		// A host whose state was confirmed longer ago than staleAfter, 0.6 of the
		// time within which a change must be in force, reads the store itself.
		staleAfter   = 3600 * time.Millisecond
		readers      = 2
		settleRounds = 6
	)
	start := time.Unix(1000, 0)
	It("use at most 70 % of the control budget, leave on average at most 1 % of the running hosts of a place out of rosters and detect a failed host", func() {
		rng := rand.New(rand.NewPCG(7, 7))
		rosters := make([]*roster.Roster, hosts)
		states := make([]roster.State, hosts)
		phase := make([]uint64, hosts)        // number of heartbeats before the first round
		confirmed := make([]time.Time, hosts) // when the store confirmed the state of each host
		index := map[string]int{}
		for i := range hosts {
			states[i] = fleetHostState(i, places, start)
			index[states[i].Name] = i
			phase[i] = rng.Uint64N(100)
		}
		for i := range rosters {
			rosters[i] = roster.New(states[i].Name, states[i].Place, start)
			for j := range states {
				rosters[i].Observe(start, states[j])
			}
		}
		params := rosters[0].HeartbeatParams()
		Expect(params.NearFanout).To(BeNumerically(">", 0))
		const killed, killedAt, rounds = 0, 15, 30
		sentBytes, missing, stale := 0, 0, 0
		for round := 1; round <= rounds; round++ {
			now := start.Add(time.Duration(round) * params.Interval)
			for i := range rosters {
				if i == killed && round >= killedAt {
					continue
				}
				if rosters[i].ReadsStore(now, readers) {
					confirmed[i] = now
				}
				g := Gossip{roster: rosters[i], rng: rng}
				states[i].Sequence++
				m := heartbeat{Self: states[i]}
				m.Relayed, m.Liveness = g.sampleRelayed(now, maxHeartbeatBytes-typicalStateBytes)
				data, err := cbor.Marshal(m)
				Expect(err).NotTo(HaveOccurred())
				Expect(len(data)).To(BeNumerically("<=", maxHeartbeatBytes))
				for _, h := range rosters[i].Receivers(now, uint64(round)+phase[i], rng) {
					sentBytes += len(data)
					if rng.IntN(100) > 0 {
						j := index[h.Name]
						receiver := Gossip{roster: rosters[j]}
						receiver.observeAt(now, m)
						if confirmed[i].After(confirmed[j]) {
							confirmed[j] = confirmed[i]
						}
					}
				}
			}
			for i, r := range rosters {
				alive := 0
				for _, h := range r.Alive(now) {
					if h.Place == states[i].Place {
						alive++
					}
					if sinceKill := time.Duration(round-killedAt+1) * params.Interval; h.Name == states[killed].Name && sinceKill >= removalDeadline {
						Fail(fmt.Sprintf("host %d still considers the killed host alive %s after the kill", i, sinceKill))
					}
				}
				if round < killedAt {
					missing += hosts/places - 1 - alive
				}
				if round > settleRounds && now.Sub(confirmed[i]) > staleAfter {
					stale++
				}
			}
		}
		span := time.Duration(rounds) * params.Interval
		Expect(float64(sentBytes)/hosts/span.Seconds()).To(BeNumerically("<=", 0.7*controlBudget), "the remaining 30 % are for the published state")
		Expect(stale).To(BeNumerically("<=", (rounds-settleRounds)*hosts/100), "at most 1 % of the hosts read the store in addition to the readers")
		Expect(missing).To(BeNumerically("<=", killedAt*hosts/100), "on average at most 1 % of the rosters lack a running host of their place")
	})
})
