package configsync

import "github.com/cespare/xxhash/v2"

// Bounds of the sections of a document.
const (
	// A section ends after an array element whose hash is 0 modulo
	// elementModulus, so inserting or removing one changes one section, and after
	// maxElements. Without that limit a change was as likely to hit a large
	// section as the section was large: 32 KB a change for 12 KB on average.
	elementModulus = 16
	maxElements    = 32
	// MaxSections bounds a manifest; a document of 1 MB has some hundreds.
	MaxSections = 8192

	entryDepth   = 3 // places.*, services.* and the hosts of a host list
	elementDepth = 5 // services.*.groups[*]
)

// Section identifies a contiguous range of a document's bytes.
type Section struct {
	Digest uint64 `cbor:"1,keyasint"`
	Size   uint32 `cbor:"2,keyasint"` // bytes
}

// cut divides a JSON document into contiguous byte ranges, so that joining them
// gives the same bytes. It cuts before each entry of a top-level object and
// after some elements of arrays. Where a document does not have the expected
// form the sections are larger, never wrong.
func cut(raw []byte) [][]byte {
	var sections [][]byte
	var open []int // offsets of the open brackets
	last, elements := 0, 0
	cutAt := func(at int) {
		if at > last && at < len(raw) && len(sections) < MaxSections-1 {
			sections = append(sections, raw[last:at:at])
			last, elements = at, 0
		}
	}
	for i := 0; i < len(raw); i++ {
		switch raw[i] {
		case '"':
			i = endOfString(raw, i)
		case '{', '[':
			if raw[i] == '{' && len(open) == entryDepth-1 && raw[open[len(open)-1]] == '{' {
				cutAt(i)
			}
			open = append(open, i)
		case '}', ']':
			if len(open) == 0 {
				continue
			}
			start := open[len(open)-1]
			open = open[:len(open)-1]
			inArray := len(open) > 0 && raw[open[len(open)-1]] == '['
			depth := len(open) + 1
			if !inArray || depth != entryDepth && depth != elementDepth {
				continue
			}
			elements++
			if elements >= maxElements || xxhash.Sum64(raw[start:i+1])%elementModulus == 0 {
				cutAt(i + 1)
			}
		}
	}
	return append(sections, raw[last:])
}

// endOfString returns the offset of the quote that ends the string at start.
func endOfString(raw []byte, start int) int {
	for i := start + 1; i < len(raw); i++ {
		switch raw[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(raw)
}
