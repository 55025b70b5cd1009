package daemon

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/configsync"
	"github.com/lacewingyard/lacewingyard/pkg/membership"
)

// Parameters of one hop in the model: the one-way delay between the places of the
// deployments, the time to check a document, measured by BenchmarkDocument on a busy
// machine, and the loss.
const (
	modelOneWay = 5 * time.Millisecond
	modelCheck  = 176 * time.Millisecond
	modelLoss   = 0.01 // fraction of pushes lost; the next heartbeat delivers the change instead
)

// BenchmarkSpreadModel computes when a change is in force on every host of a fleet
// that is too large to run on one machine. It uses the contacts that the membership
// package chooses, without a network or a clock. readers is the number of watchers
// that read the change from the configuration service at once.
func BenchmarkSpreadModel(b *testing.B) {
	for _, hosts := range []int{8, 32, 128, 512, 1300} {
		for _, readers := range []int{1, 46} {
			b.Run(fmt.Sprintf("hosts=%d/readers=%d", hosts, readers), func(b *testing.B) {
				var slowest time.Duration
				for seed := uint64(0); b.Loop(); seed++ {
					slowest = max(slowest, propagationTime(hosts, readers, rand.New(rand.NewPCG(seed, 1))))
				}
				b.ReportMetric(slowest.Seconds()*1000, "ms-in-force-max")
			})
		}
	}
}

// TestConfigForwardSpreadModel guards against contacts or a fanout with which a change
// that one watcher has read reaches all of 1,300 hosts only after PropagationLimit.
func TestConfigForwardSpreadModel(t *testing.T) {
	if took := propagationTime(1300, 1, rand.New(rand.NewPCG(0, 1))); took > membership.PropagationLimit {
		t.Errorf("in force everywhere after %s", took)
	}
}

type arrival struct {
	at   time.Duration
	host int
}

type arrivals []arrival

func (a arrivals) Len() int           { return len(a) }
func (a arrivals) Less(i, j int) bool { return a[i].at < a[j].at }
func (a arrivals) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *arrivals) Push(x any)        { *a = append(*a, x.(arrival)) }
func (a *arrivals) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// propagationTime returns the time until a change that the given number of watchers
// has read is in force on every host, or 1 h if the change does not reach every host.
func propagationTime(hosts, readers int, rng *rand.Rand) time.Duration {
	places := min(23, max(3, hosts/8))
	peers, index := make([]membership.Peer, hosts), map[string]int{}
	for i := range peers {
		peers[i] = membership.Peer{Name: fmt.Sprint(i), OrdinalID: membership.OrdinalID{Place: placeName(i % places), Ordinal: i / places}}
		index[peers[i].Name] = i
	}
	contacts, contactedBy, phase := make([][]membership.Peer, hosts), make([][]int, hosts), make([]time.Duration, hosts)
	for i := range peers {
		view := membership.NewView(peers[i], 1, time.Time{}, rng)
		view.SetPeers(peers)
		contacts[i], phase[i] = view.Contacts(), time.Duration(rng.Int64N(int64(membership.HeartbeatInterval)))
		for _, c := range contacts[i] {
			contactedBy[index[c.Name]] = append(contactedBy[index[c.Name]], i)
		}
	}
	nextHeartbeat := func(host int, after time.Duration) time.Duration {
		return after + (phase[host]-after%membership.HeartbeatInterval+membership.HeartbeatInterval)%membership.HeartbeatInterval
	}
	// A host that receives the position of a change requests the manifest and the sections: two round
	// trips after the heartbeat or its acknowledgement.
	inForceAt := func(at time.Duration) time.Duration { return at + 5*modelOneWay + modelCheck }
	queue, done, last := &arrivals{}, make([]bool, hosts), time.Duration(0)
	for i := range hosts {
		order := configsync.Watchers(peers[i].OrdinalID.Place, (hosts+places-1-i%places)/places, 1)
		for rank, ordinal := range order {
			if rank < configsync.WatchersPerPlace && ordinal == peers[i].OrdinalID.Ordinal && readers > 0 {
				readers--
				heap.Push(queue, arrival{0, i})
			}
		}
	}
	for queue.Len() > 0 {
		next := heap.Pop(queue).(arrival)
		if done[next.host] {
			continue
		}
		done[next.host], last = true, next.at
		for _, c := range membership.SamplePeers(rng, contacts[next.host], peers[next.host].OrdinalID.Place, pushFanout) {
			at := next.at
			if rng.Float64() < modelLoss {
				at = nextHeartbeat(next.host, at)
			}
			heap.Push(queue, arrival{inForceAt(at), index[c.Name]})
		}
		for _, c := range contacts[next.host] {
			heap.Push(queue, arrival{inForceAt(nextHeartbeat(next.host, next.at)), index[c.Name]})
		}
		for _, host := range contactedBy[next.host] {
			heap.Push(queue, arrival{inForceAt(nextHeartbeat(host, next.at) + modelOneWay), host})
		}
	}
	for _, ok := range done {
		if !ok {
			return time.Hour // the change does not reach every host
		}
	}
	return last
}
