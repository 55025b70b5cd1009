package configsync

import (
	"bytes"
	"cmp"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// rememberedRefusals bounds the refused documents that are not asked for again.
const rememberedRefusals = 16

// Check reports the version of a document, or why it must not come into force.
type Check func(raw []byte) (version uint64, err error)

// Position orders documents: by version, then by digest. The zero value is
// before every document.
type Position struct {
	Version uint64 `cbor:"1,keyasint"`
	Digest  uint64 `cbor:"2,keyasint"` // xxhash of the document's bytes
}

// Compare returns -1, 0 or 1. Of two documents of one version the one with the
// higher digest comes later, so that every host chooses the same one.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Version, other.Version), cmp.Compare(p.Digest, other.Digest))
}

// Manifest describes a document by its sections.
type Manifest struct {
	Position Position  `cbor:"1,keyasint"`
	Sections []Section `cbor:"2,keyasint,omitempty"`
}

// Check refuses the manifest of a document that is larger than a limit in
// bytes or has too many sections.
func (m Manifest) Check(limit uint64) error {
	var size uint64
	for _, section := range m.Sections {
		size += uint64(section.Size)
	}
	if size > limit || len(m.Sections) > MaxSections {
		return fmt.Errorf("manifest of version %d has %d bytes in %d sections, the limits are %d and %d",
			m.Position.Version, size, len(m.Sections), limit, MaxSections)
	}
	return nil
}

// Counters count what a host was offered.
type Counters struct {
	Accepted  uint64 `json:"accepted"`
	Older     uint64 `json:"older"`     // documents older than the one in force
	Conflicts uint64 `json:"conflicts"` // other documents of the version in force
	Refused   uint64 `json:"refused"`   // documents that did not pass the check
}

// Refusal tells which document did not pass the check last.
type Refusal struct {
	Position Position
	Err      error
}

// State is the document in force.
type State struct {
	check    Check
	position Position
	raw      []byte
	sections [][]byte
	manifest Manifest
	counters Counters
	refused  []Refusal // newest last
	disputed Position  // the last position counted as a conflict
}

// NewState returns a state without a document.
func NewState(check Check) *State { return &State{check: check} }

// Position returns the position in force.
func (s *State) Position() Position { return s.position }

// Raw returns the document in force. It must not be changed.
func (s *State) Raw() []byte { return s.raw }

// Manifest returns the sections of the document in force.
func (s *State) Manifest() Manifest { return s.manifest }

// Counters returns the counts so far.
func (s *State) Counters() Counters { return s.counters }

// LastRefusal returns the newest refusal, if any.
func (s *State) LastRefusal() (Refusal, bool) {
	if len(s.refused) == 0 {
		return Refusal{}, false
	}
	return s.refused[len(s.refused)-1], true
}

// Offer puts a document in force if it passes the check and comes after the one
// in force. The state keeps raw, which must not be changed afterwards. The
// error is the one of the check.
func (s *State) Offer(raw []byte) (accepted bool, err error) {
	digest := xxhash.Sum64(raw)
	if s.raw != nil && digest == s.position.Digest && bytes.Equal(raw, s.raw) {
		return false, nil
	}
	for _, r := range s.refused {
		if r.Position.Digest == digest {
			s.counters.Refused++
			return false, r.Err
		}
	}
	version, err := s.check(raw)
	if err != nil {
		s.refuse(Refusal{Position{version, digest}, err})
		return false, err
	}
	offered := Position{version, digest}
	s.noteConflict(offered)
	if offered.Compare(s.position) <= 0 {
		if version < s.position.Version {
			s.counters.Older++
		}
		return false, nil
	}
	s.adopt(offered, raw)
	return true, nil
}

func (s *State) adopt(at Position, raw []byte) {
	s.position, s.raw, s.sections = at, raw, cut(raw)
	s.manifest = Manifest{Position: at, Sections: make([]Section, len(s.sections))}
	for i, section := range s.sections {
		s.manifest.Sections[i] = Section{Digest: xxhash.Sum64(section), Size: uint32(len(section))}
	}
	s.counters.Accepted++
}

func (s *State) refuse(r Refusal) {
	s.counters.Refused++
	if len(s.refused) == rememberedRefusals {
		s.refused = s.refused[1:]
	}
	s.refused = append(s.refused, r)
}

// noteConflict counts each other document of the version in force once in a row.
func (s *State) noteConflict(offered Position) {
	if s.raw != nil && offered.Version == s.position.Version && offered != s.position && offered != s.disputed {
		s.counters.Conflicts++
		s.disputed = offered
	}
}

// Behind reports whether a peer at the given position has a document that this
// host should pull. A document that was refused before is not pulled again.
func (s *State) Behind(peer Position) bool {
	if peer.Version == 0 {
		return false
	}
	s.noteConflict(peer)
	if peer.Compare(s.position) <= 0 {
		return false
	}
	for _, r := range s.refused {
		if r.Position.Digest == peer.Digest {
			return false
		}
	}
	return true
}

// Missing returns the digests of the sections that this host does not hold.
func (s *State) Missing(m Manifest) []uint64 {
	held := s.held()
	var missing []uint64
	for _, section := range m.Sections {
		if _, ok := held[section.Digest]; !ok {
			held[section.Digest] = nil // ask once for sections that occur twice
			missing = append(missing, section.Digest)
		}
	}
	return missing
}

// Sections returns the sections with the given digests of the document at a
// position, in order; nil if that document is no longer in force.
func (s *State) Sections(at Position, digests []uint64) [][]byte {
	if at != s.position || s.raw == nil {
		return nil
	}
	held := s.held()
	result := make([][]byte, 0, len(digests))
	for _, d := range digests {
		section, ok := held[d]
		if !ok {
			return nil
		}
		result = append(result, section)
	}
	return result
}

// Assemble joins the sections held with those received into the document of a
// manifest. It fails unless the result has the digest of the manifest.
func (s *State) Assemble(m Manifest, received [][]byte) ([]byte, error) {
	held := s.held()
	for _, section := range received {
		held[xxhash.Sum64(section)] = section
	}
	var raw []byte
	for _, section := range m.Sections {
		data, ok := held[section.Digest]
		if !ok {
			return nil, fmt.Errorf("section %016x of version %d is missing", section.Digest, m.Position.Version)
		}
		raw = append(raw, data...)
	}
	if digest := xxhash.Sum64(raw); digest != m.Position.Digest {
		return nil, fmt.Errorf("sections of version %d join to digest %016x, the manifest says %016x", m.Position.Version, digest, m.Position.Digest)
	}
	return raw, nil
}

func (s *State) held() map[uint64][]byte {
	held := make(map[uint64][]byte, len(s.sections))
	for i, section := range s.sections {
		held[s.manifest.Sections[i].Digest] = section
	}
	return held
}
