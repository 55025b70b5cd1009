package daemon_test

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"github.com/lacewingyard/lacewingyard/internal/fleet"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

var _ = Describe("Logs", func() {
	// Guards against log lines for each request or each tick.
	It("are silent in a steady second with load", func(ctx context.Context) {
		d, err := fleet.Load(newEngland)
		Expect(err).NotTo(HaveOccurred())
		d.Document.Services = map[string]settings.Service{"tagdesk": d.Document.Services["tagdesk"]}
		lines := gbytes.NewBuffer()
		f, err := fleet.Start(ctx, d, hclog.New(&hclog.LoggerOptions{Level: hclog.Info, Output: lines}))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(f.Close)
		drive(ctx, f, "tagdesk", 20, 10*time.Millisecond)
		Expect(lines.Contents()).NotTo(BeEmpty(), "the start of the hosts is logged")
		before := len(lines.Contents())
		drive(ctx, f, "tagdesk", 100, 10*time.Millisecond)
		Expect(string(lines.Contents()[before:])).To(BeEmpty())
	}, NodeTimeout(time.Minute))
})
