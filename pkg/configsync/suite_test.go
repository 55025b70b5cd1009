package configsync_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestConfigsync(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "configsync")
}
