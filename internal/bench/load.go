package bench

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/internal/standin"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// termsPerSearch is the number of terms of a search. Two terms match so few records
// that every answer can be compared in full, without a limit.
const termsPerSearch = 2

// query is a scheduled request.
type query struct {
	at      time.Duration // intended start, from the start of the measured time; negative in the warm-up
	service string
	kind    settings.ServiceKind
	class   string // priority class; empty: the service's class applies
	search  api.SearchRequest
	lookup  api.LookupRequest
	killer  bool // sent by a killer event; of the result only violations count
}

// serviceCapacity returns the queries/s at which all slots of the service's smallest
// group are in use: each query occupies one slot of each group for the mean service
// time.
func serviceCapacity(service settings.Service, model standin.ServiceModel) float64 {
	mean := model.MedianMS * math.Exp(model.Sigma*model.Sigma/2) / 1000
	slots := math.MaxInt
	for _, g := range service.Groups {
		n := 0
		for _, t := range g.Targets {
			n += t.Slots
		}
		slots = min(slots, n)
	}
	return float64(slots) / mean
}

// serviceRates returns the queries/s of each service. A load is the fraction of each
// service's capacity; a rate is divided in proportion to the capacities. Both are
// multiplied by the service's weight, found by name, else by "#N", else by kind.
func serviceRates(c *Case, doc *settings.Document, model *standin.Model) map[string]float64 {
	result := map[string]float64{}
	sum := 0.0
	for i, name := range slices.Sorted(maps.Keys(doc.Services)) {
		service := doc.Services[name]
		weight := 1.0
		if w, ok := c.Weights[string(service.Kind)]; ok {
			weight = w
		}
		for _, key := range []string{fmt.Sprintf("#%d", i), name} {
			if w, ok := c.Weights[key]; ok {
				weight = w
			}
		}
		result[name] = weight * serviceCapacity(service, model.Services[name])
		sum += result[name]
	}
	for name := range result {
		if c.Rate > 0 {
			result[name] *= c.Rate / sum
		} else {
			result[name] *= c.Load
		}
	}
	return result
}

// arrivals generates the queries of a run in order of their intended starts. Each
// service has a separate random stream, so that its arrivals do not depend on the
// other services.
func arrivals(c *Case, doc *settings.Document, model *standin.Model, data map[string]*standin.Dataset, seed uint64, length time.Duration) []query {
	perService := serviceRates(c, doc, model)
	var all []query
	for i, name := range slices.Sorted(maps.Keys(perService)) {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		kind := doc.Services[name].Kind
		for at := arrivalInterval(rng, perService[name]); at < length; at += arrivalInterval(rng, perService[name]) {
			q := query{at: at, service: name, kind: kind, class: randomClass(rng, c.Classes)}
			if kind == settings.KindSearch {
				q.search.Terms = randomTerms(rng)
			} else {
				q.lookup.ID = data[name].RandomID(rng)
			}
			all = append(all, q)
		}
	}
	slices.SortStableFunc(all, func(a, b query) int { return int(a.at - b.at) })
	return all
}

// arrivalInterval draws the time until the next arrival of a Poisson process with a
// rate in queries/s.
func arrivalInterval(rng *rand.Rand, rate float64) time.Duration {
	if rate <= 0 {
		return math.MaxInt64 / 2
	}
	return time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
}

func randomTerms(rng *rand.Rand) []string {
	terms := make([]string, termsPerSearch)
	for i := range terms {
		terms[i] = standin.RandomWord(rng)
	}
	return terms
}

func randomClass(rng *rand.Rand, classes map[string]float64) string {
	sum := 0.0
	names := slices.Sorted(maps.Keys(classes))
	for _, name := range names {
		sum += classes[name]
	}
	x := rng.Float64() * sum
	for _, name := range names {
		if x -= classes[name]; x < 0 {
			return name
		}
	}
	return ""
}
