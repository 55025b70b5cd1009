package httpanswer_test

import (
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"github.com/lacewingyard/lacewingyard/internal/httpanswer"
	. "github.com/onsi/gomega"
)

// read reads an answer with its body. The bytes come as one segment, or one by one.
func read(text string, oneByOne bool) (*http.Response, string, error) {
	var in io.Reader = strings.NewReader(text)
	if oneByOne {
		in = iotest.OneByteReader(in)
	}
	resp, err := httpanswer.NewReader(in, 16).ReadAnswer(&http.Request{Method: http.MethodGet})
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// refused are texts that a client must not or need not take as an answer. "ok" is the body.
var refused = map[string]string{
	"status 000":              "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok",
	"status 099":              "HTTP/1.1 099 OK\r\nContent-Length: 2\r\n\r\nok",
	"status 600":              "HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\nok",
	"status 999":              "HTTP/1.1 999 OK\r\nContent-Length: 2\r\n\r\nok",
	"a signed status":         "HTTP/1.1 +99 OK\r\nContent-Length: 2\r\n\r\nok",
	"a negative status":       "HTTP/1.1 -99 OK\r\nContent-Length: 2\r\n\r\nok",
	"a status of two digits":  "HTTP/1.1 20 OK\r\nContent-Length: 2\r\n\r\nok",
	"a status of four":        "HTTP/1.1 2000 OK\r\nContent-Length: 2\r\n\r\nok",
	"a hexadecimal status":    "HTTP/1.1 0xC8 OK\r\nContent-Length: 2\r\n\r\nok",
	"no status":               "HTTP/1.1\r\nContent-Length: 2\r\n\r\nok",
	"status 101":              "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"version 0.9":             "HTTP/0.9 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"version 2.0":             "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"version 1.10":            "HTTP/1.10 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"a lower-case protocol":   "http/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"another protocol":        "ICY 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"a NUL in the reason":     "HTTP/1.1 200 O\x00K\r\nContent-Length: 2\r\n\r\nok",
	"a carriage return there": "HTTP/1.1 200 O\rK\r\nContent-Length: 2\r\n\r\nok",
	"an empty line before":    "\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"a space before":          " HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",

	"a space before a colon":      "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok",
	"a space in a name":           "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX A: b\r\n\r\nok",
	"a tab before a colon":        "HTTP/1.1 200 OK\r\nContent-Length\t: 2\r\n\r\nok",
	"a NUL in a name":             "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX\x00: b\r\n\r\nok",
	"a DEL in a name":             "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX\x7f: b\r\n\r\nok",
	"a carriage return in a name": "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX\rA: b\r\n\r\nok",
	"a separator in a name":       "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX(A): b\r\n\r\nok",
	"a letter beyond ASCII":       "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX\xe4: b\r\n\r\nok",
	"an empty name":               "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n: b\r\n\r\nok",
	"no colon":                    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX\r\n\r\nok",
	"a name in two lines":         "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX\r\n A: b\r\n\r\nok",
	"a space before the first":    "HTTP/1.1 200 OK\r\n Content-Length: 2\r\n\r\nok",
	"a NUL in a value":            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX: a\x00\r\n\r\nok",
	"a carriage return in one":    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX: a\rb\r\n\r\nok",
	"a control byte in a folded":  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX: a\r\n \x01\r\n\r\nok",

	"a coding in HTTP/1.0":         "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"a coding and a length":        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nTRANSFER-ENCODING: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"a coding that is not chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nok",
	"two codings":                  "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"two lengths":                  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
	"a list of lengths":            "HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\n\r\nok",
	"a signed length":              "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nok",
	"a negative length":            "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok",
	"a hexadecimal length":         "HTTP/1.1 200 OK\r\nContent-Length: 0x2\r\n\r\nok",
	"an empty length":              "HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\nok",
	"a length beyond 63 bits":      "HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775808\r\n\r\nok",
	"a length with status 204":     "HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\nok",
	"a coding with status 204":     "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"a length in an interim head":  "HTTP/1.1 103 Early Hints\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"a coding in an interim head":  "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",

	"a space in the name of a trailer": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX A: b\r\n\r\n",
	"a space before a trailer's colon": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX : b\r\n\r\n",
	"a control byte in a trailer":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: b\x01\r\n\r\n",
	"a trailer without a colon":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX\r\n\r\n",
	"a chunk without a size":           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\r\nok\r\n0\r\n\r\n",
	"a signed size":                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n+2\r\nok\r\n0\r\n\r\n",
	"a size with a prefix":             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0x2\r\nok\r\n0\r\n\r\n",
	"a size beyond 64 bits":            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10000000000000002\r\nok\r\n0\r\n\r\n",
	"a chunk that is longer than it":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nok\r\n0\r\n\r\n",
	"a size without CR":                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\nok\r\n0\r\n\r\n",
}

// sound are texts that a client has to or may take, with the body "ok".
var sound = map[string]string{
	"a length":                   "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"status 599":                 "HTTP/1.1 599 x\r\nContent-Length: 2\r\n\r\nok",
	"version 1.0":                "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"a later minor version":      "HTTP/1.2 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"a reason beyond ASCII":      "HTTP/1.1 200 \xe4\tOK\r\nContent-Length: 2\r\n\r\nok",
	"no reason":                  "HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nok",
	"no space before its reason": "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok",
	"several spaces":             "HTTP/1.1  200  OK\r\nContent-Length: 2\r\n\r\nok",
	"an interim answer":          "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"several interim answers":    strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", 6) + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"the end of the connection":  "HTTP/1.1 200 OK\r\n\r\nok",
	"lines without CR":           "HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
	"all bytes of a name":        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n!#$%&'*+-.^_`|~09azAZ: b\r\n\r\nok",
	"a value beyond ASCII":       "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX: \xe4\xff\t b\r\n\r\nok",
	"an empty value":             "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX:\r\nY: \r\n\r\nok",
	"spaces around a value":      "HTTP/1.1 200 OK\r\nContent-Length: \t 2 \t\r\n\r\nok",
	"a value in two lines":       "HTTP/1.1 200 OK\r\nX: a\r\n b\r\nContent-Length:\r\n 2\r\n\r\nok",
	"chunks":                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: CHUNKED\r\n\r\n1\r\no\r\n01;a=\"b\"\r\nk\r\n0\r\n\r\n",
	"the same length twice":      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok",
	"a trailer":                  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X, Y Z\r\n\r\n2\r\nok\r\n0\r\nX: a\r\nQ: b\r\n\r\n",
	"a length with zeros":        "HTTP/1.1 200 OK\r\nContent-Length: 0002\r\n\r\nok",
	"length 0 in an interim":     "HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"colons in a value":          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX: a:b : c\r\n\r\nok",
}

func TestReadAnswerRefusesMalformedAnswers(t *testing.T) {
	for _, fault := range slices.Sorted(maps.Keys(refused)) {
		for _, before := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n"} {
			for _, oneByOne := range []bool{false, true} {
				g := NewWithT(t)
				_, body, err := read(before+refused[fault], oneByOne)
				g.Expect(errors.Is(err, httpanswer.ErrMalformed)).To(BeTrue(), "%s: %v, body %q", fault, err, body)
			}
		}
	}
}

func TestReadAnswerTakesSoundAnswers(t *testing.T) {
	for _, name := range slices.Sorted(maps.Keys(sound)) {
		for _, oneByOne := range []bool{false, true} {
			g := NewWithT(t)
			resp, body, err := read(sound[name], oneByOne)
			g.Expect(err).NotTo(HaveOccurred(), name)
			g.Expect(body).To(Equal("ok"), name)
			g.Expect(resp.StatusCode).To(BeNumerically(">=", 200), name)
		}
	}
}

// Guards against the end of a connection that counts as a malformed answer: it may mean that
// the target ended.
func TestReadAnswerTellsTheEndOfTheConnection(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for i := range len(text) {
		_, _, err := read(text[:i], false)
		g := NewWithT(t)
		g.Expect(err).To(HaveOccurred(), "%q", text[:i])
		g.Expect(errors.Is(err, httpanswer.ErrMalformed)).To(BeFalse(), "%q", text[:i])
	}
}

// Guards against a request that waits for the rest of a head of which a line is malformed.
func TestReadAnswerRefusesAMalformedLineAtOnce(t *testing.T) {
	for _, start := range []string{"HTTP/1.1 000 OK\r\n", "HTTP/1.1 200 OK\r\nA: b\r\nX A: b\r\n", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 999 x\r\n"} {
		g := NewWithT(t)
		client, server := net.Pipe()
		go func() { _, _ = io.WriteString(server, start) }()
		result := make(chan error, 1)
		go func() {
			_, err := httpanswer.NewReader(client, 16).ReadAnswer(&http.Request{})
			result <- err
		}()
		var err error
		g.Eventually(result, "5s").Should(Receive(&err), "%q", start)
		g.Expect(errors.Is(err, httpanswer.ErrMalformed)).To(BeTrue(), "%q: %v", start, err)
		_, _ = client.Close(), server.Close()
	}
}

// Guards against heads that take memory without bound, whatever interim answers come before.
func TestReadAnswerBoundsHeads(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", httpanswer.MaxHeadBytes),
		strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", httpanswer.MaxHeadBytes),
	} {
		_, _, err := read(text, false)
		NewWithT(t).Expect(errors.Is(err, httpanswer.ErrTooLarge)).To(BeTrue(), "%v", err)
	}
}
