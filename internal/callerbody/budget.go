package callerbody

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/lacewingyard/lacewingyard/pkg/limit"
)

// RetryAfter is the time after which a caller may retry a request that found no room. By then, the
// bodies that make no progress have been given up or have ended.
const RetryAfter = time.Second

// Errors of bodies. None of these requests has run.
var (
	ErrNoRoom  = errors.New("the request was not run: memory for requests is short")
	ErrTooSlow = errors.New("the request was not run: its body arrived too slowly")
)

// calmPeriod is the time without a refusal after which a shortage counts as over.
const calmPeriod = 5 * time.Second

// Budget is the bytes that the callers of a host hold.
type Budget struct {
	log hclog.Logger

	mu        sync.Mutex
	bytes     *limit.CallerBytes
	shortAt   time.Time // of the last refusal
	shortFrom time.Time // start of the present shortage; zero if there is none
	before    limit.CallerUse

	tooSlow atomic.Int64
	pieces  pieces
}

// NewBudget returns a Budget of a number of bytes. It logs the begin and the end of shortages.
func NewBudget(bytes int64, log hclog.Logger) *Budget {
	return &Budget{log: log, bytes: limit.NewCallerBytes(bytes), pieces: pieces{max: int(bytes / pieceBytes)}}
}

// Use describes the use of a Budget.
type Use struct {
	limit.CallerUse
	TooSlow int64 // bodies given up for lack of progress, since the start
}

// Use returns the present use.
func (b *Budget) Use() Use {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Use{b.bytes.Use(), b.tooSlow.Load()}
}

// Hold is the room of a request in a Budget.
type Hold struct {
	budget *Budget
	room   limit.CallerHold
}

// Open begins the room of a request. giveUp must not call the Budget.
func (b *Budget) Open(h *Hold, giveUp func()) {
	h.budget = b
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bytes.Open(&h.room, now, giveUp)
}

// Grow sets the room to size bytes. It returns false if there is none or the request was given up.
func (h *Hold) Grow(size int64) bool {
	b, now := h.budget, time.Now()
	b.mu.Lock()
	before := b.bytes.Use()
	ok := b.bytes.Grow(now, &h.room, size)
	after := b.bytes.Use()
	short := after.GivenUp != before.GivenUp || after.Refused != before.Refused
	begins := short && b.shortFrom.IsZero()
	if short {
		b.shortAt = now
	}
	if begins {
		b.shortFrom, b.before = now, before
	}
	b.mu.Unlock()
	if begins {
		b.log.Warn("memory for requests of callers is short; the slowest and largest are given up", "used", after.Used, "limit", after.Limit, "reading", after.Reading)
	}
	return ok
}

// PassOn marks the request as read whole. It returns false if it was given up before.
func (h *Hold) PassOn() bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.budget.bytes.PassOn(&h.room)
}

// Release frees the room.
func (h *Hold) Release() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.bytes.Release(&h.room)
}

// Refresh logs the end of a shortage and frees buffers. It is called periodically.
func (b *Budget) Refresh(now time.Time) {
	b.mu.Lock()
	ended := !b.shortFrom.IsZero() && now.Sub(b.shortAt) >= calmPeriod
	from, before, use := b.shortFrom, b.before, b.bytes.Use()
	if ended {
		b.shortFrom = time.Time{}
	}
	short := !b.shortFrom.IsZero()
	b.mu.Unlock()
	if !short {
		b.pieces.trim()
	}
	if ended {
		b.log.Info("memory for requests of callers suffices again", "short_ms", now.Sub(from).Milliseconds(), "given_up", use.GivenUp-before.GivenUp, "refused", use.Refused-before.Refused, "used", use.Used)
	}
}

// Handler returns a handler that reads the bodies of requests within the budget and with a least
// progress. The room of a request is freed when next returns.
func (b *Budget) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		body := newBody(b, r.Body, http.NewResponseController(w))
		r.Body = body
		defer body.hold.Release()
		next.ServeHTTP(w, r)
	})
}
