package standin

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"

	"github.com/lacewingyard/lacewingyard/pkg/coverage"
	"github.com/lacewingyard/lacewingyard/pkg/keyspace"
)

// vocabulary holds the words from which record texts are generated.
var vocabulary = strings.Fields(`red blue green grey black white oak pine maple birch cedar larch
	juniper elm ash small large folding twin single navy amber ivory slate copper brass
	basket canopy wheel brake handle spring hood harness strap cushion tray lock hinge
	table bench slab stand plinth turntable shelf frame rail corner edge polished rough oiled`)

const wordsPerRecord = 4

// Dataset is an immutable set of records of one service. Stored texts have no index
// version. Search, SearchRange and Lookup append the one asked for to each text, so
// that an answer that mixes two versions can be detected.
type Dataset struct {
	records []coverage.Record // ordered by ID
	index   map[string][]int  // ascending positions of the records that contain a word
}

// newDataset builds the index of records that are ordered by ID. The index keeps the
// processor time of a search small compared with that of the hosts under test.
func newDataset(records []coverage.Record) *Dataset {
	d := &Dataset{records: records, index: map[string][]int{}}
	for i, rec := range records {
		words := strings.Fields(rec.Text)
		for w, word := range words {
			if !slices.Contains(words[:w], word) {
				d.index[word] = append(d.index[word], i)
			}
		}
	}
	return d
}

// NewDataset generates count records from a seed, with IDs such as "tag-000007" for
// the noun "tag".
func NewDataset(noun string, count int, seed uint64) *Dataset {
	rng := rand.New(rand.NewPCG(seed, uint64(count)))
	records := make([]coverage.Record, count)
	for i := range records {
		words := make([]string, wordsPerRecord)
		for w := range words {
			words[w] = vocabulary[rng.IntN(len(vocabulary))]
		}
		id := fmt.Sprintf("%s-%06d", noun, i)
		records[i] = coverage.Record{ID: id, Key: keyspace.KeyOf(id), Text: strings.Join(words, " ")}
	}
	slices.SortFunc(records, func(a, b coverage.Record) int { return cmp.Compare(a.ID, b.ID) })
	return newDataset(records)
}

// RandomWord returns a random word of the vocabulary from which records are
// generated.
func RandomWord(rng *rand.Rand) string { return vocabulary[rng.IntN(len(vocabulary))] }

// RandomID returns the ID of a random record. It panics if the dataset is empty.
func (d *Dataset) RandomID(rng *rand.Rand) string { return d.records[rng.IntN(len(d.records))].ID }

// Search searches all records as of an index version. It is the reference with which
// answers of the hosts are compared. It returns the records that contain all terms,
// ordered by ID, at most limit of them; a limit of 0 returns all. Without terms it
// returns none.
func (d *Dataset) Search(version uint64, terms []string, limit int) []coverage.Record {
	return d.SearchRange(version, terms, limit, keyspace.Full())
}

// SearchRange is Search restricted to the records of a key range.
func (d *Dataset) SearchRange(version uint64, terms []string, limit int, r keyspace.Range) []coverage.Record {
	found := []coverage.Record{}
	if len(terms) == 0 {
		return found
	}
	for _, i := range d.index[terms[0]] {
		rec := d.records[i]
		if !r.Contains(rec.Key) || !matches(rec.Text, terms[1:]) {
			continue
		}
		found = append(found, atVersion(rec, version))
		if limit > 0 && len(found) == limit {
			break
		}
	}
	return found
}

// Lookup returns the record with an ID as of an index version. It returns a zero record
// and false if the dataset has none with that ID.
func (d *Dataset) Lookup(version uint64, id string) (coverage.Record, bool) {
	i, ok := slices.BinarySearchFunc(d.records, id, func(r coverage.Record, id string) int { return cmp.Compare(r.ID, id) })
	if !ok {
		return coverage.Record{}, false
	}
	return atVersion(d.records[i], version), true
}

// Shard returns a dataset with the records of a key range.
func (d *Dataset) Shard(r keyspace.Range) *Dataset {
	var records []coverage.Record
	for _, rec := range d.records {
		if r.Contains(rec.Key) {
			records = append(records, rec)
		}
	}
	return newDataset(records)
}

// Len returns the number of records.
func (d *Dataset) Len() int { return len(d.records) }

func atVersion(rec coverage.Record, version uint64) coverage.Record {
	rec.Text += " @" + strconv.FormatUint(version, 10)
	return rec
}

func matches(text string, terms []string) bool {
	words := strings.Fields(text)
	for _, term := range terms {
		if !slices.Contains(words, term) {
			return false
		}
	}
	return true
}
