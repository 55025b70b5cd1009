package coverage

import "github.com/lacewingyard/lacewingyard/pkg/keyspace"

// weight counts records in covered and in missing ranges. It gives no result
// unless every count is known.
type weight struct {
	have     uint64
	unknown  bool // a covered range did not state its records, or overlapped another
	expected []Covered
}

// add counts a covered range; whole is false if it overlaps an earlier one, so
// that its count cannot be told apart from that one's.
func (w *weight) add(c Covered, whole bool) {
	if c.Records == 0 || !whole {
		w.unknown = true
	}
	w.have += c.Records
}

func (w *weight) expect(c Covered) {
	if c.Records > 0 {
		w.expected = append(w.expected, c)
	}
}

// fraction returns the covered fraction of records. missing is the number of
// keys that are not covered; they must be exactly those of expected ranges.
func (w *weight) fraction(covered *keyspace.Set, missing uint64) (float64, bool) {
	if w.unknown || w.have == 0 {
		return 0, false
	}
	var lost uint64
	for _, c := range w.expected {
		if left := covered.Uncovered(c.Range); len(left) == 1 && left[0] == c.Range {
			lost += c.Records
			missing -= min(missing, c.Len())
		}
	}
	if missing > 0 || lost == 0 {
		return 0, false
	}
	return float64(w.have) / float64(w.have+lost), true
}
