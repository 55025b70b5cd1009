package topk

import (
	"cmp"
	"slices"
)

// Counter estimates the counts of the most frequent keys.
type Counter struct {
	capacity int
	index    map[string]int // of entries, by key
	entries  []entry
}

type entry struct {
	key   string
	count float64
}

// NewCounter returns a Counter that holds at most capacity keys, at least 1.
func NewCounter(capacity int) *Counter {
	return &Counter{capacity: max(1, capacity), index: map[string]int{}}
}

// Add counts one event of a key.
func (c *Counter) Add(key string) {
	if i, ok := c.index[key]; ok {
		c.entries[i].count++
		return
	}
	if len(c.entries) < c.capacity {
		c.index[key] = len(c.entries)
		c.entries = append(c.entries, entry{key, 1})
		return
	}
	least := 0
	for i := range c.entries {
		if c.entries[i].count < c.entries[least].count {
			least = i
		}
	}
	e := &c.entries[least]
	delete(c.index, e.key)
	c.index[key] = least
	e.key = key
	e.count++
}

// Decay multiplies all counts by a factor, so that recent events weigh more.
func (c *Counter) Decay(factor float64) {
	for i := range c.entries {
		c.entries[i].count *= factor
	}
}

// Largest returns the n keys with the highest counts, the highest first; keys with the same
// count are in their own order.
func (c *Counter) Largest(n int) []string {
	sorted := slices.Clone(c.entries)
	slices.SortFunc(sorted, func(a, b entry) int {
		return cmp.Or(cmp.Compare(b.count, a.count), cmp.Compare(a.key, b.key))
	})
	keys := make([]string, 0, min(n, len(sorted)))
	for _, e := range sorted[:min(n, len(sorted))] {
		keys = append(keys, e.key)
	}
	return keys
}

// Len returns the number of keys that are held.
func (c *Counter) Len() int { return len(c.entries) }
