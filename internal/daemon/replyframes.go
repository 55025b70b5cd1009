package daemon

import (
	"sync"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
)

// frameWait is how long an answer waits for others to share its reply frame. Each
// frame costs datagrams, a decoding and an event at the entry host. Only answers
// before the last one of a message wait, so that the query's end is not delayed.
const frameWait = 300 * time.Microsecond

// replyFrames collects the results of the parts of one message into reply frames.
// A frame is due when all parts have ended, when a part has failed, so that the
// entry host can retry at once, or frameWait after its first answer, so that no
// answer waits for a straggler. It is safe for concurrent use with one reader.
type replyFrames struct {
	due chan struct{} // holds a token when a frame may be due

	mu    sync.Mutex        // guards what follows
	parts []wire.PartResult // in order of completion; the capacity is the number of parts
	sent  int               // number of parts returned by next
	timer *time.Timer       // nil until the first answer waits
}

func newReplyFrames(parts int) *replyFrames {
	return &replyFrames{due: make(chan struct{}, 1), parts: make([]wire.PartResult, 0, parts)}
}

// add adds the result of a part. It never blocks.
func (f *replyFrames) add(r wire.PartResult) {
	f.mu.Lock()
	defer f.mu.Unlock()
	waiting := len(f.parts) > f.sent
	f.parts = append(f.parts, r)
	switch {
	case len(f.parts) == cap(f.parts) || isUrgent(r.Outcome):
		f.signal()
	case waiting: // the timer is running
	case f.timer == nil:
		f.timer = time.AfterFunc(frameWait, f.signal)
	default:
		f.timer.Reset(frameWait)
	}
}

// isUrgent reports whether the entry host may retry a part after this result. A
// canceled part is not retried.
func isUrgent(o outcome.Outcome) bool {
	return o.Kind != outcome.Answered && o.Reason != outcome.Canceled
}

// signal wakes next, or has no effect if a token is already waiting.
func (f *replyFrames) signal() {
	select {
	case f.due <- struct{}{}:
	default:
	}
}

// next blocks until the next frame is due. The last frame is final. The caller may
// keep the results.
func (f *replyFrames) next() (frame []wire.PartResult, final bool) {
	for range f.due {
		f.mu.Lock()
		frame = f.parts[f.sent:len(f.parts):len(f.parts)]
		f.sent = len(f.parts)
		final = f.sent == cap(f.parts)
		f.mu.Unlock()
		if len(frame) > 0 || final {
			break
		}
	}
	return frame, final
}

// stop stops the timer once no more frames are read.
func (f *replyFrames) stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.timer != nil {
		f.timer.Stop()
	}
}
