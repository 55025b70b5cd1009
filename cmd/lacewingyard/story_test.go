package main

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against lines of a request that are not found because a log collector put
// text before them or because other lines are not JSON.
func TestStoryFindsRequestInMixedLog(t *testing.T) {
	g := NewWithT(t)
	log := `12.3 host-1 {"@message":"target is not reached; left alone for a while","@timestamp":"t1","target":"i-1"}
garbage {"
{"@message":"target is reached again","@timestamp":"t2","target":"i-2"}
{"@message":"request finished","@timestamp":"t3","request":"a","tries":["3 ms: s to i-1: broken after 2 ms"]}
{"@message":"request finished","@timestamp":"t4","request":"b"}
`
	var out strings.Builder
	g.Expect(printRequestLog(strings.NewReader(log), &out, "a")).To(Succeed())
	g.Expect(out.String()).To(Equal("t1 target is not reached; left alone for a while\n  target: i-1\n" +
		"t3 request finished\n  request: a\n  tries: 3 ms: s to i-1: broken after 2 ms\n"))
	g.Expect(printRequestLog(strings.NewReader(log), &out, "c")).To(MatchError(ContainSubstring("no line of request c")))
}
