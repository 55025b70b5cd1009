package main

import (
	"bytes"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a row without a counterpart in docs/CAPACITY.md: its comparison would be
// omitted without notice.
func TestEveryRowIsOnThePage(t *testing.T) {
	g := NewWithT(t)
	text, err := os.ReadFile("../../docs/CAPACITY.md")
	g.Expect(err).NotTo(HaveOccurred())
	page := parsePage(string(text))
	reads, _ := page["reads of the service"].figure(2)
	g.Expect(reads).To(BeNumerically("~", 21, 5), "the figure is not the reads per change; the row also contains 46 watchers, polls of 20 s and 32 hosts")
	for _, tab := range []table{entryTable(nil), branchTable(nil), controlTable(nil)} {
		for _, r := range tab.rows {
			_, ok := page[r.name].figure(r.pageIndex)
			g.Expect(ok).To(BeTrue(), r.name)
			g.Expect(r.missing).To(BeTrue(), "%s must be missing without a measurement", r.name)
		}
	}
}

// Guards against figures that are read from the wrong benchmark or column, and against
// rows that differ from docs/CAPACITY.md and are not marked.
func TestTablesCompareMeasuredAndPageFigures(t *testing.T) {
	g := NewWithT(t)
	output := "goos: linux\nBenchmarkCapacityOwnedTarget-10 \t 3\t 5 ns/op\t 2000 heap-B/element\t 500.0 stack-B/element\nBenchmarkPlan/1300-10 5000 231000 ns/op\nPASS\n"
	page := parsePage("| line | slope | at | fits |\n| --- | --- | ---: | --- |\n| state per owned target | 1,200 B | 22 KB | yes |\n| planning a query | 231 µs | x | yes |\n")
	var tables bytes.Buffer
	missing := printTables(&tables, parseBenchmarks([]byte(output)), page)
	g.Expect(missing).To(Equal(len(entryTable(nil).rows) + len(branchTable(nil).rows) + len(controlTable(nil).rows) - 2))
	g.Expect(tables.String()).To(And(
		ContainSubstring("| state per owned target | 2500 B | 0.03 MB | yes | 1200 | **2.08** |"),
		ContainSubstring("| planning a query | 231 µs at 1,300 groups | 3.7 % of a core | yes | 231 | 1.00 |")))
	g.Expect(strings.Count(tables.String(), "\n| ")).To(Equal(3*2 + 2))
}
