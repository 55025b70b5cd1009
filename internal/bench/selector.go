package bench

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// resolveName returns the key of a map that text denotes: the key itself, or "#N" for
// the key at index N in sorted order. kind names the keys in errors.
func resolveName[V any](kind, text string, all map[string]V) (string, error) {
	names := slices.Sorted(maps.Keys(all))
	if rest, ok := strings.CutPrefix(text, "#"); ok {
		n, err := strconv.Atoi(rest)
		if err != nil || n < 0 || n >= len(names) {
			return "", errors.Newf("%s %q is not #0 to #%d", kind, text, len(names)-1)
		}
		return names[n], nil
	}
	if _, ok := all[text]; !ok {
		return "", errors.Newf("%s %q is not one of %s", kind, text, strings.Join(names, ", "))
	}
	return text, nil
}

// selectTargets returns the identifiers of the selected targets, in order of service,
// replica and group; a random selection is in random order. It is an error to select no
// target.
func (s Selector) selectTargets(doc *settings.Document, rng *rand.Rand) ([]string, error) {
	var err error
	service, place := "", ""
	if s.Service != "" {
		if service, err = resolveName("service", s.Service, doc.Services); err != nil {
			return nil, err
		}
	}
	if s.Place != "" {
		if place, err = resolveName("place", s.Place, doc.Places); err != nil {
			return nil, err
		}
	}
	var ids []string
	for _, name := range slices.Sorted(maps.Keys(doc.Services)) {
		if service != "" && name != service || s.Kind != "" && doc.Services[name].Kind != s.Kind {
			continue
		}
		ids = append(ids, s.selectInGroups(doc.Services[name].Groups, place)...)
	}
	if len(ids) == 0 {
		return nil, errors.Newf("the selector %+v selects no target", s)
	}
	if n := s.targetCount(len(ids)); n < len(ids) {
		rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
		ids = ids[:n]
	}
	return ids, nil
}

func (s Selector) selectInGroups(groups []settings.Group, place string) []string {
	var ids []string
	replicas := 0
	for _, g := range groups {
		replicas = max(replicas, len(g.Targets))
	}
	for r := range replicas {
		for i, g := range groups {
			if r >= len(g.Targets) || s.Group != nil && *s.Group != i || s.Replica != nil && *s.Replica != r {
				continue
			}
			if place == "" || g.Targets[r].Place == place {
				ids = append(ids, g.Targets[r].ID)
			}
		}
	}
	return ids
}

// targetCount returns how many of n targets are selected: all without a count and a
// fraction. A fraction selects at least one.
func (s Selector) targetCount(n int) int {
	switch {
	case s.Count > 0:
		return min(s.Count, n)
	case s.Fraction > 0:
		return max(1, int(math.Round(s.Fraction*float64(n))))
	default:
		return n
	}
}
