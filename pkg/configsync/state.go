package configsync

import (
	"bytes"
	"cmp"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// maxRefusals is the number of refused documents that are not pulled again.
const maxRefusals = 16

// Check returns the version of a document, or an error if the document is invalid.
// The version returned with an error only identifies the refusal and may be 0.
type Check func(raw []byte) (version uint64, err error)

// Position identifies a document and orders documents by version, then by digest.
// The zero value comes before every document.
type Position struct {
	Version uint64 `cbor:"1,keyasint"`
	Digest  uint64 `cbor:"2,keyasint"` // xxhash of the document's bytes
}

// Compare returns -1, 0 or 1. Of two documents of the same version the one with
// the higher digest comes later, so that all hosts choose the same one.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Version, other.Version), cmp.Compare(p.Digest, other.Digest))
}

// Manifest describes a document by its sections.
type Manifest struct {
	Position Position  `cbor:"1,keyasint"`
	Sections []Section `cbor:"2,keyasint,omitempty"`
}

// Check returns an error if the document is larger than limit bytes or has more
// than MaxSections sections.
func (m Manifest) Check(limit uint64) error {
	var size uint64
	for _, section := range m.Sections {
		size += uint64(section.Size)
	}
	if size > limit || len(m.Sections) > MaxSections {
		return fmt.Errorf("manifest of version %d describes %d bytes in %d sections, the limits are %d and %d",
			m.Position.Version, size, len(m.Sections), limit, MaxSections)
	}
	return nil
}

// Counters counts the documents offered to a host, by result. Conflicts also
// counts positions that peers reported.
type Counters struct {
	Accepted  uint64 `json:"accepted"`
	Older     uint64 `json:"older"`     // documents older than the one in force
	Conflicts uint64 `json:"conflicts"` // different documents of the version in force
	Refused   uint64 `json:"refused"`   // documents that failed the check
}

// Refusal is the position of a document that failed the check, with the error.
type Refusal struct {
	Position Position
	Err      error
}

// State holds the document in force and the recently refused ones.
type State struct {
	check        Check
	position     Position
	raw          []byte
	sections     [][]byte
	manifest     Manifest
	counters     Counters
	refused      []Refusal // newest last
	lastConflict Position  // the last position counted as a conflict
}

// NewState returns a state without a document.
func NewState(check Check) *State { return &State{check: check} }

// Position returns the position in force.
func (s *State) Position() Position { return s.position }

// Raw returns the document in force, nil if there is none. The caller must not
// modify the slice.
func (s *State) Raw() []byte { return s.raw }

// Manifest returns the manifest of the document in force.
func (s *State) Manifest() Manifest { return s.manifest }

// Counters returns the counts since the state was created.
func (s *State) Counters() Counters { return s.counters }

// LastRefusal returns the latest refusal, and false if there is none.
func (s *State) LastRefusal() (Refusal, bool) {
	if len(s.refused) == 0 {
		return Refusal{}, false
	}
	return s.refused[len(s.refused)-1], true
}

// Offer puts a document in force if it passes the check and comes after the one in
// force. The error is the check's; a document that was refused recently fails with
// the same error without another check. The state keeps raw, which the caller must
// not modify afterwards.
func (s *State) Offer(raw []byte) (accepted bool, err error) {
	digest := xxhash.Sum64(raw)
	if s.raw != nil && digest == s.position.Digest && bytes.Equal(raw, s.raw) {
		return false, nil
	}
	for _, refusal := range s.refused {
		if refusal.Position.Digest == digest {
			s.counters.Refused++
			return false, refusal.Err
		}
	}
	version, err := s.check(raw)
	if err != nil {
		s.refuse(Refusal{Position{version, digest}, err})
		return false, err
	}
	offered := Position{version, digest}
	s.countConflict(offered)
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
	s.position, s.raw, s.sections = at, raw, split(raw)
	s.manifest = Manifest{Position: at, Sections: make([]Section, len(s.sections))}
	for i, section := range s.sections {
		s.manifest.Sections[i] = Section{Digest: xxhash.Sum64(section), Size: uint32(len(section))}
	}
	s.counters.Accepted++
}

func (s *State) refuse(r Refusal) {
	s.counters.Refused++
	if len(s.refused) == maxRefusals {
		s.refused = s.refused[1:]
	}
	s.refused = append(s.refused, r)
}

// countConflict counts a different document of the version in force, and not again
// while the same one is offered repeatedly.
func (s *State) countConflict(offered Position) {
	if s.raw != nil && offered.Version == s.position.Version && offered != s.position && offered != s.lastConflict {
		s.counters.Conflicts++
		s.lastConflict = offered
	}
}

// Behind reports whether a peer at the given position has a document that this
// host should pull. Documents that were refused recently are not pulled again. A
// different document of the version in force is counted as a conflict.
func (s *State) Behind(peer Position) bool {
	if peer.Version == 0 {
		return false
	}
	s.countConflict(peer)
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

// Missing returns the digests of the sections of a manifest that this host does
// not have, each once.
func (s *State) Missing(m Manifest) []uint64 {
	known := s.sectionsByDigest()
	var missing []uint64
	for _, section := range m.Sections {
		if _, ok := known[section.Digest]; !ok {
			known[section.Digest] = nil // request a section that occurs twice only once
			missing = append(missing, section.Digest)
		}
	}
	return missing
}

// Sections returns the sections of the document at a position that have the given
// digests, in their order. It returns nil if that document is not in force or does
// not have one of the sections.
func (s *State) Sections(at Position, digests []uint64) [][]byte {
	if at != s.position || s.raw == nil {
		return nil
	}
	known := s.sectionsByDigest()
	result := make([][]byte, 0, len(digests))
	for _, d := range digests {
		section, ok := known[d]
		if !ok {
			return nil
		}
		result = append(result, section)
	}
	return result
}

// Assemble concatenates sections of the document in force and received ones to the
// document of a manifest. It returns an error if a section is missing or if the
// result does not have the digest of the manifest.
func (s *State) Assemble(m Manifest, received [][]byte) ([]byte, error) {
	known := s.sectionsByDigest()
	for _, section := range received {
		known[xxhash.Sum64(section)] = section
	}
	var raw []byte
	for _, section := range m.Sections {
		data, ok := known[section.Digest]
		if !ok {
			return nil, fmt.Errorf("section %016x of version %d is missing", section.Digest, m.Position.Version)
		}
		raw = append(raw, data...)
	}
	if digest := xxhash.Sum64(raw); digest != m.Position.Digest {
		return nil, fmt.Errorf("assembled sections of version %d have digest %016x, the manifest says %016x", m.Position.Version, digest, m.Position.Digest)
	}
	return raw, nil
}

// sectionsByDigest returns the sections of the document in force by digest.
func (s *State) sectionsByDigest() map[uint64][]byte {
	known := make(map[uint64][]byte, len(s.sections))
	for i, section := range s.sections {
		known[s.manifest.Sections[i].Digest] = section
	}
	return known
}
