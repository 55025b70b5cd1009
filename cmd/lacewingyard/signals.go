package main

import (
	"os"
	"os/signal"

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
