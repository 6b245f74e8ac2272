// Package plot draws the result of a bench run as grouped bar charts: attainment
// by class and by tier, and goodput by class, with one bar for each policy.
package plot

import (
	"fmt"
	"image/color"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"

	"coveferry/internal/bench/measure"
	"coveferry/internal/bench/report"
)

// fullShare is the maximum of a percentage axis.
const fullShare = 100

const (
	width  = 36 * vg.Centimeter
	height = 16 * vg.Centimeter
	// groupWidth is the width of all bars of one group.
	groupWidth = 0.48 * vg.Inch
	labelSize  = font.Length(7)
)

// colors is a palette for policies that is distinguishable with color blindness.
var colors = []color.Color{
	color.RGBA{R: 0x00, G: 0x72, B: 0xb2, A: 0xff},
	color.RGBA{R: 0xe6, G: 0x9f, B: 0x00, A: 0xff},
	color.RGBA{R: 0x00, G: 0x9e, B: 0x73, A: 0xff},
	color.RGBA{R: 0xcc, G: 0x79, B: 0xa7, A: 0xff},
	color.RGBA{R: 0x56, G: 0xb4, B: 0xe9, A: 0xff},
	color.RGBA{R: 0xd5, G: 0x5e, B: 0x00, A: 0xff},
}

// ErrEmpty marks the error for a result without measurements.
var ErrEmpty = errors.New("nothing to plot")

// panel is one bar chart.
type panel struct {
	title, axis, format string
	axisMax             float64 // maximum of the axis; 0 means that of the data
	names               []string
	groups              []measure.Group // the group of each name
	valueOf             func(measure.Measures) float64
}

// WritePNG draws the result; its error is marked ErrEmpty if there is nothing to
// draw.
func WritePNG(w io.Writer, r report.Result) error {
	if len(r.Policies) == 0 || len(r.Policies[0].Groups) == 0 {
		return errors.Mark(errors.New("no policy was measured"), ErrEmpty)
	}
	var row []*plot.Plot
	for _, p := range panels(r) {
		chart, err := p.chart(r.Policies)
		if err != nil {
			return err
		}
		row = append(row, chart)
	}
	row[1].Title.Text = fmt.Sprintf("%s: %s; mix %s, %.3g s\n\n%s", r.Scenario, r.Doc, r.Mix, r.Duration, row[1].Title.Text)
	img := vgimg.New(width, height)
	tiles := draw.Tiles{Rows: 1, Cols: len(row), PadX: vg.Centimeter, PadTop: vg.Centimeter / 2, PadLeft: vg.Centimeter / 2, PadRight: vg.Centimeter / 2, PadBottom: vg.Centimeter / 2}
	for i, canvas := range plot.Align([][]*plot.Plot{row}, tiles, draw.New(img))[0] {
		row[i].Draw(canvas)
	}
	_, err := vgimg.PngCanvas{Canvas: img}.WriteTo(w)
	return errors.Wrap(err, "write the plot")
}

func panels(r report.Result) []panel {
	var classes, tiers []measure.Group
	var classNames, tierNames []string
	for _, g := range r.Policies[0].Groups {
		switch {
		case g.Tier == "":
			classes = append(classes, g)
			classNames = append(classNames, g.Class)
		case g.Class == "":
			tiers = append(tiers, g)
			tierNames = append(tierNames, g.Tier)
		}
	}
	attainment := func(m measure.Measures) float64 { return 100 * m.Attainment }
	goodput := func(m measure.Measures) float64 { return m.Goodput }
	return []panel{
		{"Attainment by class", "requests within their targets (%)", "%.0f", fullShare, classNames, classes, attainment},
		{"Attainment by tier", "requests within their targets (%)", "%.0f", fullShare, tierNames, tiers, attainment},
		{"Goodput by class", "answers in time (1/s)", "%.1f", 0, classNames, classes, goodput},
	}
}

func (p panel) chart(policies []report.Policy) (*plot.Plot, error) {
	chart := plot.New()
	chart.Title.Text = p.title
	chart.Y.Label.Text = p.axis
	chart.Y.Min = 0
	chart.Legend.Top = true
	chart.Legend.Padding = vg.Points(2)
	bar := groupWidth / vg.Length(len(policies))
	for i, policy := range policies {
		offset := bar * (vg.Length(i) - vg.Length(len(policies)-1)/2)
		if err := p.bars(chart, policy, colors[i%len(colors)], bar, offset); err != nil {
			return nil, err
		}
	}
	chart.NominalX(p.names...)
	chart.X.Tick.Label.Rotation = 0.5
	chart.X.Tick.Label.XAlign = draw.XRight
	chart.X.Tick.Label.YAlign = draw.YTop
	if p.axisMax == fullShare {
		chart.Y.Tick.Marker = plot.ConstantTicks(percentTicks())
	}
	// Leave space above the bars for the legend.
	chart.Y.Max = max(p.axisMax, chart.Y.Max) * 1.25
	chart.X.Min, chart.X.Max = -0.6, float64(len(p.names))-0.4
	return chart, nil
}

// percentTicks returns the ticks up to 100%, without the space for the legend.
func percentTicks() []plot.Tick {
	var ticks []plot.Tick
	for v := 0; v <= fullShare; v += 20 {
		ticks = append(ticks, plot.Tick{Value: float64(v), Label: strconv.Itoa(v)})
	}
	return ticks
}

func (p panel) bars(chart *plot.Plot, policy report.Policy, c color.Color, width, offset vg.Length) error {
	values := make(plotter.Values, len(p.groups))
	labels := plotter.XYLabels{}
	for i, g := range p.groups {
		values[i] = p.valueOf(policy.Group(g.Class, g.Tier))
		labels.XYs = append(labels.XYs, plotter.XY{X: float64(i), Y: values[i]})
		labels.Labels = append(labels.Labels, fmt.Sprintf(p.format, values[i]))
	}
	bars, err := plotter.NewBarChart(values, width)
	if err != nil {
		return errors.Wrap(err, "draw bars")
	}
	bars.Color = c
	bars.LineStyle.Width = 0
	bars.Offset = offset
	marks, err := plotter.NewLabels(labels)
	if err != nil {
		return errors.Wrap(err, "draw labels")
	}
	marks.Offset = vg.Point{X: offset, Y: vg.Points(2)}
	for i := range marks.TextStyle {
		marks.TextStyle[i].Font.Size = labelSize
		marks.TextStyle[i].XAlign = draw.XCenter
	}
	chart.Add(bars, marks)
	chart.Legend.Add(policy.Policy, bars)
	return nil
}
