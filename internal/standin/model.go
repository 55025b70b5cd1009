package standin

import (
	"bytes"
	"encoding/json"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// Model describes the surroundings of a deployment.
type Model struct {
	Seed          uint64                  `json:"seed"`
	OneWayDelayMS float64                 `json:"one_way_delay_ms"` // between two places
	JitterMS      float64                 `json:"jitter_ms"`        // uniform, added to the delay between places
	Loss          float64                 `json:"loss"`             // fraction of packets lost between places
	CallerDelayMS float64                 `json:"caller_delay_ms"`  // one way, between callers and hosts
	Services      map[string]ServiceModel `json:"services"`
}

// ServiceModel describes the searchers of one service.
type ServiceModel struct {
	Records   int     `json:"records"`    // records of the whole service
	ConnectMS float64 `json:"connect_ms"` // time that a new connection takes
	MedianMS  float64 `json:"median_ms"`  // median service time
	Sigma     float64 `json:"sigma"`      // spread of the log-normal service time
	Noun      string  `json:"noun"`       // what a record is, the prefix of its identifier
}

// LoadModel reads a model file strictly.
func LoadModel(file string) (*Model, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "stand-in model")
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	m := new(Model)
	if err := dec.Decode(m); err != nil {
		return nil, errors.Wrapf(err, "stand-in model %s", file)
	}
	return m, nil
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
