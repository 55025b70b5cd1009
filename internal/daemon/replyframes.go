package daemon

import (
	"sync"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
)

// frameWait is how long an answer waits for others to share its reply frame. A
// frame costs datagrams, a decoding and an event at the entry host. The query
// ends with its last answer, which no frame waits for, so only the answers
// before it are held.
const frameWait = 300 * time.Microsecond

// replyFrames collects the results of the parts of one message and divides them
// into reply frames. A frame is due when all parts have ended, when a part has
// failed, so that the entry host can ask another replica at once, or frameWait
// after its first answer, so that no answer waits for a straggler.
type replyFrames struct {
	due chan struct{} // holds a token when a frame may be due

	mu    sync.Mutex        // guards what follows
	parts []wire.PartResult // in the order of their end; never grows beyond its capacity
	sent  int               // parts in frames that were taken
	timer *time.Timer       // nil until an answer waits
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
	case waiting: // the timer runs
	case f.timer == nil:
		f.timer = time.AfterFunc(frameWait, f.signal)
	default:
		f.timer.Reset(frameWait)
	}
}

// isUrgent reports whether the entry host may act on a result by sending the
// part again. Nobody waits for a part that was withdrawn.
func isUrgent(o outcome.Outcome) bool {
	return o.Kind != outcome.Answered && o.Reason != outcome.Canceled
}

func (f *replyFrames) signal() {
	select {
	case f.due <- struct{}{}:
	default:
	}
}

// next waits for the next frame. The last one is final. The caller may keep the
// results.
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

// stop ends the timer when no frame is wanted any more.
func (f *replyFrames) stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.timer != nil {
		f.timer.Stop()
	}
}
