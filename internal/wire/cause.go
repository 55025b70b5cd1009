package wire

import "fmt"

// Cause says why a sub-request is sent.
type Cause uint8

// Causes. The zero value is not sent.
const (
	CauseFirst  Cause = iota // the first attempt for its group
	CauseHedge               // an earlier attempt is late
	CauseRetry               // an earlier attempt failed
	CauseCanary              // the query runs on one target alone first
	CauseGap                 // an earlier answer left a part of the range open

	CauseCount // number of causes
)

var causeNames = [CauseCount]string{"first", "hedge", "retry", "canary", "gap"}

// String returns the name used in metric labels and span attributes.
func (c Cause) String() string {
	if c < CauseCount {
		return causeNames[c]
	}
	return fmt.Sprintf("cause(%d)", uint8(c))
}
