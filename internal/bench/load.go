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

// termsPerSearch is the number of words of a search. Two words match few enough
// records for every answer to be compared in full, without a limit.
const termsPerSearch = 2

// query is one planned request.
type query struct {
	at      time.Duration // intended start
	service string
	kind    settings.ServiceKind
	class   string // priority class; empty for the service's own
	search  api.SearchRequest
	lookup  api.LookupRequest
	killer  bool // sent by a killer event; only its violations count
}

// capacity returns the queries/s that use every slot of a service's weakest
// group: each query takes one slot of each group for a mean service time.
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

// rates returns the queries/s of each service. With a load it is that fraction
// of the service's capacity; a rate is divided in proportion to the capacities.
// Weights by name, else by position ("#N"), else by kind, multiply either.
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

// arrivals draws the whole load in order of its intended starts. Each service
// has its own random stream, so that its arrivals do not depend on the others.
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

// gap draws the time to the next arrival of a Poisson process.
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
