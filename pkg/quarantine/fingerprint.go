package quarantine

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint is a hash that identifies a query.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a search. A search matches the records
// that contain all terms, so the order of the terms and repeated terms do not
// change the fingerprint. Case does, because targets distinguish case.
func FingerprintOf(service string, terms []string) Fingerprint {
	sorted := slices.Clone(terms)
	slices.Sort(sorted)
	d := xxhash.New()
	for _, part := range append([]string{service}, slices.Compact(sorted)...) {
		// The length prefix distinguishes ["ab","c"] from ["a","bc"].
		_, _ = d.WriteString(strconv.Itoa(len(part)) + ":" + part)
	}
	return Fingerprint(d.Sum64())
}
