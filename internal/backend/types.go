package backend

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lacewingyard/lacewingyard/internal/httpanswer"
	"github.com/lacewingyard/lacewingyard/pkg/notice"
)

// Request is a caller's request as a target receives it.
type Request struct {
	ID     string
	Method string
	URI    string // path and query string as the caller sent them
	Host   string
	Header http.Header // without connection-specific headers and those of CallerAuth
	// CallerAuth are the caller's own headers that state its key and tenant. It must be nil
	// if the configuration has tenants: a target must not get a key.
	CallerAuth http.Header
	Tenant     string // name of the tenant that sent the request; empty if there is none
	Body       []byte
	HasBody    bool // the caller sent a body, so its length is stated
	// Compact shortens what has been read of a large answer to the part that is needed,
	// so that an answer of any length needs little memory. More of the answer is
	// appended to the result. It is nil if the whole answer is needed.
	Compact func(body []byte) []byte
}

// Codec encodes requests and decodes answers in the platform's protocol. Its methods
// must be safe for concurrent use.
type Codec interface {
	// AppendRequest appends the head of a request to b and returns the result. left is
	// the time that the target may use, instance the ID of the only target that may run
	// the request.
	AppendRequest(b []byte, r *Request, left time.Duration, instance string) []byte
	// Decode decodes the head of an answer.
	Decode(resp *http.Response) Head
}

// Head holds the fields of the head of an answer.
type Head struct {
	ID                 string        // ID of the answered request; an answer without it belongs to no request
	Digest             string        // the target's digest of the answer
	NotRun             bool          // the target did not run the request
	WrongTarget        bool          // another target answers at the address; the request did not run
	PromisesNotRun     bool          // the status tells callers that the request did not run and will not
	IdleTimeout        time.Duration // how long the target keeps an idle connection; 0 if not stated
	UnexpectedEncoding bool          // the body has a content encoding that was not requested
	Instance           string        // ID of the target that answered; empty if not stated
	Notices            notice.Said   // what the target says about itself
}

// Kind classifies the result of a send.
type Kind uint8

// Kinds of results. The zero value guarantees nothing about execution.
const (
	Broken      Kind = iota // the connection ended or the answer is invalid; the request may have run
	TimedOut                // no answer before the deadline; the request may have run
	Canceled                // canceled by this host; the request may have run
	NotSent                 // no byte was sent
	Refused                 // the target reported that it did not run the request
	WrongTarget             // another target answered at the address; the request did not run
	Failure                 // a complete answer with another status than 2xx; the request may have run
	Success                 // a 2xx answer with a digest and the complete body
)

var kindNames = [...]string{"broken", "timed_out", "canceled", "not_sent", "refused", "wrong_target", "failure", "success"}

// String returns the name used in logs, metrics and traces.
func (k Kind) String() string { return kindNames[k] }

// NotRun reports whether the request is certain not to have run.
func (k Kind) NotRun() bool { return k == NotSent || k == Refused || k == WrongTarget }

// Result is the result of a send.
type Result struct {
	Kind     Kind
	Status   int
	Header   http.Header
	Head     Head
	Body     []byte
	Err      error         // set for kinds without a valid answer
	Duration time.Duration // from the start of the write to the end of the answer; 0 for NotSent
	DialTime time.Duration // time to open the connection; 0 if an open one was used, none could be opened or too little time was left
	// Hold is the room of a large body in the memory of this host, nil for most answers.
	// Whoever uses Body last must call Release.
	Hold *Hold
	// LocalCause is set for Broken if this host had no memory left for the answer. It is set for NotSent if the pool has no free connection or is closed, or
	// if a connection was available but less than a millisecond was left until the
	// deadline. None of these is evidence against the target.
	LocalCause bool
}

// Release frees the room of the body. The Result must not be used after it.
func (r *Result) Release() { r.Hold.release() }

// Unstated reports whether a target failed with a status that would tell the caller that the
// request did not run, although the target did not say so.
func (r *Result) Unstated() bool { return r.Kind == Failure && r.Head.PromisesNotRun }

// Malformed reports whether the target sent bytes that are no answer.
func (r *Result) Malformed() bool { return errors.Is(r.Err, httpanswer.ErrMalformed) }

// Oversized reports whether the target sent more than any valid answer has: an endless
// head or body, for example.
func (r *Result) Oversized() bool {
	return errors.Is(r.Err, httpanswer.ErrTooLarge) || errors.Is(r.Err, errBodyTooLarge)
}
