package engine

import (
	"slices"

	"github.com/lacewingyard/lacewingyard/pkg/catalog"
)

// splitter divides the requests of a route among services by weight. A change of weights
// resets its counts: with the old counts, the new split would first make up for the
// requests sent under the old weights.
type splitter struct {
	weights  []catalog.Weight
	assigned []float64 // requests per service since the weights took effect
}

// next returns the service that is furthest behind its share of the requests, or the
// first one if no weight is positive.
func (s *splitter) next(weights []catalog.Weight) string {
	if !slices.Equal(s.weights, weights) {
		s.weights = slices.Clone(weights)
		s.assigned = make([]float64, len(weights))
	}
	total, sum := 1.0, 0.0
	for i, w := range s.weights {
		total += s.assigned[i]
		sum += w.Weight
	}
	best, bestLag := 0, -1.0
	for i, w := range s.weights {
		if sum <= 0 || w.Weight <= 0 {
			continue
		}
		if lag := total*w.Weight/sum - s.assigned[i]; lag > bestLag {
			best, bestLag = i, lag
		}
	}
	s.assigned[best]++
	return s.weights[best].Service
}
