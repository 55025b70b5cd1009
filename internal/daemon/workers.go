package daemon

import "sync/atomic"

// maxIdleWorkers bounds the goroutines that wait for work, because each keeps its
// stack. Beyond it new goroutines are started as before.
const maxIdleWorkers = 128

// workers runs functions on goroutines that are used again. A sub-request needs
// a deep stack, for JSON and HTTP, and a new goroutine copies its stack several
// times until it is deep enough. Safe for concurrent use.
type workerPool struct {
	tasks chan func()
	done  chan struct{}
	idle  atomic.Int32
}

func newWorkerPool() *workerPool {
	return &workerPool{tasks: make(chan func()), done: make(chan struct{})}
}

// run starts a function at once: on an idle goroutine, or else on a new one.
func (w *workerPool) run(task func()) {
	select {
	case w.tasks <- task:
	default:
		go w.work(task)
	}
}

func (w *workerPool) work(task func()) {
	for {
		task()
		if w.idle.Add(1) > maxIdleWorkers {
			w.idle.Add(-1)
			return
		}
		select {
		case task = <-w.tasks:
			w.idle.Add(-1)
		case <-w.done:
			return
		}
	}
}

// close ends the idle goroutines; the others end with their task. It is called once.
func (w *workerPool) close() { close(w.done) }
