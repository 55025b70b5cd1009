package settings

import (
	"encoding/json"
	"reflect"
	"regexp"
	"strings"
	"testing"
)

const plainDocument = `{"version": 3, "designated_level": "place", "fleet": {"settings": {"retry_limit": 1}},
	"places": {"north": {"state": "in", "hosts": 2, "settings": {"hedge_min_delay": "3ms"}}, "south": {"state": "out", "hosts": 1}},
	"services": {"tags": {"kind": "search", "partition_epoch": 1, "settings": {"hedge_quantile": 0.9}, "groups": [
		{"id": "g0", "range": {"from": 0, "to": 4294967296}, "targets": [
			{"id": "t0", "place": "north", "address": "127.0.0.1:9000", "slots": 4, "connections": 36},
			{"id": "t1", "place": "south", "address": "127.0.0.1:9001", "slots": 4, "connections": 36}]}]}},
	"hosts_out": ["h1", "h2"], "targets_out": ["t1"]}`

// compareDecoders fails if the fast decoder takes what the schema refuses, or
// reads it as something else.
func compareDecoders(t *testing.T, data []byte) (taken bool) {
	t.Helper()
	var fast, strict Document
	if !readDocument(data, &fast) {
		return false
	}
	if err := decodeStrict(data, "document", &strict); err != nil {
		t.Fatalf("the schema refuses %s: %v", data, err)
	}
	if !reflect.DeepEqual(fast, strict) {
		t.Fatalf("%s is read as %+v, the schema's decoder reads %+v", data, fast, strict)
	}
	return true
}

// TestFastDecoderIsStrict guards against a rule of the schema that the fast
// decoder lacks. It puts each of many values in the place of every token, and
// drops and repeats every run of up to 12 tokens.
func TestFastDecoderIsStrict(t *testing.T) {
	if !compareDecoders(t, []byte(plainDocument)) {
		t.Fatal("the fast decoder does not take a plain document")
	}
	values := []string{`""`, `"x"`, `"X_"`, `"-a"`, `"in"`, `"fleet"`, `"lookup"`, `"version"`, `"t1"`, `"h1"`, `"\u0061"`, `"é"`, "\"\t\"",
		`"` + strings.Repeat("a", 63) + `"`, `"` + strings.Repeat("a", 64) + `"`, `"` + strings.Repeat("a", 129) + `"`,
		"0", "1", "-1", "1.0", "1e2", "01", "1001", "10001", "100001", "9007199254740991", "9007199254740992", "99999999999999999999",
		"true", "null", "{}", "[]", `{"x": 1}`, `[""]`, "{", "}", "[", "]", ",", ":", ""}
	tokens := regexp.MustCompile(`"[^"]*"|[0-9.]+|[{}\[\],:]`).FindAllString(plainDocument, -1)
	taken, refused := 0, 0
	check := func(parts ...[]string) {
		data := ""
		for _, part := range parts {
			data += strings.Join(part, "")
		}
		if compareDecoders(t, []byte(data)) {
			taken++
		} else {
			refused++
		}
	}
	for i := range tokens {
		for _, value := range values {
			check(tokens[:i], []string{value}, tokens[i+1:])
		}
		for n := 1; n <= 12 && i+n <= len(tokens); n++ {
			check(tokens[:i], tokens[i+n:])
			check(tokens[:i+n], tokens[i:])
			check(tokens[:i+n], []string{","}, tokens[i:])
		}
	}
	if taken < 100 || refused < 1000 {
		t.Fatalf("%d of %d documents were taken; the run shows little", taken, taken+refused)
	}
}

// FuzzFastDecoder guards against the same with arbitrary input.
func FuzzFastDecoder(f *testing.F) {
	f.Add([]byte(plainDocument))
	f.Fuzz(func(t *testing.T, data []byte) { compareDecoders(t, data) })
}

// Guards against published documents being left to the slow decoder.
func TestFastDecoderTakesWhatIsMarshalled(t *testing.T) {
	var doc Document
	if err := json.Unmarshal([]byte(plainDocument), &doc); err != nil {
		t.Fatal(err)
	}
	data, err := json.MarshalIndent(&doc, "", "  ")
	if err != nil || !compareDecoders(t, data) {
		t.Fatalf("an indented document is not taken (%v)", err)
	}
}
