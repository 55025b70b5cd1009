package daemon

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/internal/loadtest"
)

func TestDaemon(t *testing.T) {
	RegisterFailHandler(Fail)
	loadtest.RunSpecs(t, "daemon")
}
