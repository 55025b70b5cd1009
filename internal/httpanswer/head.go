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

// checkHead checks what the parser of net/http accepts although RFC 9110 and 9112 do not let
// a client take it. b begins with a head that the parser accepted. checkHead returns the
// status and what follows the head.
func checkHead(b []byte) (status int, rest []byte, err error) {
	line, rest, ok := cutLine(b)
	if status, err = parseStatus(line); err != nil {
		return 0, nil, err
	}
	f := framing{status: status, old: bytes.HasPrefix(line, []byte("HTTP/1.0 "))}
	for line, rest, ok = cutLine(rest); len(line) > 0; line, rest, ok = cutLine(rest) {
		name, err := checkField(line)
		if err != nil {
			return 0, nil, err
		}
		f.add(name, line)
	}
	if !ok {
		return 0, nil, malformed("no end of the head")
	}
	return status, rest, f.check()
}

// checkHeads checks the heads of interim answers and of the answer after them.
func checkHeads(b []byte) error {
	for {
		status, rest, err := checkHead(b)
		if err != nil || status >= http.StatusOK {
			return err
		}
		b = rest
	}
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
	status                  int
	old                     bool // HTTP/1.0
	coded, length, hasBytes bool // a coding, a length, and one other than 0 is stated
	inLength                bool // the last field states a length
}

// add adds a line of a field; name is empty if the line continues the one before.
func (f *framing) add(name, line []byte) {
	if len(name) > 0 {
		f.coded = f.coded || bytes.EqualFold(name, []byte("Transfer-Encoding"))
		f.inLength = bytes.EqualFold(name, []byte("Content-Length"))
		f.length = f.length || f.inLength
	}
	f.hasBytes = f.hasBytes || f.inLength && bytes.ContainsAny(line, "123456789")
}

// check refuses a head of which recipients can disagree where the answer ends.
func (f *framing) check() error {
	switch {
	case f.coded && f.old:
		return malformed("transfer coding in HTTP/1.0")
	case f.coded && f.length:
		return malformed("both a transfer coding and a length")
	case (f.coded || f.hasBytes) && (f.status < http.StatusOK || f.status == http.StatusNoContent):
		return malformed("content with status %d", f.status)
	}
	return nil
}

// checkField checks one line of a field and returns the field's name, which is empty if the
// line continues the one before. The parser of net/http takes a blank in a name, and then
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
	if !bytes.HasPrefix(version, []byte("HTTP/1.")) {
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
	case status < http.StatusContinue || status > lastStatus:
		return 0, malformed("status %q is outside the range of status codes", excerpt(code))
	case status == http.StatusSwitchingProtocols:
		return 0, malformed("status %q without a request to switch protocols", excerpt(code))
	}
	return status, nil
}

// maxExcerptBytes bounds what an error quotes.
const maxExcerptBytes = 40

func excerpt(b []byte) []byte { return b[:min(len(b), maxExcerptBytes)] }

// cutLine returns the first line, without its end, and what follows; ok is false if the line
// has no end. It may end without a carriage return (RFC 9112, 2.2).
func cutLine(b []byte) (line, rest []byte, ok bool) {
	line, rest, ok = bytes.Cut(b, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r")), rest, ok
}
