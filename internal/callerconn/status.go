package callerconn

import "github.com/lacewingyard/lacewingyard/internal/callerbody"

// Status describes what callers hold of a host's memory and descriptors, with counts since the
// start.
type Status struct {
	Bytes              int64 `json:"bytes"`
	BytesLimit         int64 `json:"bytes_limit"`
	Reading            int   `json:"requests_reading"`
	GivenUp            int64 `json:"requests_given_up"`
	NoRoom             int64 `json:"requests_no_room"`
	TooSlow            int64 `json:"requests_too_slow"`
	Connections        int   `json:"connections"`
	ConnectionsLimit   int   `json:"connections_limit"` // 0 for none
	ConnectionsShed    int64 `json:"connections_shed"`
	ConnectionsRefused int64 `json:"connections_refused"`
}

// StatusOf returns the status of a budget and the connections that it serves.
func StatusOf(budget *callerbody.Budget, conns *Set) Status {
	b, c := budget.Use(), conns.Use()
	return Status{
		Bytes: b.Used, BytesLimit: b.Limit, Reading: b.Reading, GivenUp: b.GivenUp, NoRoom: b.Refused, TooSlow: b.TooSlow,
		Connections: c.Open, ConnectionsLimit: c.Max, ConnectionsShed: c.Shed, ConnectionsRefused: c.Refused,
	}
}
