package chart

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"peridotpath.example/measure/bench"
	"peridotpath.example/peridotpath"
)

// The files must be SVG and contain the names of the policies.
func TestChartsLabelPolicies(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	all := []bench.Figures{
		{Policy: "round_robin", OfferedPercent: 60, P95: [3]float64{900, 1, 1}},
		{Policy: "round_robin", OfferedPercent: 80, P95: [3]float64{1_900, 1, 1}},
		{Policy: "peridotpath_without_memory", OfferedPercent: 60, P95: [3]float64{90, 1, 1}},
		{Policy: "peridotpath_without_memory", OfferedPercent: 80, P95: [3]float64{190, 1, 1}},
	}
	is.NoErr(DrawLatency(folder, peridotpath.Short, all))
	effect := Effects()[0]
	is.NoErr(DrawMechanisms(folder, effect, 80, all))
	for name, want := range map[string]string{"ttft_short": ">round_robin<", effect.Name: ">memory<"} {
		svg, err := os.ReadFile(filepath.Join(folder, name+".svg"))
		is.NoErr(err)
		is.True(strings.Contains(string(svg), "<svg"))
		is.True(strings.Contains(string(svg), want))
	}
}
