package membership_test

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// The naive rule of the cold allowance fails in about one history of 1,000, which
// the default of 100 checks seldom finds. The -rapid.checks flag overrides the
// number set here.
func init() { _ = flag.Set("rapid.checks", "5000") }

func TestMembership(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "membership")
}
