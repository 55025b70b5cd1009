package httpanswer

import (
	"bytes"
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformed is the error of bytes that are no answer. They promise nothing: the request
// may have run, whatever the bytes say about that.
var ErrMalformed = errors.New("malformed answer")

// malformed returns an ErrMalformed that states what is wrong.
func malformed(format string, args ...any) error {
	return errors.Newf("%w: "+format, append([]any{ErrMalformed}, args...)...)
}

// lastStatus is the highest status code of HTTP (RFC 9110, 15).
const lastStatus = 599

// headScanner checks the heads of an answer, and of interim answers before it, while their
// bytes arrive: a malformed line counts although the rest of the head does not come. It checks
// what the parser of net/http accepts although RFC 9110 and 9112 do not let a client take it.
type headScanner struct {
	line    []byte  // what has come of a line that arrives in parts
	inHead  bool    // a status line has come, and the empty line after the fields has not
	framing framing // of the head
	done    bool    // the head of the answer is complete
	err     error   // an ErrMalformed once a line is malformed
}

// maxKeptLine bounds the memory for a line that a connection keeps for the next answer.
const maxKeptLine = 1 << 10

// reset prepares for the next answer.
func (s *headScanner) reset() {
	kept := s.line[:0]
	if cap(kept) > maxKeptLine {
		kept = nil
	}
	*s = headScanner{line: kept}
}

// scan checks the bytes after those that it has got before. It ignores what follows the head of
// the answer.
func (s *headScanner) scan(b []byte) {
	for !s.done && s.err == nil {
		line, rest, ok := bytes.Cut(b, []byte("\n"))
		if !ok {
			s.line = append(s.line, b...)
			return
		}
		if len(s.line) > 0 {
			s.line = append(s.line, line...)
			line, s.line = s.line, s.line[:0]
		}
		// A line may end without a carriage return (RFC 9112, 2.2).
		s.err = s.endLine(bytes.TrimSuffix(line, []byte("\r")))
		b = rest
	}
}

// endLine checks a line.
func (s *headScanner) endLine(line []byte) error {
	switch {
	case !s.inHead:
		status, err := parseStatus(line)
		s.inHead, s.framing = true, framing{status: status, http10: bytes.HasPrefix(line, []byte("HTTP/1.0 "))}
		return err
	case len(line) > 0:
		name, err := checkField(line)
		s.framing.add(name, line)
		return err
	default:
		s.inHead, s.done = false, s.framing.status >= http.StatusOK
		return s.framing.check()
	}
}

// result returns the error of an answer that the parser of net/http accepted.
func (s *headScanner) result() error {
	if s.err == nil && !s.done {
		return malformed("no end of the head")
	}
	return s.err
}

// checkParsed checks an answer of which the bytes are not known: what the parser ignores,
// such as a second statement of the length, is not seen.
func checkParsed(resp *http.Response) error {
	if resp.StatusCode < http.StatusOK || resp.StatusCode > lastStatus {
		return malformed("status %d", resp.StatusCode)
	}
	for name := range resp.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return malformed("field name %q", excerpt([]byte(name)))
		}
	}
	return nil
}

// framing is what a head says about the end of its answer.
type framing struct {
	status                 int
	http10                 bool
	coded, length, content bool // a transfer coding, a length, and one other than 0 is stated
	inLength               bool // the last field states a length
}

// add adds a line of a field; name is empty if the line continues the one before.
func (f *framing) add(name, line []byte) {
	if len(name) > 0 {
		f.coded = f.coded || bytes.EqualFold(name, []byte("Transfer-Encoding"))
		f.inLength = bytes.EqualFold(name, []byte("Content-Length"))
		f.length = f.length || f.inLength
	}
	f.content = f.content || f.inLength && bytes.ContainsAny(line, "123456789")
}

// check refuses a head of which recipients can disagree where the answer ends.
func (f *framing) check() error {
	switch {
	case f.coded && f.http10:
		return malformed("transfer coding in HTTP/1.0")
	case f.coded && f.length:
		return malformed("both a transfer coding and a length")
	case (f.coded || f.content) && (f.status < http.StatusOK || f.status == http.StatusNoContent):
		return malformed("content with status %d", f.status)
	}
	return nil
}

// checkField checks one line of a field and returns the field's name, which is empty if the
// line continues the one before. The parser of net/http takes a space in a name, and then
// knows neither the length nor the coding that the field states.
func checkField(line []byte) (name []byte, err error) {
	value := line
	if line[0] != ' ' && line[0] != '\t' {
		name, value, _ = bytes.Cut(line, []byte(":"))
		if !httpguts.ValidHeaderFieldName(string(name)) {
			return nil, malformed("field name %q", excerpt(name))
		}
	}
	if !httpguts.ValidHeaderFieldValue(string(value)) {
		return nil, malformed("field line %q", excerpt(line))
	}
	return name, nil
}

// parseStatus returns the status code of a status line.
func parseStatus(line []byte) (int, error) {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	code, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	if len(version) != len("HTTP/1.1") || !bytes.HasPrefix(version, []byte("HTTP/1.")) {
		return 0, malformed("version %q", excerpt(version))
	}
	if !httpguts.ValidHeaderFieldValue(string(line)) { // a reason has the same bytes
		return 0, malformed("status line %q", excerpt(line))
	}
	status := 0
	for _, c := range code {
		if c < '0' || c > '9' {
			return 0, malformed("status %q is not a number", excerpt(code))
		}
		status = 10*status + int(c-'0')
	}
	switch {
	case len(code) != 3 || status < http.StatusContinue || status > lastStatus:
		return 0, malformed("status %q is outside the range of status codes", excerpt(code))
	case status == http.StatusSwitchingProtocols:
		return 0, malformed("status %q without a request to switch protocols", excerpt(code))
	}
	return status, nil
}

// maxExcerptBytes bounds what an error quotes.
const maxExcerptBytes = 40

func excerpt(b []byte) []byte { return b[:min(len(b), maxExcerptBytes)] }
