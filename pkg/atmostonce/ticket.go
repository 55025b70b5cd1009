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
	// MaxHostBytes and MaxSuffixBytes keep a request identifier under 256
	// bytes, the limit of the Request-Id header.
	MaxHostBytes   = 96
	MaxSuffixBytes = 64

	fixedBytes = 16 // incarnation and expiry
	// maxExpiryMS is the year 9999; later times do not format as dates.
	maxExpiryMS = 253402300799999
)

// Ticket names the one host incarnation that may run a request.
type Ticket struct {
	Host        string
	Incarnation uint64
	Expiry      time.Time // by the clock of the home, in whole milliseconds
}

// ID is the identifier of a request: a ticket and a suffix that the caller
// chose. Two requests with equal identifiers are the same request.
type ID struct {
	Ticket Ticket
	Suffix string
}

// CheckHost reports why a ticket cannot hold the name of a host.
func CheckHost(name string) error {
	if name == "" || len(name) > MaxHostBytes {
		return fmt.Errorf("ticket: host name has %d bytes, 1 to %d are allowed", len(name), MaxHostBytes)
	}
	return nil
}

// Prefix returns the text of the ticket: "1.", the payload in unpadded base64
// of the URL alphabet, and a dot. A request identifier is the prefix with a
// suffix.
func (t Ticket) Prefix() string {
	payload := binary.BigEndian.AppendUint64(make([]byte, 0, fixedBytes+len(t.Host)), t.Incarnation)
	payload = binary.BigEndian.AppendUint64(payload, uint64(t.Expiry.UnixMilli()))
	return version + "." + base64.RawURLEncoding.EncodeToString(append(payload, t.Host...)) + "."
}

// String returns the text of the identifier.
func (id ID) String() string { return id.Ticket.Prefix() + id.Suffix }

// ParseID decodes a request identifier. Each identifier has exactly one text,
// so that no second spelling of it counts as another request.
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
	if id.String() != text { // the decoder skips line breaks
		return ID{}, fmt.Errorf("ticket payload is not in its only form")
	}
	return id, nil
}

func checkSuffix(suffix string) error {
	if suffix == "" || len(suffix) > MaxSuffixBytes {
		return fmt.Errorf("request identifier: suffix has %d bytes, 1 to %d are allowed", len(suffix), MaxSuffixBytes)
	}
	for _, c := range []byte(suffix) {
		if c <= ' ' || c > '~' {
			return fmt.Errorf("request identifier: suffix holds byte %#x, only printable ASCII without spaces is allowed", c)
		}
	}
	return nil
}
