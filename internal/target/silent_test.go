package target

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	. "github.com/onsi/gomega"
)

// Guards against a host that takes its own time limit for the death of a target, and holds the
// query that it was sending for the cause.
func TestWriteThatReachesTheProgressTimeoutIsSilence(t *testing.T) {
	g := NewWithT(t)
	host, target := net.Pipe() // the target reads nothing
	defer func() { _ = target.Close() }()
	ended := make(chan struct{})
	c := newConn(host, func(*conn) { close(ended) })
	req, err := http.NewRequest(http.MethodPost, "http://target/search", strings.NewReader("{}"))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = c.roundTrip(t.Context(), req, 20*time.Millisecond)
	o := failureOutcome(t.Context(), err, true)
	g.Expect(o.Kind).To(Equal(outcome.Unknown), "bytes may have been sent")
	g.Expect(o.Reason).To(Equal(outcome.Silent), "%v", err)
	g.Eventually(ended, 5*time.Second).Should(BeClosed())
}
