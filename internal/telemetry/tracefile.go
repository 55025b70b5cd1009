package telemetry

import (
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Span is one span of a trace file.
type Span struct {
	Trace      string         `json:"trace"`
	ID         string         `json:"id"`
	Parent     string         `json:"parent,omitempty"` // may be a span of the caller, which is in no trace file
	Name       string         `json:"name"`
	Host       string         `json:"host"`
	Place      string         `json:"place"`
	Start      time.Time      `json:"start"`
	End        time.Time      `json:"end"`
	Attributes map[string]any `json:"attributes"`
}

// Duration returns how long the span took.
func (s *Span) Duration() time.Duration { return s.End.Sub(s.Start) }

// fileSpan is the JSON form of a span that the file exporter writes.
type fileSpan struct {
	Name               string
	SpanContext        struct{ TraceID, SpanID string }
	Parent             struct{ SpanID string }
	StartTime, EndTime time.Time
	Attributes         []fileAttribute
	Resource           []fileAttribute
}

type fileAttribute struct {
	Key   string
	Value struct{ Value any }
}

// noParent is the parent identifier of a root span in a trace file.
const noParent = "0000000000000000"

// ReadSpans reads the spans of one trace, or of all traces if trace is empty, ordered by
// start time. An incomplete last line is skipped, because a host may still be writing it;
// other malformed JSON is an error.
func ReadSpans(r io.Reader, trace string) ([]*Span, error) {
	var spans []*Span
	for dec := json.NewDecoder(r); ; {
		var decoded fileSpan
		err := dec.Decode(&decoded)
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			break
		}
		if err != nil {
			return nil, errors.Wrap(err, "read spans")
		}
		if trace == "" || decoded.SpanContext.TraceID == trace {
			spans = append(spans, decoded.span())
		}
	}
	slices.SortStableFunc(spans, func(a, b *Span) int { return a.Start.Compare(b.Start) })
	return spans, nil
}

func (f *fileSpan) span() *Span {
	s := &Span{
		Trace: f.SpanContext.TraceID, ID: f.SpanContext.SpanID, Name: f.Name,
		Start: f.StartTime, End: f.EndTime, Attributes: map[string]any{},
	}
	if f.Parent.SpanID != noParent {
		s.Parent = f.Parent.SpanID
	}
	for _, a := range f.Attributes {
		s.Attributes[a.Key] = a.Value.Value
	}
	for _, a := range f.Resource {
		switch text, _ := a.Value.Value.(string); a.Key {
		case hostAttribute:
			s.Host = text
		case placeAttribute:
			s.Place = text
		}
	}
	return s
}
