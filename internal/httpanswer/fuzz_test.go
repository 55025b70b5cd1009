package httpanswer_test

import (
	"regexp"
	"strings"
	"testing"
)

// The grammar of RFC 9110 and 9112, with the tolerance for white space in status lines and for
// lines without a carriage return.
var (
	statusLine   = regexp.MustCompile(`^HTTP/1\.[0-9] +([1-5][0-9]{2})( [\t \x21-\x7e\x80-\xff]*)?$`)
	fieldLine    = regexp.MustCompile("^[-!#$%&'*+.^_`|~0-9A-Za-z]+:[\\t \\x21-\\x7e\\x80-\\xff]*$")
	folded       = regexp.MustCompile(`^[\t ][\t \x21-\x7e\x80-\xff]*$`)
	lengthOrCode = regexp.MustCompile(`(?i)^(content-length|transfer-encoding):`)
)

// headFault returns what is wrong with the heads at the start of a text, empty if nothing is.
func headFault(text string) string {
	for {
		line, rest, _ := strings.Cut(text, "\n")
		status := statusLine.FindStringSubmatch(latin1(strings.TrimSuffix(line, "\r")))
		if status == nil || status[1] == "101" {
			return "status line " + line
		}
		framing := map[string]bool{}
		for {
			var ok bool
			if line, rest, ok = strings.Cut(rest, "\n"); !ok {
				return "no end of the head"
			}
			line = latin1(strings.TrimSuffix(line, "\r"))
			if line == "" {
				break
			}
			if !fieldLine.MatchString(line) && !folded.MatchString(line) {
				return "field line " + line
			}
			if name := lengthOrCode.FindString(line); name != "" {
				framing[strings.ToLower(name)] = true
			}
		}
		if len(framing) > 1 {
			return "two framings"
		}
		if status[1][0] != '1' {
			return ""
		}
		text = rest
	}
}

// latin1 returns a text whose characters are the bytes of another, for regular expressions.
func latin1(s string) string {
	out := make([]rune, len(s))
	for i := range len(s) {
		out[i] = rune(s[i])
	}
	return string(out)
}

// FuzzReadAnswer guards against bytes that are taken as an answer although they are none, and
// against a result that depends on the segments in which the bytes arrive.
func FuzzReadAnswer(f *testing.F) {
	for _, texts := range []map[string]string{refused, sound} {
		for _, text := range texts {
			f.Add([]byte(text))
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		text := string(data)
		resp, body, err := read(text, false)
		byByte, bodyByByte, errByByte := read(text, true)
		if (err == nil) != (errByByte == nil) || body != bodyByByte {
			t.Fatalf("%q, body %q, %v; byte by byte %q, %v", text, body, err, bodyByByte, errByByte)
		}
		if err != nil {
			return
		}
		if resp.StatusCode != byByte.StatusCode || len(resp.Header) != len(byByte.Header) {
			t.Fatalf("%q: %v, byte by byte %v", text, resp, byByte)
		}
		if fault := headFault(text); fault != "" {
			t.Fatalf("taken with a malformed %q", fault)
		}
	})
}
