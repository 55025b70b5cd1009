package admission

import "time"

// Levels is the number of priorities that are told apart; lower priorities count as the last.
const Levels = 8

// Request describes a request for admission.
type Request struct {
	Class     string // requests of a class have the same work and objective
	Priority  int    // 0 is the most urgent
	Tenant    string // empty for requests without one, which share capacity like one tenant
	Sends     int    // first sends to targets, at least 1
	Received  time.Time
	Objective time.Duration // latency objective
	AnswerBy  time.Time     // when the answer must be sent to be in time
}

// Decision is the decision on a request.
type Decision uint8

// The decisions on a request.
const (
	Run    Decision = iota
	Wait            // until Queue.Next returns the verdict, or Ticket.Latest has passed
	Refuse          // nothing was sent
)

// Ticket is a request that was offered to a Queue. The caller provides the memory.
type Ticket struct {
	Request
	// Latest is when a waiting request must start in order to be in time, and by when it is
	// refused at the latest. Set only by a decision to wait.
	Latest time.Time
	// RetryAfter is the time until the work ahead of a refused request should be done.
	RetryAfter time.Duration

	class   *class
	level   int
	held    int // sends not given back
	started time.Time
	waiting bool
	late    bool
}

// Level returns the priority, at most Levels-1.
func (t *Ticket) Level() int { return min(max(0, t.Priority), Levels-1) }

// Verdict is the decision on a request that waited: Run or Refuse.
type Verdict struct {
	Ticket   *Ticket
	Decision Decision
}

// Report is a snapshot for operators.
type Report struct {
	InForce    bool          `json:"limited"`
	Limit      int           `json:"limit_sends"` // 0 if not in force
	InProgress int           `json:"sends_in_progress"`
	Waiting    int           `json:"requests_waiting"`
	Rate       float64       `json:"answered_sends_per_s"`
	Levels     []LevelReport `json:"priorities,omitempty"`
}

// LevelReport counts the requests of a priority since the start of the host.
type LevelReport struct {
	Priority   int   `json:"priority"`
	InProgress int   `json:"sends_in_progress"`
	Run        int64 `json:"run"`
	Waited     int64 `json:"waited"` // run or refused after a wait
	Refused    int64 `json:"refused"`
}
