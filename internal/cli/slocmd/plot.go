package slocmd

import (
	"fmt"
	"image/color"
	"math"
	"strconv"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"coveferry/internal/cli"
	"coveferry/internal/slo"
)

// Dimensions of the plot.
const (
	barWidth   = 10 * vg.Length(1)
	groupWidth = 3 * vg.Centimeter
	frameWidth = 6 * vg.Centimeter
	minWidth   = 16 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
	headroom   = 1.7 // space above the bars for the legend
	titlePad   = 3 * vg.Millimeter
	maxTicks   = 12
	minScale   = 16 // keeps the threshold for paging visible
)

// writePlot plots the burn rates: a group of bars for each class and tier, a bar for each
// window, and a line for each threshold. The file's extension selects the format.
func writePlot(file string, rep slo.Report) error {
	if len(rep.Rows) == 0 {
		return cli.BadInput(errors.Newf("--plot %s: the report has no requests to draw", file))
	}
	p := plot.New()
	p.Title.Text = "SLO burn rate by class and tier"
	p.Title.Padding = titlePad
	p.Y.Label.Text = "burn rate"
	p.Y.Min = 0
	p.Y.Tick.Marker = plot.TickerFunc(ticks)
	p.Legend.Top = true
	if err := addBars(p, rep.Rows); err != nil {
		return errors.Wrap(err, "draw the bars")
	}
	if err := addThresholds(p, len(rep.Rows)); err != nil {
		return errors.Wrap(err, "draw the thresholds")
	}
	p.NominalX(rowNames(rep.Rows)...)
	p.X.Min, p.X.Max = -0.5, float64(len(rep.Rows))-0.5
	p.Y.Max = headroom * max(maxBurn(rep.Rows), minScale)
	width := max(minWidth, frameWidth+vg.Length(len(rep.Rows))*groupWidth)
	if err := p.Save(width, plotHeight, file); err != nil {
		return cli.BadInput(errors.Wrap(err, "--plot"))
	}
	return nil
}

// ticks places ticks at multiples of five, or of a larger step if there would be too many:
// with a strict objective burn rates reach hundreds.
func ticks(_, high float64) []plot.Tick {
	step := 5 * max(1, int(math.Ceil(high/5/maxTicks)))
	var marks []plot.Tick
	for v := 0; float64(v) <= high; v += step {
		marks = append(marks, plot.Tick{Value: float64(v), Label: strconv.Itoa(v)})
	}
	return marks
}

func addBars(p *plot.Plot, rows []slo.Row) error {
	windows := slo.Windows()
	for i, w := range windows {
		values := make(plotter.Values, len(rows))
		for j, row := range rows {
			values[j] = row.Windows[w].Burn
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return err
		}
		bars.Color = plotutil.Color(i)
		bars.LineStyle.Width = 0
		bars.Offset = barWidth * (vg.Length(i) - vg.Length(len(windows)-1)/2)
		p.Add(bars)
		p.Legend.Add("last "+w.String(), bars)
	}
	return nil
}

func addThresholds(p *plot.Plot, groups int) error {
	for i, rule := range slo.Rules() {
		ends := plotter.XYs{{X: -0.5, Y: rule.Burn}, {X: float64(groups) - 0.5, Y: rule.Burn}}
		line, err := plotter.NewLine(ends)
		if err != nil {
			return err
		}
		line.Color = color.Gray{Y: 90}
		line.Dashes = plotutil.Dashes(i + 1)
		p.Add(line)
		p.Legend.Add(fmt.Sprintf("%s at %g (%s, %s)", rule.Level, rule.Burn, rule.Long, rule.Short), line)
	}
	return nil
}

func rowNames(rows []slo.Row) []string {
	names := make([]string, len(rows))
	for i, row := range rows {
		names[i] = row.Class + "\n" + row.Tier
	}
	return names
}

func maxBurn(rows []slo.Row) float64 {
	highest := 0.0
	for _, row := range rows {
		for _, s := range row.Windows {
			highest = max(highest, s.Burn)
		}
	}
	return highest
}
