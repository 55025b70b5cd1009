package bench

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/internal/loadtest"
)

func TestBench(t *testing.T) {
	RegisterFailHandler(Fail)
	loadtest.RunSpecs(t, "bench")
}
