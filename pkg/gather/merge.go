package gather

import (
	"bytes"
	"container/heap"
	"slices"
)

// RecordBytes is the size of a record. A shorter remainder of a part is none.
const RecordBytes = 16

// TopRecords returns the greatest records of the parts, greatest first, compared byte by
// byte. Equal records all count.
func TopRecords(parts [][]byte, limit int) []byte {
	smallest := &recordHeap{}
	for _, part := range parts {
		for len(part) >= RecordBytes {
			smallest.offer(part[:RecordBytes], limit)
			part = part[RecordBytes:]
		}
	}
	records := *smallest
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	out := make([]byte, 0, len(records)*RecordBytes)
	for _, r := range records {
		out = append(out, r...)
	}
	return out
}

// recordHeap has the smallest record at its root.
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

// offer adds a record, or replaces the smallest one if the heap is full.
func (h *recordHeap) offer(record []byte, limit int) {
	switch {
	case h.Len() < limit:
		heap.Push(h, record)
	case limit > 0 && bytes.Compare((*h)[0], record) < 0:
		(*h)[0] = record
		heap.Fix(h, 0)
	}
}
