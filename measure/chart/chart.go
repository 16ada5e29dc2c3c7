// Package chart plots the figures of package bench as SVG: latency percentiles of each
// policy by offered load, and the effect of leaving out each mechanism.
package chart

import (
	"fmt"
	"path/filepath"
	"strings"

	"github.com/zeebo/errs"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"peridotpath.example/measure/bench"
	"peridotpath.example/peridotpath"
)

// Error is the class of this package's errors.
var Error = errs.Class("chart")

const (
	width  = 9 * vg.Inch
	height = 5 * vg.Inch
	// legendHeadroom is the factor that extends the y axis so that the legend covers no line.
	legendHeadroom = 10
)

// DrawLatency plots, for one length class, the 95th percentile of the time to first token
// against the offered load, with a line for each policy.
func DrawLatency(folder string, class peridotpath.LengthClass, all []bench.Figures) error {
	chart := plot.New()
	chart.Title.Text = fmt.Sprintf("Time to first token, %s prompts, 95th percentile", class)
	chart.X.Label.Text = "offered load, percent of capacity"
	chart.Y.Label.Text = "milliseconds"
	chart.Y.Scale = plot.LogScale{}
	chart.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	chart.Legend.Top = true
	chart.Legend.Left = true
	names, lines := linesByPolicy(all, func(figures *bench.Figures) float64 { return figures.P95[class] })
	var series []any
	for _, name := range names {
		series = append(series, name, lines[name])
	}
	if err := plotutil.AddLinePoints(chart, series...); err != nil {
		return Error.Wrap(err)
	}
	chart.Y.Max *= legendHeadroom
	return save(chart, folder, "ttft_"+class.String())
}

// linesByPolicy returns the policies' names in order and the line of each.
func linesByPolicy(all []bench.Figures, value func(*bench.Figures) float64) ([]string, map[string]plotter.XYs) {
	var names []string
	lines := map[string]plotter.XYs{}
	for i := range all {
		figures := &all[i]
		if lines[figures.Policy] == nil {
			names = append(names, figures.Policy)
		}
		point := plotter.XY{X: float64(figures.OfferedPercent), Y: value(figures)}
		lines[figures.Policy] = append(lines[figures.Policy], point)
	}
	return names, lines
}

// labelPadding keeps labels clear of the axis if the viewer's font is wider than the font
// for which the layout was computed.
var labelPadding = vg.Points(12)

// Effect is a figure that is compared between ablations.
type Effect struct {
	Name  string
	Title string
	Value func(*bench.Figures) float64
}

// Effects returns the figures that are plotted.
func Effects() []Effect {
	return []Effect{
		{"mechanism_short_p99", "Short prompts: time to first token, 99th percentile, milliseconds", func(figures *bench.Figures) float64 {
			return figures.P99[peridotpath.Short]
		}},
		{"mechanism_in_time", "Admitted requests that missed their deadline, percent", func(figures *bench.Figures) float64 {
			return 100 * (1 - figures.InTimeShare)
		}},
		{"mechanism_long_in_time", "Admitted long requests that missed their deadline, percent", func(figures *bench.Figures) float64 {
			return 100 * (1 - figures.LongInTimeShare)
		}},
		{"mechanism_goodput", "Work finished in time, percent of capacity", func(figures *bench.Figures) float64 {
			return figures.GoodputPercent
		}},
	}
}

// DrawMechanisms plots one effect at one offered load as bars: all mechanisms on, then each
// one left out in turn.
func DrawMechanisms(folder string, effect Effect, offered int, all []bench.Figures) error {
	chart := plot.New()
	chart.Title.Text = fmt.Sprintf("Each mechanism left out in turn, at %d %% load", offered)
	chart.X.Label.Text = effect.Title
	var names []string
	var values plotter.Values
	for i := range all {
		if all[i].OfferedPercent == offered {
			names = append(names, barLabel(all[i].Policy))
			values = append(values, effect.Value(&all[i]))
		}
	}
	bars, err := plotter.NewBarChart(values, vg.Points(14))
	if err != nil {
		return Error.Wrap(err)
	}
	bars.Horizontal = true
	bars.Color = plotutil.Color(2)
	chart.Add(bars)
	chart.NominalY(names...)
	chart.Y.Padding = labelPadding
	return save(chart, folder, effect.Name)
}

func barLabel(policy string) string {
	mechanism, found := strings.CutPrefix(policy, "peridotpath_without_")
	if !found {
		return "all on"
	}
	return mechanism
}

func save(chart *plot.Plot, folder, name string) error {
	return Error.Wrap(chart.Save(width, height, filepath.Join(folder, name+".svg")))
}
