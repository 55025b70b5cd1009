package wire_test

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/internal/wire"
)

// Guards against a malformed message that crashes a host.
func FuzzRead(f *testing.F) {
	var valid bytes.Buffer
	if err := wire.Write(&valid, &wire.SearchRequest{QueryID: "q", Parts: []wire.PartRequest{{Group: "g", Target: "t"}}}); err != nil {
		f.Fatal(err)
	}
	f.Add(valid.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0, 0, 0, 1, 0x9f})
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, message := range []any{new(wire.SearchRequest), new(wire.SearchReply), new(wire.LookupRequest), new(wire.LookupReply), new(wire.Cancel)} {
			_ = wire.Read(bytes.NewReader(data), message)
		}
	})
}

// Guards against a buffer that is allocated before the length prefix is checked.
func TestReadRefusesLongMessage(t *testing.T) {
	g := NewWithT(t)
	err := wire.Read(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0xff}), new(wire.SearchReply))
	g.Expect(err).To(MatchError(ContainSubstring("limit")))
}
