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

// fleetMember returns the state of a host in a fleet of some places.
func fleetMember(i, places int, start time.Time) roster.State {
	return roster.State{
		Name: fmt.Sprintf("frontend-place-%d-%d", i%places, i), Incarnation: start.UnixNano() + int64(i), Place: fmt.Sprint("place-", i%places), Ready: true,
		CallerAddress: "10.111.111.111:8226", PeerAddress: "10.111.111.111:8224", GossipAddress: "10.111.111.111:7740", Revision: 1 << 20, ConfirmedAge: 900,
		Capacity: 1280.5, Load: 0.123,
	}
}

// Virtual time: hosts in places of 57, as at the size aimed for, with one datagram
// in a hundred lost.
var _ = Describe("Heartbeats of a huge fleet", func() {
	const (
		hosts   = 456
		places  = 8
		control = 4096 // bytes per second that a host may send for control
		// toldGone is the time after which callers must not be told of a lost host.
		toldGone = 8 * time.Second
		// A host whose state was confirmed longer ago than stale, 0.6 of the time
		// until a change is in force, reads the store itself.
		stale   = 3600 * time.Millisecond
		readers = 2
		settled = 6 // rounds
	)
	start := time.Unix(1000, 0)
	It("stay within the bytes for control, show all living hosts of a place and the loss of one", func() {
		rng := rand.New(rand.NewPCG(7, 7))
		rosters := make([]*roster.Roster, hosts)
		states := make([]roster.State, hosts)
		phase := make([]uint64, hosts)        // heartbeats before the first round
		confirmed := make([]time.Time, hosts) // when the store confirmed the state of each host
		index := map[string]int{}
		for i := range hosts {
			states[i] = fleetMember(i, places, start)
			index[states[i].Name] = i
			phase[i] = rng.Uint64N(100)
		}
		for i := range rosters {
			rosters[i] = roster.New(states[i].Name, states[i].Place, start)
			for j := range states {
				rosters[i].Observe(start, states[j])
			}
		}
		pace := rosters[0].HeartbeatParams()
		Expect(pace.NearFanout).To(BeNumerically(">", 0))
		const killed, killedAt, rounds = 0, 15, 30
		sent, missing, late := 0, 0, 0
		for round := 1; round <= rounds; round++ {
			now := start.Add(time.Duration(round) * pace.Interval)
			for i := range rosters {
				if i == killed && round >= killedAt {
					continue
				}
				if rosters[i].ReadsStore(now, readers) {
					confirmed[i] = now
				}
				g := Gossip{roster: rosters[i], rng: rng}
				states[i].Sequence++
				m := message{Self: states[i]}
				m.Others, m.Pulses = g.passedOn(now, packet-stateBytes)
				data, err := cbor.Marshal(m)
				Expect(err).NotTo(HaveOccurred())
				Expect(len(data)).To(BeNumerically("<=", packet))
				for _, h := range rosters[i].Receivers(now, uint64(round)+phase[i], rng) {
					sent += len(data)
					if rng.IntN(100) > 0 {
						j := index[h.Name]
						to := Gossip{roster: rosters[j]}
						to.takeAt(now, m)
						if confirmed[i].After(confirmed[j]) {
							confirmed[j] = confirmed[i]
						}
					}
				}
			}
			for i, r := range rosters {
				here := 0
				for _, h := range r.Alive(now) {
					if h.Place == states[i].Place {
						here++
					}
					if gone := time.Duration(round-killedAt+1) * pace.Interval; h.Name == states[killed].Name && gone >= toldGone {
						Fail(fmt.Sprintf("host %d still believes in the lost host %s after its end", i, gone))
					}
				}
				if round < killedAt {
					missing += hosts/places - 1 - here
				}
				if round > settled && now.Sub(confirmed[i]) > stale {
					late++
				}
			}
		}
		span := time.Duration(rounds) * pace.Interval
		Expect(float64(sent)/hosts/span.Seconds()).To(BeNumerically("<=", 0.7*control), "the rest is for the published state")
		Expect(late).To(BeNumerically("<=", (rounds-settled)*hosts/100), "one host in a hundred at most reads the store beside the readers")
		Expect(missing).To(BeNumerically("<=", killedAt*hosts/100), "in one of a hundred views at most a living host is missing")
	})
})
