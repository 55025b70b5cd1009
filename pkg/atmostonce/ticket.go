package atmostonce

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"strings"
	"time"
)

const (
	version = "1"
	// MaxHostBytes and MaxSuffixBytes keep a request identifier below 256 bytes,
	// the limit of the Request-Id header.
	MaxHostBytes   = 96
	MaxSuffixBytes = 64

	fixedBytes = 16 // incarnation and expiry
	// maxExpiryMS is the end of the year 9999 in ms since the Unix epoch; later
	// times cannot be formatted as dates.
	maxExpiryMS = 253402300799999
)

// Ticket names the one host incarnation that may run a request.
type Ticket struct {
	Host        string
	Incarnation uint64
	Expiry      time.Time // by the clock of the home, in whole milliseconds
}

// ID is the identifier of a request: a ticket and a suffix chosen by the caller, 1
// to MaxSuffixBytes bytes of printable ASCII without spaces. Requests with equal
// identifiers are the same request.
type ID struct {
	Ticket Ticket
	Suffix string
}

// CheckHost returns an error if a ticket cannot hold the name of a host, which
// must have 1 to MaxHostBytes bytes.
func CheckHost(name string) error {
	if name == "" || len(name) > MaxHostBytes {
		return fmt.Errorf("ticket: host name has %d bytes, 1 to %d are allowed", len(name), MaxHostBytes)
	}
	return nil
}

// Prefix returns the text form of the ticket: "1.", the payload in unpadded
// base64url, and a dot. A request identifier is the prefix followed by a suffix.
func (t Ticket) Prefix() string {
	payload := binary.BigEndian.AppendUint64(make([]byte, 0, fixedBytes+len(t.Host)), t.Incarnation)
	payload = binary.BigEndian.AppendUint64(payload, uint64(t.Expiry.UnixMilli()))
	return version + "." + base64.RawURLEncoding.EncodeToString(append(payload, t.Host...)) + "."
}

// String returns the text form of the identifier.
func (id ID) String() string { return id.Ticket.Prefix() + id.Suffix }

// ParseID decodes a request identifier. It accepts only the canonical text form,
// so that no other spelling of an identifier counts as another request.
func ParseID(text string) (ID, error) {
	head, rest, ok := strings.Cut(text, ".")
	if !ok {
		return ID{}, fmt.Errorf("request identifier has no ticket")
	}
	if head != version {
		return ID{}, fmt.Errorf("ticket version %q is not supported, %q is", head, version)
	}
	encoded, suffix, ok := strings.Cut(rest, ".")
	if !ok {
		return ID{}, fmt.Errorf("request identifier has no suffix after the ticket")
	}
	payload, err := base64.RawURLEncoding.Strict().DecodeString(encoded)
	if err != nil {
		return ID{}, fmt.Errorf("ticket payload: %w", err)
	}
	if len(payload) <= fixedBytes {
		return ID{}, fmt.Errorf("ticket payload has %d bytes, more than %d are needed", len(payload), fixedBytes)
	}
	expiry := binary.BigEndian.Uint64(payload[8:])
	if expiry > maxExpiryMS {
		return ID{}, fmt.Errorf("ticket: expiry %d ms is out of range", expiry)
	}
	id := ID{
		Ticket: Ticket{
			Host: string(payload[fixedBytes:]), Incarnation: binary.BigEndian.Uint64(payload),
			Expiry: time.UnixMilli(int64(expiry)),
		},
		Suffix: suffix,
	}
	if err := CheckHost(id.Ticket.Host); err != nil {
		return ID{}, err
	}
	if err := checkSuffix(suffix); err != nil {
		return ID{}, err
	}
	if id.String() != text { // the base64 decoder skips line breaks
		return ID{}, fmt.Errorf("ticket payload is not in canonical form")
	}
	return id, nil
}

func checkSuffix(suffix string) error {
	if suffix == "" || len(suffix) > MaxSuffixBytes {
		return fmt.Errorf("request identifier: suffix has %d bytes, 1 to %d are allowed", len(suffix), MaxSuffixBytes)
	}
	for _, c := range []byte(suffix) {
		if c <= ' ' || c > '~' {
			return fmt.Errorf("request identifier: suffix contains byte %#x, only printable ASCII without spaces is allowed", c)
		}
	}
	return nil
}
