// Package chart draws figures of the bench as SVG.
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
	// legendRoom stretches the axis so that the legend covers no line.
	legendRoom = 10
)

// Latency draws, for one length class, the 95th percentile of the time to first
// token against the offered load, a line for each policy.
func Latency(folder string, class peridotpath.LengthClass, all []bench.Figures) error {
	chart := plot.New()
	chart.Title.Text = fmt.Sprintf("Time to first token, %s prompts, 95th percentile", class)
	chart.X.Label.Text = "offered load, percent of capacity"
	chart.Y.Label.Text = "milliseconds"
	chart.Y.Scale = plot.LogScale{}
	chart.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	chart.Legend.Top = true
	chart.Legend.Left = true
	names, lines := byPolicy(all, func(figures *bench.Figures) float64 { return figures.P95[class] })
	var series []any
	for _, name := range names {
		series = append(series, name, lines[name])
	}
	if err := plotutil.AddLinePoints(chart, series...); err != nil {
		return Error.Wrap(err)
	}
	chart.Y.Max *= legendRoom
	return save(chart, folder, "ttft_"+class.String())
}

// byPolicy returns a line for each policy, and their names in order.
func byPolicy(all []bench.Figures, value func(*bench.Figures) float64) ([]string, map[string]plotter.XYs) {
	var names []string
	lines := map[string]plotter.XYs{}
	for i := range all {
		figures := &all[i]
		if lines[figures.Policy] == nil {
			names = append(names, figures.Policy)
		}
		point := plotter.XY{X: float64(figures.Offered), Y: value(figures)}
		lines[figures.Policy] = append(lines[figures.Policy], point)
	}
	return names, lines
}

// labelSpace keeps labels clear of the axis where the viewer's font is wider
// than the one that their space was reckoned with.
var labelSpace = vg.Points(12)

// Effect is what one figure becomes without a mechanism.
type Effect struct {
	Name  string
	Title string
	Value func(*bench.Figures) float64
}

// Effects are the figures that are drawn.
func Effects() []Effect {
	return []Effect{
		{"mechanism_short_p99", "Short prompts: time to first token, 99th percentile, milliseconds", func(figures *bench.Figures) float64 {
			return figures.P99[peridotpath.Short]
		}},
		{"mechanism_in_time", "Admitted requests that missed their deadline, percent", func(figures *bench.Figures) float64 {
			return 100 * (1 - figures.InTime)
		}},
		{"mechanism_long_in_time", "Admitted long requests that missed their deadline, percent", func(figures *bench.Figures) float64 {
			return 100 * (1 - figures.LongInTime)
		}},
		{"mechanism_goodput", "Work finished in time, percent of capacity", func(figures *bench.Figures) float64 {
			return figures.Goodput
		}},
	}
}

// Mechanisms draws one effect as bars: everything on, then each mechanism left
// out, at one offered load.
func Mechanisms(folder string, effect Effect, offered int, all []bench.Figures) error {
	chart := plot.New()
	chart.Title.Text = fmt.Sprintf("Each mechanism left out in turn, at %d %% load", offered)
	chart.X.Label.Text = effect.Title
	var names []string
	var values plotter.Values
	for i := range all {
		if all[i].Offered == offered {
			names = append(names, label(all[i].Policy))
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
	chart.Y.Padding = labelSpace
	return save(chart, folder, effect.Name)
}

func label(policy string) string {
	short, found := strings.CutPrefix(policy, "peridotpath_without_")
	if !found {
		return "all on"
	}
	return short
}

func save(chart *plot.Plot, folder, name string) error {
	return Error.Wrap(chart.Save(width, height, filepath.Join(folder, name+".svg")))
}
