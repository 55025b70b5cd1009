package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"
)

// handleRepeatedSignals keeps further signals of the given kinds from ending the process once
// the first has started its shutdown: the requests in progress would lose their answers. It must
// be called before the first signal can arrive, and lasts until the process ends.
func handleRepeatedSignals(log hclog.Logger, signals ...os.Signal) {
	received := make(chan os.Signal, 1)
	signal.Notify(received, signals...)
	go func() {
		log.Info("signal received; this host stops", "signal", (<-received).String())
		for s := range received {
			log.Warn("signal received again; this host is already stopping and ends within its grace period", "signal", s.String())
		}
	}()
}

// ignoreClosedOutput makes writes to a closed standard output or error fail. By default they
// end the process: a host would cut its requests when whatever reads its log goes away first.
func ignoreClosedOutput() { signal.Ignore(syscall.SIGPIPE) }
