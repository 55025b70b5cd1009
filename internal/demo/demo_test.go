package demo_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/internal/demo"
	"github.com/lacewingyard/lacewingyard/internal/fleet"
)

var _ = DescribeTable("OwnAnswer: Run",
	// Guards against answers that are incomplete or belong to another query. Both example
	// deployments run at their full size over real sockets.
	func(ctx context.Context, dir string) {
		deployment, err := fleet.Load(dir)
		Expect(err).NotTo(HaveOccurred())
		report, err := demo.Run(ctx, deployment, demo.Options{
			Queries: 20, Timeout: time.Minute, Logger: hclog.NewNullLogger(), HTTPClient: http.DefaultClient,
			Rand: rand.New(rand.NewPCG(1, 2)),
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(report.Services).To(HaveLen(4))
		for name, s := range report.Services {
			Expect(s.Equal).To(Equal(20), "%s: %+v", name, s)
			Expect(s.Coverage).To(Equal(1.0), name)
			Expect(s.Snapshots).To(HaveLen(1), name)
		}
	},
	Entry("New England", "../../examples/new-england", NodeTimeout(90*time.Second)),
	Entry("Riga", "../../examples/riga", NodeTimeout(90*time.Second)),
)
