package backend_test

import (
	"bytes"
	"context"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/backend"
	"github.com/lacewingyard/lacewingyard/internal/httpanswer/answertest"
	"golang.org/x/net/http/httpguts"
)

// FuzzTargetAnswer sends arbitrary bytes as the answer of a target. It guards against an
// answer that ends the process, that fills its memory, that counts as the answer to a request
// which it does not name, or that counts as an answer or a refusal although it is malformed.
func FuzzTargetAnswer(f *testing.F) {
	head := "HTTP/1.1 200 OK\r\nId: 1\r\nProof: p-1\r\n"
	for _, seed := range []string{
		head + "Content-Length: 2\r\n\r\nok",
		head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		head + "\r\nuntil the end",
		head + "Content-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n",
		"HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 0\r\n\r\n",
		"HTTP/1.1 503 Full\r\nId: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: 2\r\nProof: p-2\r\nContent-Length: 1\r\n\r\nx",
		head + "Content-Length: 99999999999\r\n\r\n",
		head + "Content-Length: -1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
		"\x00\xff\x16\x03\x01",
	} {
		f.Add([]byte(seed))
	}
	for _, text := range answertest.Malformed("ok") {
		line, rest, _ := strings.Cut(text, "\r\n")
		f.Add([]byte(line + "\r\nId: 1\r\nProof: p-1\r\n" + rest))
	}
	shared := &backend.Shared{Codec: codec{}, Bodies: backend.NewBodies(0)}
	f.Fuzz(func(t *testing.T, answer []byte) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatalf("no socket: %v", err)
		}
		defer func() { _ = l.Close() }()
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			buffer := make([]byte, 4096)
			_, _ = c.Read(buffer)
			_, _ = c.Write(answer)
			_ = c.Close()
		}()
		pool := backend.NewPool(l.Addr().String(), "t", shared, 1)
		defer pool.Close()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		result := pool.Send(context.Background(), &backend.Request{ID: "1", Method: "GET", URI: "/a", Host: "h"}, time.Now().Add(time.Second), false)
		runtime.ReadMemStats(&after)
		defer result.Release()
		if used := after.TotalAlloc - before.TotalAlloc; used > 2<<20+8*uint64(len(answer)) {
			t.Fatalf("%d bytes for an answer of %d bytes", used, len(answer))
		}
		if result.Kind < backend.Refused {
			return
		}
		if result.Status < 200 || result.Status > 599 {
			t.Fatalf("%v with status %d", result.Kind, result.Status)
		}
		for name, values := range result.Header {
			if !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(strings.Join(values, "")) {
				t.Fatalf("%v with field %q: %q", result.Kind, name, values)
			}
		}
		if result.Kind != backend.Success {
			return
		}
		if result.Head.ID != "1" || result.Head.Digest == "" || result.Status/100 != 2 {
			t.Fatalf("success with status %d, ID %q and digest %q", result.Status, result.Head.ID, result.Head.Digest)
		}
		if !bytes.Contains(answer, []byte("Id")) && !bytes.Contains(bytes.ToLower(answer), []byte("id")) {
			t.Fatal("success without an ID on the wire")
		}
	})
}
