package atmostonce_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestAtMostOnce(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "atmostonce")
}
