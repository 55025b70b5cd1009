package httpanswer

import (
	"bytes"
	"net/http"

	"github.com/cockroachdb/errors"
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
	line, _ := cutLine(head)
	_, err := parseStatus(line)
	return err
}

// parseStatus returns the status code of a status line.
func parseStatus(line []byte) (int, error) {
	_, rest, _ := bytes.Cut(line, []byte(" "))
	code, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	status := 0
	for _, c := range code {
		if c < '0' || c > '9' {
			return 0, malformed("status %q is not a number", code)
		}
		status = 10*status + int(c-'0')
	}
	if status < http.StatusContinue || status > lastStatus {
		return 0, malformed("status %q is outside the range of status codes", code)
	}
	return status, nil
}

// cutLine returns the first line, without its end, and what follows. A line may end without
// a carriage return (RFC 9112, 2.2).
func cutLine(b []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(b, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r")), rest
}
