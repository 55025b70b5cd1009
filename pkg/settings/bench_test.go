package settings_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/lacewingyard/lacewingyard/pkg/keyspace"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// fleetDocument returns a document of the size in the scale target of
// docs/design.md: 1,300 groups and 6,800 targets in 23 places.
func fleetDocument(tb testing.TB) []byte {
	const places, groups, targets = 23, 1300, 6800
	doc := settings.Document{
		Version: 1, DesignatedLevel: settings.LevelPlace,
		Places: map[string]settings.Place{}, Services: map[string]settings.Service{},
	}
	for i := range places {
		doc.Places[fmt.Sprintf("place-%02d", i)] = settings.Place{State: settings.PlaceIn, Hosts: 57}
	}
	service := settings.Service{Kind: settings.KindSearch, PartitionEpoch: 1, Groups: make([]settings.Group, groups)}
	for i, r := range keyspace.Split(groups) {
		service.Groups[i] = settings.Group{ID: fmt.Sprintf("g%04d", i), Range: r}
	}
	for i := range targets {
		g := &service.Groups[i%groups]
		g.Targets = append(g.Targets, settings.Target{
			ID: fmt.Sprintf("g%04d-r%d", i%groups, i/groups), Place: fmt.Sprintf("place-%02d", i%places),
			Address: fmt.Sprintf("10.%d.%d.%d:9000", i%places, i/256, i%256), Slots: 4, Connections: 36,
		})
	}
	doc.Services["search"] = service
	data, err := json.Marshal(&doc)
	if err != nil {
		tb.Fatal(err)
	}
	return data
}

// BenchmarkParse measures the validation of a document of the size in the scale
// target, which takes most of the time until a change is in force.
func BenchmarkParse(b *testing.B) {
	data := fleetDocument(b)
	b.ReportMetric(float64(len(data)), "bytes")
	for b.Loop() {
		if _, err := settings.Parse(data); err != nil {
			b.Fatal(err)
		}
	}
}
