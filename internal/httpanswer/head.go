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
	return errors.Mark(errors.Newf("malformed answer: "+format, args...), ErrMalformed)
}

// lastStatus is the highest status code of HTTP (RFC 9110, 15).
const lastStatus = 599

// checkHead checks what the parser of net/http accepts although RFC 9110 and 9112 do not let
// a client take it. head is a head that the parser accepted, up to its empty line.
func checkHead(head []byte) error {
	line, rest := cutLine(head)
	if _, err := parseStatus(line); err != nil {
		return err
	}
	for line, rest = cutLine(rest); len(line) > 0; line, rest = cutLine(rest) {
		if err := checkField(line); err != nil {
			return err
		}
	}
	return nil
}

// checkField checks one line of a field. The parser of net/http takes a blank in a name, and
// then knows neither the length nor the coding that the field states.
func checkField(line []byte) error {
	value := line
	if line[0] != ' ' && line[0] != '\t' { // else the value of the line before continues
		name, rest, _ := bytes.Cut(line, []byte(":"))
		if !httpguts.ValidHeaderFieldName(string(name)) {
			return malformed("field name %q", excerpt(name))
		}
		value = rest
	}
	if !httpguts.ValidHeaderFieldValue(string(value)) {
		return malformed("field line %q", excerpt(line))
	}
	return nil
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

// cutLine returns the first line, without its end, and what follows. A line may end without
// a carriage return (RFC 9112, 2.2).
func cutLine(b []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(b, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r")), rest
}
