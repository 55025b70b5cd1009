package engine

import (
	"slices"

	"github.com/lacewingyard/lacewingyard/pkg/catalog"
)

// splitter divides the requests of a route among services by weight. It guards
// against a change of weights being offset by what was sent under the old ones.
type splitter struct {
	weights []catalog.Weight
	given   []float64 // requests per service since the weights are in force
}

// next returns the service that is furthest behind its share.
func (s *splitter) next(weights []catalog.Weight) string {
	if !slices.Equal(s.weights, weights) {
		s.weights = slices.Clone(weights)
		s.given = make([]float64, len(weights))
	}
	total, sum := 1.0, 0.0
	for i, w := range s.weights {
		total += s.given[i]
		sum += w.Weight
	}
	best, bestLag := 0, -1.0
	for i, w := range s.weights {
		if sum <= 0 || w.Weight <= 0 {
			continue
		}
		if lag := total*w.Weight/sum - s.given[i]; lag > bestLag {
			best, bestLag = i, lag
		}
	}
	s.given[best]++
	return s.weights[best].Service
}
