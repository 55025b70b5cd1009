package main

import (
	"strings"
	"time"
	"unicode"
)

const (
	// stateLinesBefore is the number of lines about the published state that are printed before a
	// request. A host logs changes of its state only, so that they may be old.
	stateLinesBefore = 6
	// stateLinesAfter and stateAfter bound the number and the age of those after it.
	stateLinesAfter = 4
	stateAfter      = 5 * time.Second
)

// stateLines returns the indexes of the lines about the published state of a host around the
// line of a request.
func stateLines(lines []logLine, request int) map[int]bool {
	found := map[int]bool{}
	for i := request - 1; i >= 0 && len(found) < stateLinesBefore; i-- {
		if lines[i].isAboutState() && lines[i].isOfHost(lines[request]) {
			found[i] = true
		}
	}
	before, at := len(found), lines[request].time()
	for i := request + 1; i < len(lines) && len(found)-before < stateLinesAfter; i++ {
		if lines[i].isAboutState() && lines[i].isOfHost(lines[request]) && lines[i].time().Sub(at) <= stateAfter {
			found[i] = true
		}
	}
	return found
}

// isAboutState reports whether a line is about the published state of a host as a whole.
func (l logLine) isAboutState() bool {
	module, _ := l.fields["@module"].(string)
	return module == "state" || strings.HasSuffix(module, ".state") || l.fields["@message"] == "configuration in force"
}

// isOfHost reports whether two lines may be of the same host.
func (l logLine) isOfHost(o logLine) bool {
	name, other := l.hostName(), o.hostName()
	return name == "" || other == "" || name == other
}

// hostName returns the name that a log collector put right before the JSON object, empty if that
// is a time or if there is none.
func (l logLine) hostName() string {
	words := strings.Fields(l.prefix)
	if len(words) == 0 || unicode.IsDigit(rune(words[len(words)-1][0])) {
		return ""
	}
	return words[len(words)-1]
}

// time returns the time of the line, or the zero time if it has none.
func (l logLine) time() time.Time {
	text, _ := l.fields["@timestamp"].(string)
	// The error is ignored: the line counts as one of the time of the request.
	at, _ := time.Parse(time.RFC3339Nano, text)
	return at
}
