package configsync

import "github.com/cespare/xxhash/v2"

// Parameters of the division of a document into sections.
const (
	// A section ends after an array element whose hash is 0 modulo elementModulus,
	// so that inserting or removing an element changes one section, and after
	// maxElements elements. Without maxElements, a change transferred 32 KB on
	// average although the average section had 12 KB, because a large section is
	// more likely to contain the change.
	elementModulus = 16
	maxElements    = 32
	// MaxSections is the largest number of sections in a manifest. A document of
	// 1 MB has several hundred.
	MaxSections = 8192

	entryDepth   = 3 // nesting depth of places.*, services.* and hosts[*]
	elementDepth = 5 // nesting depth of services.*.groups[*]
)

// Section identifies a contiguous range of bytes of a document.
type Section struct {
	Digest uint64 `cbor:"1,keyasint"` // xxhash of the bytes
	Size   uint32 `cbor:"2,keyasint"` // bytes
}

// split divides a JSON document into contiguous byte ranges whose concatenation is
// the document. It splits before each entry of a top-level member such as places
// or services, and after some elements of arrays. A document of another structure,
// or one that is not JSON, has larger sections but is still divided without loss.
func split(raw []byte) [][]byte {
	var sections [][]byte
	var open []int // offsets of the open brackets
	last, elements := 0, 0
	splitAt := func(at int) {
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
				splitAt(i)
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
				splitAt(i + 1)
			}
		}
	}
	return append(sections, raw[last:])
}

// endOfString returns the offset of the closing quote of the string whose opening
// quote is at start, or the length of raw if there is none.
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
