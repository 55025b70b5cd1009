package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lacewingyard/lacewingyard/internal/httpanswer"
	"github.com/lacewingyard/lacewingyard/platform/platformtest"
)

const (
	// keptPerKeeper is the number of connections that a keeper holds.
	keptPerKeeper = 4
	// One call in leavingCalls, on average, is followed by the end of the keeper's side of the
	// connection, up to maxLeaveDelay later. The keeper reads on.
	leavingCalls  = 40
	maxLeaveDelay = 200 * time.Millisecond
	// maxUnused is the longest time that a keeper leaves a new connection without a request.
	maxUnused = 6 * time.Second
	// readBufferSize, in bytes, holds a typical answer.
	readBufferSize = 4 << 10
)

// keeper is a caller that opens connections ahead of its requests and goes on using them
// until the host closes them, also while the host is stopping and whatever the directory
// says. It never sends a request twice.
type keeper struct {
	caller
	open []*keptConnection
}

// keptConnection is a connection of a keeper.
type keptConnection struct {
	address string
	conn    *net.TCPConn
	in      *httpanswer.Reader
	useFrom time.Time // no request is sent on it before
}

func (k *keeper) run(ctx context.Context) {
	defer func() {
		for _, c := range k.open {
			_ = c.conn.Close()
		}
	}()
	for ctx.Err() == nil {
		k.resolve(ctx, 1)
		for len(k.open) < keptPerKeeper && len(k.addresses) > 0 {
			c, err := openKept(k.addresses[k.rng.IntN(len(k.addresses))])
			if err != nil {
				break // the host has closed its listener
			}
			// Half of the connections are opened ahead.
			if k.rng.IntN(2) == 0 {
				c.useFrom = time.Now().Add(time.Duration(k.rng.Int64N(int64(maxUnused))))
			}
			k.open = append(k.open, c)
		}
		if i := k.pick(); i >= 0 && !k.send(k.open[i]) {
			_ = k.open[i].conn.Close()
			k.open = slices.Delete(k.open, i, i+1)
		}
		sleep(ctx, time.Duration(k.rng.ExpFloat64()*float64(k.interval())))
	}
}

// pick draws one of the connections that may be used now, -1 if there is none.
func (k *keeper) pick() int {
	now := time.Now()
	for _, i := range k.rng.Perm(len(k.open)) {
		if !now.Before(k.open[i].useFrom) {
			return i
		}
	}
	return -1
}

func openKept(address string) (*keptConnection, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &keptConnection{address: address, conn: conn.(*net.TCPConn), in: httpanswer.NewReader(conn, readBufferSize)}, nil
}

// send makes a call on a connection and reports whether the connection can be used again.
func (k *keeper) send(c *keptConnection) bool {
	call := k.newCall(c.address)
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := platformtest.NewRequest(ctx, c.address, call.Method, call.URI, call.ID, []byte(call.Body), callTimeout)
	if err != nil {
		return false
	}
	call.setHeader(req)
	call.Left = k.rng.IntN(leavingCalls) == 0
	k.fleet.checker.RecordCall(call)
	if call.Left {
		leave := time.AfterFunc(time.Duration(k.rng.Int64N(int64(maxLeaveDelay))), func() { _ = c.conn.CloseWrite() })
		defer leave.Stop()
	}
	reply, reusable := c.roundTrip(req, callTimeout)
	k.fleet.checker.RecordReply(call.ID, reply)
	return reusable && !call.Left
}

// roundTrip sends a request and reads its answer. It also reports whether the connection
// can be used again.
func (c *keptConnection) roundTrip(req *http.Request, limit time.Duration) (platformtest.Reply, bool) {
	began := time.Now()
	failed := func(err error) (platformtest.Reply, bool) {
		return platformtest.Reply{Err: err, Took: time.Since(began)}, false
	}
	_ = c.conn.SetDeadline(began.Add(limit))
	if err := req.Write(c.conn); err != nil {
		return failed(err)
	}
	resp, err := c.in.ReadAnswer(req)
	if err != nil {
		return failed(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return failed(err)
	}
	reply := platformtest.ReplyOf(resp, body)
	reply.Took = time.Since(began)
	return reply, !resp.Close
}

// connectionEnded reports whether a call failed because the host closed the connection, and
// not because its time was over.
func connectionEnded(r *platformtest.Reply) bool {
	var timeout net.Error
	return r.Err != nil && !(errors.As(r.Err, &timeout) && timeout.Timeout()) && !errors.Is(r.Err, context.DeadlineExceeded)
}

// startKeepers starts keepers until the context ends.
func (s *testFleet) startKeepers(ctx context.Context, group *sync.WaitGroup, count int, seed uint64, nextID *atomic.Int64) {
	for i := range count {
		k := &keeper{caller: caller{fleet: s, place: fmt.Sprint("p", i%places), rng: rand.New(rand.NewPCG(seed, 1<<33+uint64(i))), nextID: nextID, tenant: i + 2}}
		group.Go(func() { k.run(ctx) })
	}
}
