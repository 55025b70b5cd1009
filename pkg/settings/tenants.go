package settings

import (
	"encoding/hex"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/lacewingyard/lacewingyard/pkg/tenant"
)

// maxKeyBytes limits the length of a key in a file or an environment variable. A caller
// sends a key in a header, and all headers together may have 16 KiB.
const maxKeyBytes = 1024

// LocalKey is a key of a tenant that one host has beside those of the document.
type LocalKey struct {
	Tenant string
	Digest tenant.KeyDigest
}

// Tenants returns the tenants of the document, which must not be modified.
func (t *Tree) Tenants() []tenant.Tenant { return t.tenants }

// HasTenants reports whether the document has a list of tenants, even an empty one.
func (t *Tree) HasTenants() bool { return t.keys != nil }

// Identify returns the tenant of a request to a service, nil if the request has none. It
// returns false if the request must be refused. A service that does not exist is not
// anonymous.
func (t *Tree) Identify(service string, c tenant.Credential) (*tenant.Tenant, bool) {
	return tenant.Identify(t.keys, t.Doc.Services[service].Anonymous, c)
}

// AddKeys adds keys to the tenants of the document and returns those that it passed over:
// keys of a tenant that the document does not have, and keys that the document gives to
// another tenant. It must be called before the tree is used concurrently.
func (t *Tree) AddKeys(keys []LocalKey) (ignored []LocalKey) {
	if !t.HasTenants() || len(keys) == 0 {
		return nil
	}
	index := make(map[string]int, len(t.tenants))
	for i := range t.tenants {
		index[t.tenants[i].Name] = i
	}
	for _, k := range keys {
		i, ok := index[k.Tenant]
		holder := t.keys.Lookup(k.Digest)
		switch {
		case !ok || holder != nil && holder.Name != k.Tenant:
			ignored = append(ignored, k)
		case holder == nil:
			t.tenants[i].Keys = append(t.tenants[i].Keys, k.Digest)
		}
	}
	t.keys = tenant.NewDirectory(t.tenants)
	return ignored
}

// decodeTenants validates the tenants. No fault contains a key or what was written in place
// of a digest, which may be a key: the text of a refusal goes to logs and to the status.
func (t *Tree) decodeTenants(found *faults) {
	if t.Doc.Tenants == nil {
		return
	}
	names, digests := map[string]int{}, map[tenant.KeyDigest]string{}
	t.tenants = make([]tenant.Tenant, len(t.Doc.Tenants))
	for i, d := range t.Doc.Tenants {
		path := fmt.Sprintf("tenants[%d]", i)
		if other, ok := names[d.Name]; ok {
			found.addf(path+".name", "%q is also the name of tenants[%d]", d.Name, other)
		}
		names[d.Name] = i
		if d.Keys != nil {
			found.addf(path+".keys", "a published document may not contain keys; set key_digests, which lacewingyard key-digest prints")
		}
		if d.RatePerS > 0 && d.Burst < 1 {
			found.addf(path+".burst", "%g is below 1, the least burst of a tenant with a rate", d.Burst)
		}
		entry := tenant.Tenant{Name: d.Name, Rate: d.RatePerS, Burst: d.Burst}
		if d.Priority != "" {
			class, _ := ParsePriority(d.Priority) // the schema allows only known names
			entry.Priority, entry.HasPriority = int(class), true
		}
		for k, text := range d.KeyDigests {
			keyPath := fmt.Sprintf("%s.key_digests[%d]", path, k)
			digest, problem := parseDigest(text)
			if other, ok := digests[digest]; ok && problem == "" {
				problem = "is also the digest " + other
			}
			if problem != "" {
				found.addf(keyPath, "%s", problem)
				continue
			}
			digests[digest] = keyPath
			entry.Keys = append(entry.Keys, digest)
		}
		t.tenants[i] = entry
	}
	t.keys = tenant.NewDirectory(t.tenants)
}

func parseDigest(text string) (digest tenant.KeyDigest, problem string) {
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != len(digest) || strings.ToLower(text) != text {
		return digest, "is not a SHA-256 digest in 64 lower-case hexadecimal digits"
	}
	digest = tenant.KeyDigest(data)
	if digest == tenant.Digest("") {
		return digest, "is the digest of an empty key"
	}
	return digest, ""
}

// ParseKeys reads lines of the form name:key. Empty lines and lines that start with # are
// skipped. The error names the line and never contains a key.
func ParseKeys(text string) ([]LocalKey, error) {
	var keys []LocalKey
	holders := map[tenant.KeyDigest]string{}
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		name, key, ok := strings.Cut(line, ":")
		digest := tenant.Digest(key)
		problem := ""
		switch holder, taken := holders[digest]; {
		case !ok || name == "":
			problem = "is not of the form name:key"
		case key == "" || len(key) > maxKeyBytes || strings.ContainsFunc(key, notInToken):
			problem = fmt.Sprintf("the key of tenant %s must have 1 to %d visible ASCII characters", name, maxKeyBytes)
		case taken:
			problem = fmt.Sprintf("the key of tenant %s is also a key of tenant %s", name, holder)
		}
		if problem != "" {
			return nil, fmt.Errorf("line %d: %s", i+1, problem)
		}
		holders[digest] = name
		keys = append(keys, LocalKey{Tenant: name, Digest: digest})
	}
	return keys, nil
}

// notInToken reports whether a character cannot be part of a key in a header.
func notInToken(r rune) bool { return r <= ' ' || r >= 0x7f }

// read returns the keys of all sources.
func (s KeySources) read() ([]LocalKey, error) {
	var text []string
	if s.File != "" {
		data, err := os.ReadFile(s.File)
		if err != nil {
			return nil, fmt.Errorf("tenant_keys.file: %w", err)
		}
		text = append(text, string(data))
	}
	if s.Env != "" {
		value, ok := os.LookupEnv(s.Env)
		if !ok {
			return nil, fmt.Errorf("tenant_keys.env: the environment variable %s is not set", s.Env)
		}
		text = append(text, value)
	}
	var all []LocalKey
	for i, source := range text {
		keys, err := ParseKeys(source)
		if err != nil {
			field := "file"
			if i > 0 || s.File == "" {
				field = "env"
			}
			return nil, fmt.Errorf("tenant_keys.%s: %w", field, err)
		}
		all = append(all, keys...)
	}
	return slices.Clip(all), nil
}
