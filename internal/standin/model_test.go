package standin_test

import (
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/internal/standin"
)

// Guards against an invalid model that makes a running stand-in panic, and against an
// error that does not name the file and the field.
var _ = DescribeTable("LoadModel refuses an invalid model",
	func(text, message string) {
		file := filepath.Join(GinkgoT().TempDir(), "model.json")
		Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
		_, err := standin.LoadModel(file)
		Expect(err).To(MatchError(And(ContainSubstring(file), ContainSubstring(message))))
	},
	Entry("no records", `{"services":{"tags":{"median_ms":1,"noun":"tag"}}}`, "services.tags.records: 0 is below 1"),
	Entry("no service time", `{"services":{"tags":{"records":1,"noun":"tag"}}}`, "services.tags.median_ms: 0 is not above 0"),
	Entry("all packets lost", `{"loss":1}`, "loss: 1 is not"),
	Entry("trailing data", `{}{}`, "data after the JSON document"),
)
