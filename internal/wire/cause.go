package wire

import "fmt"

// Cause is the reason for which a sub-request is sent.
type Cause uint8

// Causes. The zero value, CauseFirst, is omitted from messages.
const (
	CauseFirst  Cause = iota // the first attempt for its group
	CauseHedge               // an earlier attempt is still open after the hedge delay
	CauseRetry               // an earlier attempt failed
	CauseCanary              // a suspect query runs on one target before the others
	CauseGap                 // an earlier answer did not cover the whole key range

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
