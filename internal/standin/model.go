package standin

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Model holds the parameters of the stand-ins of a deployment.
type Model struct {
	Seed          uint64                  `json:"seed"`
	OneWayDelayMS float64                 `json:"one_way_delay_ms"` // between two places
	JitterMS      float64                 `json:"jitter_ms"`        // maximum of a uniform jitter added to the delay between places
	Loss          float64                 `json:"loss"`             // fraction of packets lost between places, below 1
	CallerDelayMS float64                 `json:"caller_delay_ms"`  // one way, between callers and hosts
	Services      map[string]ServiceModel `json:"services"`
}

// ServiceModel holds the parameters of the searchers of one service.
type ServiceModel struct {
	Records   int     `json:"records"`    // number of records of the whole service
	ConnectMS float64 `json:"connect_ms"` // time to establish a connection
	MedianMS  float64 `json:"median_ms"`  // median of the log-normal service time
	Sigma     float64 `json:"sigma"`      // standard deviation of the logarithm of the service time
	Noun      string  `json:"noun"`       // prefix of the record IDs
}

// LoadModel reads and validates a model file. Unknown fields and data after the
// document are errors. An error names the file and, for an invalid value, the path of
// the field.
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
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.Newf("stand-in model %s: data after the JSON document", file)
	}
	return m, errors.Wrapf(m.validate(), "stand-in model %s", file)
}

// validate returns an error for values with which the stand-ins cannot run. Services
// are checked in the order of their names, so that the error is deterministic.
func (m *Model) validate() error {
	switch {
	case m.OneWayDelayMS < 0 || m.JitterMS < 0 || m.CallerDelayMS < 0:
		return errors.New("one_way_delay_ms, jitter_ms and caller_delay_ms must not be negative")
	case m.Loss < 0 || m.Loss >= 1:
		return errors.Newf("loss: %v is not in the range [0, 1)", m.Loss)
	}
	for _, name := range slices.Sorted(maps.Keys(m.Services)) {
		switch s := m.Services[name]; {
		case s.Records < 1:
			return errors.Newf("services.%s.records: %d is below 1", name, s.Records)
		case s.MedianMS <= 0:
			return errors.Newf("services.%s.median_ms: %v is not above 0", name, s.MedianMS)
		case s.ConnectMS < 0 || s.Sigma < 0:
			return errors.Newf("services.%s: connect_ms and sigma must not be negative", name)
		case s.Noun == "":
			return errors.Newf("services.%s.noun is missing", name)
		}
	}
	return nil
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
