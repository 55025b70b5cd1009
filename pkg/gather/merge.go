package gather

import (
	"bytes"
	"container/heap"
	"slices"
)

// RecordBytes is the size of a record in bytes. A shorter remainder at the end of a
// part is ignored.
const RecordBytes = 16

// TopRecords returns up to limit records of the parts, the greatest in byte order first.
// Equal records are not merged.
func TopRecords(parts [][]byte, limit int) []byte {
	greatest := &recordHeap{}
	for _, part := range parts {
		for len(part) >= RecordBytes {
			greatest.pushBounded(part[:RecordBytes], limit)
			part = part[RecordBytes:]
		}
	}
	records := *greatest
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	out := make([]byte, 0, len(records)*RecordBytes)
	for _, r := range records {
		out = append(out, r...)
	}
	return out
}

// Compact returns the records of a part of which the rest has not arrived that may still
// be among the greatest, up to limit, and the bytes after the last whole record.
func Compact(part []byte, limit int) []byte {
	whole := len(part) / RecordBytes * RecordBytes
	return append(TopRecords([][]byte{part[:whole]}, limit), part[whole:]...)
}

// recordHeap is a min-heap of records.
type recordHeap [][]byte

func (h recordHeap) Len() int           { return len(h) }
func (h recordHeap) Less(i, j int) bool { return bytes.Compare(h[i], h[j]) < 0 }
func (h recordHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *recordHeap) Push(x any)        { *h = append(*h, x.([]byte)) }

func (h *recordHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// pushBounded adds a record, or replaces the smallest one by a greater record if the heap
// holds limit records.
func (h *recordHeap) pushBounded(record []byte, limit int) {
	switch {
	case h.Len() < limit:
		heap.Push(h, record)
	case limit > 0 && bytes.Compare((*h)[0], record) < 0:
		(*h)[0] = record
		heap.Fix(h, 0)
	}
}
