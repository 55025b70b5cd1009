package quarantine

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies a query.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a search. A search matches records that hold
// all terms, so neither their order nor a repeated term makes it another query.
// Case counts, because it counts for the targets.
func FingerprintOf(service string, terms []string) Fingerprint {
	sorted := slices.Clone(terms)
	slices.Sort(sorted)
	d := xxhash.New()
	for _, part := range append([]string{service}, slices.Compact(sorted)...) {
		// The length keeps ["ab","c"] and ["a","bc"] apart.
		_, _ = d.WriteString(strconv.Itoa(len(part)) + ":" + part)
	}
	return Fingerprint(d.Sum64())
}
