package httpanswer_test

import (
	"crypto/tls"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lacewingyard/lacewingyard/internal/httpanswer"
	"github.com/lacewingyard/lacewingyard/internal/httpanswer/answertest"
	. "github.com/onsi/gomega"
)

// serveTexts starts a server that answers with the text named by a request's query.
func serveTexts(t *testing.T, texts map[string]string, closes bool) *answertest.Server {
	s, err := answertest.NewServer(func(r *http.Request) string { return texts[r.URL.Query().Get("text")] }, closes)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// get requests a text with a client and returns the body.
func get(client *http.Client, s *answertest.Server, name string) (string, error) {
	resp, err := client.Get("http://" + s.Address() + "?" + url.Values{"text": {name}}.Encode())
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

func TestTransportRefusesWhatAReaderRefuses(t *testing.T) {
	g := NewWithT(t)
	s := serveTexts(t, refused, true)
	client := &http.Client{Transport: httpanswer.NewTransport(&http.Transport{}), Timeout: 5 * time.Second}
	for _, fault := range slices.Sorted(maps.Keys(refused)) {
		body, err := get(client, s, fault)
		g.Expect(err).To(HaveOccurred(), "%s: body %q", fault, body)
	}
}

func TestTransportTakesWhatAReaderTakes(t *testing.T) {
	g := NewWithT(t)
	s := serveTexts(t, sound, true)
	client := &http.Client{Transport: httpanswer.NewTransport(&http.Transport{}), Timeout: 5 * time.Second}
	for _, name := range slices.Sorted(maps.Keys(sound)) {
		body, err := get(client, s, name)
		g.Expect(err).NotTo(HaveOccurred(), name)
		g.Expect(body).To(Equal("ok"), name)
	}
}

// Guards against a list of malformed answers that a client refuses without this package.
func TestMalformedAnswersAreTakenByNetHTTP(t *testing.T) {
	g := NewWithT(t)
	texts := answertest.Malformed("ok")
	s := serveTexts(t, texts, true)
	for _, fault := range slices.Sorted(maps.Keys(texts)) {
		_, err := get(&http.Client{Transport: &http.Transport{}, Timeout: 5 * time.Second}, s, fault)
		g.Expect(err).NotTo(HaveOccurred(), fault)
		_, err = get(&http.Client{Transport: httpanswer.NewTransport(&http.Transport{}), Timeout: 5 * time.Second}, s, fault)
		g.Expect(errors.Is(err, httpanswer.ErrMalformed)).To(BeTrue(), "%s: %v", fault, err)
	}
}

// Guards against answers over TLS of which only what the parser returns is checked.
func TestTransportChecksAnswersOverTLS(t *testing.T) {
	g := NewWithT(t)
	texts := answertest.Malformed("ok")
	texts["sound"] = answertest.Sound("ok")
	plain := serveTexts(t, texts, true)
	secure := httptest.NewTLSServer(nil) // for its certificate
	defer secure.Close()
	l, err := tls.Listen("tcp", "127.0.0.1:0", &tls.Config{Certificates: secure.TLS.Certificates})
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	go forward(l, plain.Address())
	base := secure.Client().Transport.(*http.Transport).Clone()
	client := &http.Client{Transport: httpanswer.NewTransport(base), Timeout: 5 * time.Second}
	for fault := range texts {
		resp, err := client.Get("https://" + l.Addr().String() + "?" + url.Values{"text": {fault}}.Encode())
		if err == nil {
			_, err = io.ReadAll(resp.Body)
			_ = resp.Body.Close()
		}
		if fault == "sound" {
			g.Expect(err).NotTo(HaveOccurred())
			continue
		}
		g.Expect(errors.Is(err, httpanswer.ErrMalformed)).To(BeTrue(), "%s: %v", fault, err)
	}
}

// forward passes the connections of a listener on to an address.
func forward(l net.Listener, address string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			to, err := net.Dial("tcp", address)
			if err != nil {
				return
			}
			defer func() { _ = to.Close() }()
			go func() { _, _ = io.Copy(to, c) }()
			_, _ = io.Copy(c, to)
		}()
	}
}

// Guards against a call that waits for the rest of a head of which a line is malformed, and
// against one that net/http sends again.
func TestTransportRefusesAMalformedLineAtOnce(t *testing.T) {
	g := NewWithT(t)
	var requests atomic.Int64
	s, err := answertest.NewServer(func(r *http.Request) string {
		requests.Add(1)
		if r.URL.Query().Get("text") == "sound" {
			return answertest.Sound("ok")
		}
		return "HTTP/1.1 200 OK\r\nX A: b\r\n"
	}, false)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = s.Close() }()
	client := &http.Client{Transport: httpanswer.NewTransport(&http.Transport{}), Timeout: 5 * time.Second}
	_, err = get(client, s, "sound") // so that the connection is used again
	g.Expect(err).NotTo(HaveOccurred())
	began := time.Now()
	_, err = get(client, s, "malformed")
	g.Expect(errors.Is(err, httpanswer.ErrMalformed)).To(BeTrue(), "%v", err)
	g.Expect(time.Since(began)).To(BeNumerically("<", 2*time.Second))
	g.Expect(requests.Load()).To(BeEquivalentTo(2))
}

// Guards against a connection that goes on after a malformed answer without a body, and against
// one that ends after a sound answer.
func TestTransportEndsTheConnectionOfAMalformedAnswerOnly(t *testing.T) {
	g := NewWithT(t)
	s := serveTexts(t, map[string]string{
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
		_, err := get(client, s, step.text)
		g.Expect(err == nil).To(Equal(step.ok), "%s: %v", step.text, err)
		g.Expect(s.Accepted.Load()).To(BeEquivalentTo(step.accepted), step.text)
	}
}
