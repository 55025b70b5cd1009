package httpanswer_test

import (
	"bufio"
	"io"
	"maps"
	"net"
	"net/http"
	"net/url"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/httpanswer"
	. "github.com/onsi/gomega"
)

// textServer answers each request with the text for its path and then closes the connection
// if closes is set. It counts the connections.
type textServer struct {
	net.Listener
	texts    map[string]string
	closes   bool
	accepted atomic.Int64
}

func newTextServer(t *testing.T, texts map[string]string, closes bool) *textServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	s := &textServer{Listener: l, texts: texts, closes: closes}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.accepted.Add(1)
			go s.serve(c)
		}
	}()
	return s
}

func (s *textServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.WriteString(c, s.texts[r.URL.Query().Get("text")]); err != nil || s.closes {
			return
		}
	}
}

// get requests a text with a client and returns the body.
func (s *textServer) get(client *http.Client, name string) (string, error) {
	resp, err := client.Get("http://" + s.Addr().String() + "?" + url.Values{"text": {name}}.Encode())
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

func TestTransportRefusesWhatAReaderRefuses(t *testing.T) {
	g := NewWithT(t)
	s := newTextServer(t, refused, true)
	client := &http.Client{Transport: httpanswer.NewTransport(&http.Transport{}), Timeout: 5 * time.Second}
	for _, fault := range slices.Sorted(maps.Keys(refused)) {
		body, err := s.get(client, fault)
		g.Expect(err).To(HaveOccurred(), "%s: body %q", fault, body)
	}
}

func TestTransportTakesWhatAReaderTakes(t *testing.T) {
	g := NewWithT(t)
	s := newTextServer(t, sound, true)
	client := &http.Client{Transport: httpanswer.NewTransport(&http.Transport{}), Timeout: 5 * time.Second}
	for _, name := range slices.Sorted(maps.Keys(sound)) {
		body, err := s.get(client, name)
		g.Expect(err).NotTo(HaveOccurred(), name)
		g.Expect(body).To(Equal("ok"), name)
	}
}

// Guards against a connection that goes on after a malformed answer without a body, and against
// one that ends after a sound answer.
func TestTransportEndsTheConnectionOfAMalformedAnswerOnly(t *testing.T) {
	g := NewWithT(t)
	s := newTextServer(t, map[string]string{
		"sound":     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"malformed": "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX A: b\r\n\r\n",
	}, false)
	transport := httpanswer.NewTransport(&http.Transport{})
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 5 * time.Second}
	for _, step := range []struct {
		text     string
		ok       bool
		accepted int
	}{{"sound", true, 1}, {"sound", true, 1}, {"malformed", false, 1}, {"sound", true, 2}, {"sound", true, 2}} {
		_, err := s.get(client, step.text)
		g.Expect(err == nil).To(Equal(step.ok), "%s: %v", step.text, err)
		g.Expect(s.accepted.Load()).To(BeEquivalentTo(step.accepted), step.text)
	}
}
