package drain

import "time"

// endingAnswersPeriod is the last part of Leaving, in which answers end the connections of
// callers. Callers with a request a second or more end their connections in order in it.
const endingAnswersPeriod = time.Second

// lingerTime is how long idle connections are left to callers that may be about to use them.
const lingerTime = 200 * time.Millisecond

// EndsConnections reports whether a host ends the connection of a caller with an answer that
// begins at now. alone means that no other host accepts callers.
//
// A host closes the connections that are idle after its listener has closed, and a request that
// crosses such a close gets no answer. Callers that still have its address cached would open a
// connection for each request if answers ended them from the signal on, and callers that find no
// other host keep theirs.
func (s *Shutdown) EndsConnections(now time.Time, alone bool) bool {
	period := min(endingAnswersPeriod, s.addressesExpire.Sub(s.began)/2)
	return s.started && !alone && !now.Before(s.addressesExpire.Add(-period))
}

// Linger returns how long a host whose listener has closed, and which has the given time left,
// keeps idle connections open. Few requests of callers in the middle of a series then cross the
// close of their connection.
func Linger(left time.Duration) time.Duration { return max(0, min(lingerTime, left/4)) }
