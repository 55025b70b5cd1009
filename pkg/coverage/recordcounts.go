package coverage

import "github.com/lacewingyard/lacewingyard/pkg/keyspace"

// recordCounts holds the numbers of records in covered and in missing ranges, for the
// covered fraction of records.
type recordCounts struct {
	coveredRecords uint64
	incomplete     bool      // a covered range has no record count, or overlaps another one
	expected       []Covered // ranges with a known record count, some of which may not be covered
}

// add adds the records of a covered range. whole is false if the range overlaps an
// earlier one, so that records may be counted twice.
func (w *recordCounts) add(c Covered, whole bool) {
	if c.Records == 0 || !whole {
		w.incomplete = true
	}
	w.coveredRecords += c.Records
}

// expect adds a range whose records count as missing if no part of the range is
// covered. A range without a record count is ignored.
func (w *recordCounts) expect(c Covered) {
	if c.Records > 0 {
		w.expected = append(w.expected, c)
	}
}

// fraction returns the covered fraction of records. missing is the number of keys that
// are not covered. fraction returns false if a record count of a covered range is
// unknown, if covered ranges overlap or there are none, or if no expected range is
// missing, so also if no key is missing. It returns false, too, if the missing expected
// ranges hold fewer keys than missing, because their records are then unknown in part.
func (w *recordCounts) fraction(covered *keyspace.Set, missing uint64) (float64, bool) {
	if w.incomplete || w.coveredRecords == 0 {
		return 0, false
	}
	var missingRecords uint64
	for _, c := range w.expected {
		if uncovered := covered.Uncovered(c.Range); len(uncovered) == 1 && uncovered[0] == c.Range {
			missingRecords += c.Records
			missing -= min(missing, c.Len())
		}
	}
	if missing > 0 || missingRecords == 0 {
		return 0, false
	}
	return float64(w.coveredRecords) / float64(w.coveredRecords+missingRecords), true
}
