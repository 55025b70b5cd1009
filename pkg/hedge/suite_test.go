package hedge_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestHedge(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "hedge")
}
