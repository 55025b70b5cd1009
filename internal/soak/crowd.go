package soak

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/lacewingyard/lacewingyard/platform/platformtest"
)

const (
	// maxBodyBytes is the largest body in the configuration.
	maxBodyBytes = 262144
	// crowdChunk is the size of the chunks of those bodies that are sent in chunks.
	crowdChunk = 16 << 10
	// crowdWait bounds each write of a member of a crowd; the host may be paused.
	crowdWait = 5 * time.Second
)

// holdBodies makes many callers send a host bodies of the largest size, half of them in chunks,
// that stop short of their end, and hold them open for a time. No such request may run, which
// Finish reports, and the host has to stay within its memory.
func (f *injector) holdBodies(ctx context.Context, length time.Duration) {
	h := f.fleet.hosts[f.rng.IntN(len(f.fleet.hosts))]
	f.logf("%d callers hold bodies open at %s for %v", f.crowd, h.Name, length)
	key := f.fleet.book.published()[0].Keys[0]
	ctx, cancel := context.WithTimeout(ctx, length)
	var members sync.WaitGroup
	for i := range f.crowd {
		id := fmt.Sprintf("held-%d-%d", f.crowds, i)
		members.Go(func() { holdBody(ctx, h.Address(h.Ports.Callers), id, key, i%2 == 0) })
	}
	f.crowds++
	f.wg.Go(func() {
		members.Wait()
		cancel()
	})
}

// holdBody sends all but the end of a request and holds its connection open until the context
// ends.
func holdBody(ctx context.Context, address, id, key string, chunked bool) {
	conn, err := net.DialTimeout("tcp", address, crowdWait)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	uri := platformtest.AtMostOncePrefix + id
	head, part, parts := platformtest.PostHead(uri, id, callTimeout, maxBodyBytes), strings.Repeat("x", crowdChunk), maxBodyBytes/crowdChunk
	if chunked {
		head = platformtest.ChunkedHead(uri, id, callTimeout)
		part = fmt.Sprintf("%x\r\n%s\r\n", crowdChunk, part)
	}
	_ = conn.SetWriteDeadline(time.Now().Add(crowdWait))
	_, err = conn.Write([]byte(strings.Replace(head, "\r\n", "\r\nAuthorization: Bearer "+key+"\r\n", 1)))
	for i := 0; i < parts && err == nil; i++ {
		if i == parts-1 {
			part = part[:len(part)-3] // the end of the body does not follow
		}
		_, err = conn.Write([]byte(part))
	}
	if err == nil {
		<-ctx.Done()
	}
}
