package daemon

import "sync/atomic"

// maxIdleWorkers bounds the idle goroutines, because each keeps its stack. Further
// goroutines end with their task.
const maxIdleWorkers = 128

// workerPool runs functions on reused goroutines. A sub-request needs a deep stack
// for JSON and HTTP, and a new goroutine copies its stack several times while the
// stack grows to that depth. Safe for concurrent use.
type workerPool struct {
	tasks chan func()
	done  chan struct{}
	idle  atomic.Int32
}

func newWorkerPool() *workerPool {
	return &workerPool{tasks: make(chan func()), done: make(chan struct{})}
}

// run starts task without waiting, on an idle goroutine or on a new one.
func (w *workerPool) run(task func()) {
	select {
	case w.tasks <- task:
	default:
		go w.work(task)
	}
}

// work runs a task and then further ones, until close is called or maxIdleWorkers
// other goroutines are idle.
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

// close ends the idle goroutines; busy ones end with their task. It must be called once.
func (w *workerPool) close() { close(w.done) }
