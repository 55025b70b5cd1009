package daemon

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gleak"
)

var _ = Describe("workerPool", func() {
	// Guards against a task that waits for a busy goroutine, against idle goroutines
	// without bound after a burst, and against goroutines that outlive close.
	It("starts every task without waiting and keeps a bounded number of goroutines", func() {
		before := gleak.Goroutines()
		const burst = 4 * maxIdleWorkers
		w := newWorkerPool()
		begun, hold := make(chan struct{}, burst), make(chan struct{})
		for range burst {
			w.run(func() { begun <- struct{}{}; <-hold })
		}
		for range burst {
			Eventually(begun, eventuallyTimeout).Should(Receive())
		}
		close(hold)
		extra := func() int { return len(gleak.Goroutines()) - len(before) }
		Eventually(extra, eventuallyTimeout).Should(BeNumerically("<=", maxIdleWorkers))
		Eventually(w.idle.Load, eventuallyTimeout).Should(BeEquivalentTo(maxIdleWorkers))
		w.close()
		Eventually(gleak.Goroutines, eventuallyTimeout).ShouldNot(gleak.HaveLeaked(before))
	})
})
