package backend_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/backend"
	. "github.com/onsi/gomega"
)

// BenchmarkSend measures one send over an open connection, the target's side included.
func BenchmarkSend(b *testing.B) {
	RegisterTestingT(b)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s := &scriptedTarget{}
		s.serve(c, func(_ int, id string, _ net.Conn) string { return answer(id, "0123456789abcdef") })
	}()
	p := backend.NewPool(l.Addr().String(), "t", &backend.Shared{Codec: codec{}, Bodies: backend.NewBodies(0)}, 1)
	defer p.Close()
	r := &backend.Request{ID: "1", Method: "GET", URI: "/a", Host: "h"}
	b.ReportAllocs()
	for b.Loop() {
		if got := p.Send(context.Background(), r, time.Now().Add(time.Second), false); got.Kind != backend.Success {
			b.Fatal(got.Kind, got.Err)
		}
	}
}
