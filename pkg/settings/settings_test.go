package settings_test

import (
	"fmt"
	"os"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// document returns a valid document with the given designated level, fleet,
// place and service settings.
func document(level, fleet, place, service string) string {
	return fmt.Sprintf(`{"version": 1, "designated_level": %q,
		"fleet": {"settings": {%s}},
		"places": {"north": {"state": "in", "hosts": 2, "settings": {%s}}},
		"services": {"tags": {"kind": "search", "partition_epoch": 1, "settings": {%s}, "groups": [
			{"id": "g0", "range": {"from": 0, "to": 4294967296}, "targets": [
				{"id": "t0", "place": "north", "address": "127.0.0.1:9000", "slots": 4, "connections": 36}]}]}}}`,
		level, fleet, place, service)
}

var _ = Describe("Parse", func() {
	// Guards against a faulty document that is applied in part, or that is refused
	// with an error that does not locate the fault.
	DescribeTable("refuses a faulty document with the path of the fault",
		func(old, replacement, problem string) {
			good := document("place", `"hedge_quantile": 0.9`, "", "")
			bad := strings.Replace(good, old, replacement, 1)
			Expect(bad).NotTo(Equal(good))
			_, err := settings.Parse([]byte(bad))
			Expect(err).To(MatchError(ContainSubstring(problem)))
		},
		Entry("unknown setting", `"hedge_quantile"`, `"hedge_quantil"`, "fleet.settings.hedge_quantil: unknown field"),
		Entry("unknown field", `"state"`, `"condition"`, "places.north.condition: unknown field"),
		Entry("host-wide setting set for a service", `"partition_epoch": 1, "settings": {}`, `"partition_epoch": 1, "settings": {"entries_ttl": "5s"}`,
			"services.tags.settings.entries_ttl: applies to a host as a whole"),
		Entry("missing unit", `"hedge_quantile": 0.9`, `"hedge_min_delay": 5`, "fleet.settings.hedge_min_delay: 5 is not a duration"),
		Entry("wrong unit", `"hedge_quantile": 0.9`, `"hedge_min_delay": "5 parsecs"`, "fleet.settings.hedge_min_delay"),
		Entry("out of range", `0.9`, `1.5`, "fleet.settings.hedge_quantile: 1.5 is outside 0.5 to 0.9999"),
		Entry("unknown level", `"place"`, `"town"`, "designated_level"),
		Entry("unknown place", `"place": "north"`, `"place": "south"`, `place "south" does not exist`),
		Entry("host name as address", `127.0.0.1:9000`, `localhost:9000`, "is not an IP address with a port"),
		Entry("gap in the ranges", `"to": 4294967296`, `"to": 4294967295`, "services.tags.groups: the ranges leave 1 of"),
		Entry("group identifier used twice", `"to": 4294967296}, "targets": [`,
			`"to": 5}, "targets": [{"id": "t1", "place": "north", "address": "127.0.0.1:9001", "slots": 4, "connections": 36}]},
			{"id": "g0", "range": {"from": 5, "to": 4294967296}, "targets": [`, `groups[1].id: "g0" is also the identifier of services.tags.groups[0]`),
		Entry("duplicate key", `"version": 1`, `"version": 1, "version": 2`, "version: duplicate key"),
		Entry("duplicate key in a list", `"slots": 4`, `"slots": 4, "slots": 5`, "services.tags.groups[0].targets[0].slots: duplicate key"),
		Entry("trailing data", `"version": 1`, `"version": 1}{"version": 1`, "data after the JSON document"),
		Entry("not JSON", `{"version"`, `{version`, "not valid JSON at line 1, column 2:"),
		Entry("extra comma", `"hosts": 2,`, `"hosts": 2,,`, "not valid JSON at line 3, column "),
		Entry("truncated document", `]}]}}}`, `]}]}}`, "unexpected end of document"),
		Entry("missing field", `"designated_level": "place",`, ``, "designated_level: is missing"),
		Entry("missing field of a target", `"slots": 4, `, ``, "services.tags.groups[0].targets[0].slots: is missing"),
		Entry("value below the range", `"slots": 4`, `"slots": -4`, "services.tags.groups[0].targets[0].slots: -4 is below 1"),
		Entry("value above the range", `"hosts": 2`, `"hosts": 99999`, "places.north.hosts: 99999 is above "),
		Entry("version zero", `"version": 1`, `"version": 0`, "version"),
	)

	// Guards against a document that is accepted but in which another level than the
	// designated one decides.
	DescribeTable("resolves values that levels set differently by the designated level",
		func(designated, fleet, place, service string, level settings.Level, value string, overruled int) {
			set := func(v string) string {
				if v == "" {
					return ""
				}
				return `"retry_limit": ` + v
			}
			tree, err := settings.Parse([]byte(document(designated, set(fleet), set(place), set(service))))
			Expect(err).NotTo(HaveOccurred())
			for _, e := range tree.Explain("north", "tags") {
				if e.Field == "retry_limit" {
					Expect(e.Level).To(Equal(level))
					Expect(e.Value).To(Equal(value))
					Expect(e.Overruled).To(HaveLen(overruled))
				}
			}
			Expect(fmt.Sprint(tree.Effective("north", "tags").RetryLimit)).To(Equal(value))
		},
		Entry("the designated place decides", "place", "1", "2", "3", settings.LevelPlace, "2", 2),
		Entry("the designated fleet decides", "fleet", "1", "2", "3", settings.LevelFleet, "1", 2),
		Entry("the designated service decides", "service", "1", "2", "3", settings.LevelService, "3", 2),
		Entry("the most specific level wins where the designated one sets nothing", "fleet", "", "2", "3", settings.LevelService, "3", 1),
		Entry("inherited from the fleet", "place", "1", "", "", settings.LevelFleet, "1", 0),
		Entry("built-in default", "place", "", "", "", settings.LevelDefault, "2", 0),
	)
})

var _ = Describe("ParseProcess", func() {
	// Guards against a daemon that starts with settings of which it ignores a part.
	It("names every fault", func() {
		_, err := settings.ParseProcess([]byte(`{"name": "h", "place": "north", "ordinal": 0,
			"listen": {"callers": "here:1", "peers": "127.0.0.1:2", "operators": "127.0.0.1:3"},
			"platform": {"config_url": "ftp://x", "hosts_url": "http://127.0.0.1:1/hosts"},
			"tls": {"cert_file": "c", "key_file": "k", "ca_file": "a"}}`))
		Expect(err).To(MatchError(And(ContainSubstring("listen.callers"), ContainSubstring("platform.config_url"))))
	})
})

// Guards against a reference page that no longer matches the settings that the
// code accepts.
var _ = It("Reference returns the table that docs/configuration.md contains", func() {
	page, err := os.ReadFile("../../docs/configuration.md")
	Expect(err).NotTo(HaveOccurred())
	Expect(string(page)).To(ContainSubstring(settings.Reference()))
})
