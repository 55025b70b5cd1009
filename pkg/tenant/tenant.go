package tenant

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"slices"
	"strings"
)

// KeyDigest is the SHA-256 digest of a key.
type KeyDigest [sha256.Size]byte

// Digest returns the digest of a key.
func Digest(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Tenant is a customer whose callers share keys, a priority and a rate limit.
type Tenant struct {
	Name string      `cbor:"1,keyasint,omitempty"`
	Keys []KeyDigest `cbor:"2,keyasint,omitempty"`
	// Priority takes precedence over the priority of a route if HasPriority is set; 0 is
	// the highest.
	Priority    int  `cbor:"3,keyasint,omitempty"`
	HasPriority bool `cbor:"4,keyasint,omitempty"`
	// Rate, in requests per second, and Burst, in requests, limit the requests to all hosts
	// together. A Rate of 0 means no limit.
	Rate  float64 `cbor:"5,keyasint,omitempty"`
	Burst float64 `cbor:"6,keyasint,omitempty"`
}

// Equal reports whether two tenants are the same in every field.
func (t *Tenant) Equal(o *Tenant) bool {
	return t.Name == o.Name && t.Priority == o.Priority && t.HasPriority == o.HasPriority &&
		t.Rate == o.Rate && t.Burst == o.Burst && slices.Equal(t.Keys, o.Keys)
}

// Directory finds tenants by their keys.
type Directory struct {
	tenants []Tenant
	keys    []keyRef // sorted by digest
}

// keyRef is the position of a key in Directory.tenants. It takes 8 bytes; a map of digests
// takes more than ten times as much with 100,000 tenants.
type keyRef struct{ tenant, key int32 }

// NewDirectory returns the directory of the tenants, which must not be changed afterwards.
// A key that several tenants hold identifies the one whose name sorts first: the order of
// tenants may differ between a document and a patch of it.
func NewDirectory(tenants []Tenant) *Directory {
	d := &Directory{tenants: tenants}
	for i := range tenants {
		for k := range tenants[i].Keys {
			d.keys = append(d.keys, keyRef{int32(i), int32(k)})
		}
	}
	slices.SortFunc(d.keys, func(a, b keyRef) int {
		return cmp.Or(bytes.Compare(d.digest(a)[:], d.digest(b)[:]), strings.Compare(d.tenants[a.tenant].Name, d.tenants[b.tenant].Name))
	})
	return d
}

func (d *Directory) digest(r keyRef) *KeyDigest { return &d.tenants[r.tenant].Keys[r.key] }

// Lookup returns the tenant that holds a key, or nil if there is none.
func (d *Directory) Lookup(k KeyDigest) *Tenant {
	i, ok := slices.BinarySearchFunc(d.keys, k, func(r keyRef, k KeyDigest) int { return bytes.Compare(d.digest(r)[:], k[:]) })
	if !ok {
		return nil
	}
	return &d.tenants[d.keys[i].tenant]
}

// CredentialState is whether a request carries a key.
type CredentialState uint8

// States of a credential.
const (
	Absent    CredentialState = iota
	Malformed                 // the request does not carry exactly one key
	Presented
)

// Credential is what a request says about its caller.
type Credential struct {
	State  CredentialState
	Digest KeyDigest // if State is Presented
}

// Scheme is the authentication scheme of a key in the header Authorization.
const Scheme = "Bearer"

// ParseBearer returns the credential in the values of the header Authorization. Only one
// value with one key in the Bearer scheme, whose name may have any case, presents a key.
func ParseBearer(values []string) Credential {
	if len(values) == 0 {
		return Credential{}
	}
	scheme, key, _ := strings.Cut(values[0], " ")
	key = strings.Trim(key, " ")
	if len(values) > 1 || !strings.EqualFold(scheme, Scheme) || key == "" || strings.ContainsAny(key, " \t,") {
		return Credential{State: Malformed}
	}
	return Credential{State: Presented, Digest: Digest(key)}
}

// Identify returns the tenant of a request, nil if the request has none. It returns false
// if the request must be refused: only requests of anonymous routes may come without a
// known key. A nil Directory means that the configuration has no tenants, and admits all.
func Identify(d *Directory, anonymousRoute bool, c Credential) (t *Tenant, ok bool) {
	if d == nil {
		return nil, true
	}
	if c.State == Presented {
		t = d.Lookup(c.Digest)
	}
	return t, t != nil || anonymousRoute
}
