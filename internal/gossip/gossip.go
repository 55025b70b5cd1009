package gossip

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/lacewingyard/lacewingyard/internal/guard"
	"github.com/lacewingyard/lacewingyard/pkg/notice"
	"github.com/lacewingyard/lacewingyard/pkg/published"
	"github.com/lacewingyard/lacewingyard/pkg/quarantine"
	"github.com/lacewingyard/lacewingyard/pkg/roster"
)

const (
	// maxHeartbeatBytes keeps a heartbeat within one unfragmented packet.
	maxHeartbeatBytes = 1400
	// typicalStateBytes is the usual encoded size of a host's state.
	typicalStateBytes = 110
	// typicalLivenessBytes, typicalCrashBytes, typicalRefusalBytes and typicalNoticeBytes are
	// the usual encoded sizes of a liveness record, a crash, a refusal and a report of what a
	// target said about itself.
	typicalLivenessBytes = 13
	typicalCrashBytes    = 38
	typicalRefusalBytes  = 19
	typicalNoticeBytes   = 25
	// maxPiggybackBytes bounds the update in a heartbeat, enough for a few targets
	// or routes. The update leaves less room for relayed states.
	maxPiggybackBytes = 660
	// greetInterval is the time between two greetings of a seed that has not replied to a
	// host without a state, and greetPeriod the time after its start in which it sends them:
	// a seed that starts later does not get the first one.
	greetInterval = 50 * time.Millisecond
	greetPeriod   = 2 * time.Second
	// replyCacheTime is how long a reply is sent to further hosts.
	// After a restart of all hosts, a small host takes longer to make one reply for each
	// than these wait for it.
	replyCacheTime = 20 * time.Millisecond
	// maxCachedReplies bounds the places for which a reply is cached, as the name of a place
	// comes with a message.
	maxCachedReplies = 64
	// maxDatagramBytes is the size of the receive buffer.
	maxDatagramBytes = 64 << 10
)

// heartbeat is the content of a datagram, encoded as CBOR.
type heartbeat struct {
	Self    roster.State   `cbor:"1,keyasint"`
	Relayed []roster.State `cbor:"2,keyasint,omitempty"`
	// Liveness are liveness records of hosts whose states the receiver has.
	Liveness []roster.Liveness `cbor:"5,keyasint,omitempty"`
	// Crashes are recent crashes of targets during a request.
	Crashes []quarantine.Crash `cbor:"3,keyasint,omitempty"`
	// Refusals are requests that the sender refuses because they crash their targets.
	Refusals []quarantine.Refusal `cbor:"6,keyasint,omitempty"`
	// Notices are what targets told the sender about themselves.
	Notices []notice.Report `cbor:"7,keyasint,omitempty"`
	// Update is an encoded wireUpdate with the latest changes, which spares each
	// receiver a pull.
	Update []byte `cbor:"4,keyasint,omitempty"`
	// Quota is set in a message that is no heartbeat and has nothing else.
	Quota *QuotaMessage `cbor:"8,keyasint,omitempty"`
}

// Options of a Gossip.
type Options struct {
	Address string   // UDP address of this host
	Port    uint16   // UDP port of all hosts
	Seeds   []string // IP:port of hosts that may be running; Port replaces the port
	// Self returns the current state of this host.
	Self func() roster.State
	Log  hclog.Logger
	// OnUpdate is called for each heartbeat with a newer state of its sender than
	// the roster had. It gets that state and the changes in the heartbeat, nil if
	// there are none or they cannot be decoded.
	OnUpdate func(from roster.State, update *published.Update)
	// RecentUpdates returns updates to the present published state that start after
	// different recent revisions, the oldest revision first. A heartbeat carries the
	// first update that is short enough.
	RecentUpdates func() []published.Update
	// Crashes returns the crashes and refusals to send in heartbeats; OnCrashes is called
	// with those received.
	Crashes   func() quarantine.Report
	OnCrashes func(quarantine.Report)
	// Notices returns what targets said about themselves to send in heartbeats; OnNotices is
	// called with what was received.
	Notices   func() []notice.Report
	OnNotices func([]notice.Report)
	// OnQuota is called with quota messages of other hosts.
	OnQuota  func(*QuotaMessage)
	RandSeed uint64 // of the choice of receivers and relayed states
}

// Gossip sends and receives heartbeats and owns the roster. It is safe for
// concurrent use.
type Gossip struct {
	opts Options
	conn *net.UDPConn

	mu           sync.Mutex
	roster       *roster.Roster
	rng          *rand.Rand
	sequence     uint64 // of the latest heartbeat, including broadcasts and replies
	heartbeats   uint64 // number of the latest regular heartbeat
	seeds        []netip.AddrPort
	decodeErrors int
	replies      map[string]reply // the latest, by the place of the receivers
}

// reply is an encoded reply to hosts that know few others.
type reply struct {
	data     []byte
	made     time.Time
	position published.Position // of this host's state then
}

// New opens the UDP socket. It returns an error if the address is not valid or the
// socket cannot be opened.
func New(o Options) (*Gossip, error) {
	addr, err := net.ResolveUDPAddr("udp4", o.Address)
	if err != nil {
		return nil, errors.Wrap(err, "resolve gossip address")
	}
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, errors.Wrap(err, "listen for gossip")
	}
	self := o.Self()
	g := &Gossip{opts: o, conn: conn, roster: roster.New(self.Name, self.Place, time.Now()),
		rng: rand.New(rand.NewPCG(o.RandSeed, ^o.RandSeed)), replies: map[string]reply{}}
	g.SetSeeds(o.Seeds)
	return g, nil
}

// SetSeeds replaces the seeds. Invalid addresses are logged and ignored, and so is
// the address of this host.
func (g *Gossip) SetSeeds(addresses []string) {
	own := g.conn.LocalAddr().(*net.UDPAddr).AddrPort().Addr().Unmap()
	var seeds []netip.AddrPort
	for _, address := range addresses {
		ap, err := netip.ParseAddrPort(address)
		switch {
		case err != nil:
			g.opts.Log.Warn("ignoring invalid seed address", "seed", address, "error", err)
		case ap.Addr().Unmap() != own:
			seeds = append(seeds, netip.AddrPortFrom(ap.Addr(), g.opts.Port))
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seeds = seeds
}

// Run sends and receives heartbeats until the context ends, and then closes the
// socket.
func (g *Gossip) Run(ctx context.Context) {
	go g.receive()
	timer := time.NewTimer(0)
	defer timer.Stop()
	greetings := time.NewTicker(greetInterval)
	defer greetings.Stop()
	greetUntil := time.Now().Add(greetPeriod)
	for {
		select {
		case now := <-greetings.C:
			if g.opts.Self().Revision > 0 || now.After(greetUntil) {
				greetings.Stop()
				continue
			}
			g.greetSeeds(now)
		case <-timer.C:
			g.Send()
			timer.Reset(g.heartbeatParams().Interval)
		case <-ctx.Done():
			_ = g.conn.Close()
			return
		}
	}
}

// greetSeeds sends a heartbeat to the seeds that were not heard of.
func (g *Gossip) greetSeeds(now time.Time) {
	g.mu.Lock()
	heard := map[netip.AddrPort]bool{}
	for _, h := range g.roster.Known() {
		if ap, err := netip.ParseAddrPort(h.GossipAddress); err == nil {
			heard[ap] = true
		}
	}
	var to []netip.AddrPort
	for _, seed := range g.seeds {
		if !heard[seed] {
			to = append(to, seed)
		}
	}
	g.mu.Unlock()
	if len(to) > 0 {
		g.sendTo(now, to, relayNone)
	}
}

// heartbeatParams returns the parameters for the current size of the fleet.
func (g *Gossip) heartbeatParams() roster.HeartbeatParams {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.roster.HeartbeatParams()
}

// Send sends a regular heartbeat immediately.
func (g *Gossip) Send() {
	now := time.Now()
	g.mu.Lock()
	to := g.receivers(now)
	g.mu.Unlock()
	g.sendTo(now, to, relaySample)
}

// Broadcast sends a heartbeat to every host that is alive and to all seeds, for
// changes that must not wait for the next round. In a large fleet it omits the
// states of other hosts, because each host broadcasts when all start at once.
func (g *Gossip) Broadcast() {
	now := time.Now()
	g.mu.Lock()
	to := append([]netip.AddrPort(nil), g.seeds...)
	alive := g.roster.Alive(now)
	for _, h := range alive {
		if ap, err := netip.ParseAddrPort(h.GossipAddress); err == nil {
			to = append(to, ap)
		}
	}
	g.mu.Unlock()
	mode := relayNone
	if len(alive) <= roster.FullMeshHosts {
		mode = relaySample
	}
	g.sendTo(now, to, mode)
}

// relayMode is what a heartbeat includes of other hosts.
type relayMode uint8

const (
	relayNone     relayMode = iota
	relaySample             // a sample of states and liveness records
	relayForReply           // for a host that knows few others: states, half of them of large hosts
)

// sendTo sends a heartbeat to the given addresses.
func (g *Gossip) sendTo(now time.Time, to []netip.AddrPort, mode relayMode) {
	if data := g.encode(now, mode, ""); data != nil {
		g.write(data, to)
	}
}

// encode returns the datagram of a heartbeat, or nil if it cannot be encoded. A reply is for
// hosts of a place.
func (g *Gossip) encode(now time.Time, mode relayMode, place string) []byte {
	report := g.opts.Crashes()
	m := heartbeat{Update: g.encodeUpdate(now), Crashes: report.Crashes, Refusals: report.Refusals, Notices: g.opts.Notices()}
	g.mu.Lock()
	g.roster.Forget(now)
	g.sequence++
	m.Self = g.opts.Self()
	m.Self.Sequence, m.Self.KnownHosts = g.sequence, g.roster.Size()
	bytesLeft := maxHeartbeatBytes - typicalStateBytes - len(m.Update) - typicalCrashBytes*len(m.Crashes) - typicalRefusalBytes*len(m.Refusals) - typicalNoticeBytes*len(m.Notices)
	switch mode {
	case relaySample:
		m.Relayed, m.Liveness = g.sampleRelayed(now, bytesLeft)
	case relayForReply:
		m.Relayed = g.roster.SampleForReply(now, place, max(0, bytesLeft/typicalStateBytes), g.rng)
	}
	g.mu.Unlock()
	data, err := cbor.Marshal(m)
	if err != nil {
		g.opts.Log.Error("failed to encode a heartbeat", "error", err)
		return nil
	}
	return data
}

// write sends a datagram to the given addresses.
func (g *Gossip) write(data []byte, to []netip.AddrPort) {
	for _, addr := range to {
		// Errors are ignored: an unreachable host is detected by the absence of
		// its heartbeats.
		_, _ = g.conn.WriteToUDPAddrPort(data, addr)
	}
}

// sampleRelayed returns the states and liveness records of other hosts for a
// heartbeat with the given number of bytes left. The lock must be held.
func (g *Gossip) sampleRelayed(now time.Time, bytesLeft int) ([]roster.State, []roster.Liveness) {
	params := g.roster.HeartbeatParams()
	states := max(0, min(params.States, bytesLeft/typicalStateBytes))
	bytesLeft -= states * typicalStateBytes
	large := max(0, min(params.LargeStates, bytesLeft/typicalStateBytes))
	bytesLeft -= large * typicalStateBytes
	near := max(0, min(params.NearLiveness, bytesLeft/typicalLivenessBytes))
	bytesLeft -= near * typicalLivenessBytes
	return g.roster.Sample(now, states, large, near, max(0, min(params.FarLiveness, bytesLeft/typicalLivenessBytes)), g.rng)
}

// encodeUpdate returns the first recent update that fits a heartbeat, encoded; nil
// if there is none or all are too long.
func (g *Gossip) encodeUpdate(now time.Time) []byte {
	for _, update := range g.opts.RecentUpdates() {
		data, err := encodeUpdate(&update, now)
		if err != nil {
			g.opts.Log.Error("failed to encode the changes for a heartbeat", "error", err)
			return nil
		}
		if len(data) <= maxPiggybackBytes {
			return data
		}
	}
	return nil
}

// receivers returns the addresses for the next heartbeat: those of the hosts that
// the roster selects, and seeds that are not the address of a host that is alive.
// The lock must be held.
func (g *Gossip) receivers(now time.Time) []netip.AddrPort {
	alive := map[netip.AddrPort]bool{}
	for _, h := range g.roster.Alive(now) {
		if ap, err := netip.ParseAddrPort(h.GossipAddress); err == nil {
			alive[ap] = true
		}
	}
	var to []netip.AddrPort
	g.heartbeats++
	for _, h := range g.roster.Receivers(now, g.heartbeats, g.rng) {
		// A host with an invalid address gets no heartbeats; its own heartbeats are
		// still received.
		if ap, err := netip.ParseAddrPort(h.GossipAddress); err == nil {
			to = append(to, ap)
		}
	}
	for _, seed := range g.seeds {
		if !alive[seed] {
			to = append(to, seed)
		}
	}
	return to
}

// receive handles incoming heartbeats until the socket is closed.
func (g *Gossip) receive() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := g.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // ICMP error caused by an earlier send
		}
		guard.Run(g.opts.Log, "heartbeat", func() { g.handle(from, buffer[:n]) })
	}
}

// handle handles a datagram.
func (g *Gossip) handle(from netip.AddrPort, data []byte) {
	var m heartbeat
	if err := cbor.Unmarshal(data, &m); err != nil {
		g.countDecodeError(from, err)
		return
	}
	if m.Quota != nil {
		g.handleQuota(from, m.Quota)
		return
	}
	newer, seen := g.observe(m)
	if len(m.Crashes) > 0 || len(m.Refusals) > 0 {
		g.opts.OnCrashes(quarantine.Report{Crashes: m.Crashes, Refusals: m.Refusals})
	}
	if len(m.Notices) > 0 {
		g.opts.OnNotices(m.Notices)
	}
	if !seen && g.needsReply(m.Self) || g.knowsFew(m.Self) {
		g.sendReply(m.Self)
	}
	if newer {
		g.opts.OnUpdate(m.Self, g.piggybackedUpdate(from, m.Update))
	}
}

// piggybackedUpdate decodes the update in a heartbeat. It returns nil if there is none
// or it is malformed; the missing changes are then pulled from the sender.
func (g *Gossip) piggybackedUpdate(from netip.AddrPort, data []byte) *published.Update {
	if len(data) == 0 {
		return nil
	}
	update, err := decodeUpdate(data, time.Now())
	if err != nil {
		g.countDecodeError(from, err)
		return nil
	}
	return &update
}

// countDecodeError counts a malformed heartbeat and logs the first one.
func (g *Gossip) countDecodeError(from netip.AddrPort, err error) {
	g.mu.Lock()
	g.decodeErrors++
	first := g.decodeErrors == 1
	g.mu.Unlock()
	if first {
		g.opts.Log.Warn("failed to decode a heartbeat; further failures are only counted", "from", from.String(), "error", err)
	}
}

// needsReply reports whether a host that was not in the roster needs an immediate
// heartbeat. In a large fleet, a host that has the published state does not: the
// regular heartbeats of others reach it soon enough, and if all hosts started at
// once, each would reply to all others. A NearFanout of 0 stands for a small fleet, in
// which each host sends its heartbeats to all others.
func (g *Gossip) needsReply(s roster.State) bool {
	if s.Revision == 0 {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.roster.HeartbeatParams().NearFanout == 0
}

// knowsFew reports whether a host knows too few others.
func (g *Gossip) knowsFew(s roster.State) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.roster.KnowsFew(s)
}

// sendReply sends a heartbeat to a host whose process has just started or that knows few
// others, so that the host does not wait for the next round to find peers.
func (g *Gossip) sendReply(s roster.State) {
	ap, err := netip.ParseAddrPort(s.GossipAddress)
	if err != nil || s.Name == "" {
		return
	}
	if data := g.latestReply(time.Now(), s.Place); data != nil {
		g.write(data, []netip.AddrPort{ap})
	}
}

// latestReply returns a reply to a host of a place that was made at most replyCacheTime ago
// and with the present state of this host, or nil if it cannot be encoded.
func (g *Gossip) latestReply(now time.Time, place string) []byte {
	self := g.opts.Self()
	position := published.Position{Era: self.Era, Revision: self.Revision, ConfigVersion: self.ConfigVersion}
	g.mu.Lock()
	last := g.replies[place]
	g.mu.Unlock()
	if last.data != nil && last.position == position && now.Sub(last.made) < replyCacheTime {
		return last.data
	}
	last = reply{data: g.encode(now, relayForReply, place), made: now, position: position}
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.replies) >= maxCachedReplies {
		clear(g.replies)
	}
	g.replies[place] = last
	return last.data
}

// observe records a heartbeat in the roster. It reports whether the sender's state
// is newer than the one in the roster, and whether the sender's incarnation was in
// the roster before.
func (g *Gossip) observe(m heartbeat) (newer, seen bool) {
	return g.observeAt(time.Now(), m)
}

// observeAt is observe for a heartbeat that arrived at the given time.
func (g *Gossip) observeAt(now time.Time, m heartbeat) (newer, seen bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m.Self.Age = 0
	seen = g.roster.HasSeen(m.Self)
	newer = g.roster.Observe(now, m.Self)
	for _, s := range m.Relayed {
		g.roster.Observe(now, s)
	}
	for _, l := range m.Liveness {
		g.roster.ObserveLiveness(now, l)
	}
	return newer, seen
}

// WithRoster calls f with exclusive access to the roster. f must not keep the
// roster or call methods of g.
func (g *Gossip) WithRoster(f func(*roster.Roster)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.roster)
}

// DecodeErrors returns the number of heartbeats, or updates in them, that could
// not be decoded.
func (g *Gossip) DecodeErrors() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.decodeErrors
}
