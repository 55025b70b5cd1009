package drain

import "time"

// closingAnswersPeriod is the last part of Leaving, in which answers end the connections of
// callers. It lets callers with a request a second or more end their connections in order.
const closingAnswersPeriod = time.Second

// UntilClosingAnswers returns how long it takes until a host ends each connection of its callers
// with the next answer on it. It closes the connections that are idle when its listener closes,
// and a request that crosses such a close gets no answer. Callers that still have its address
// cached would open a connection for each request if answers ended them from the signal on.
func (s *Shutdown) UntilClosingAnswers(now time.Time) time.Duration {
	leaving := s.addressesExpire.Sub(s.began)
	return max(0, s.addressesExpire.Add(-min(closingAnswersPeriod, leaving/2)).Sub(now))
}
