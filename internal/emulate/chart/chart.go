// Package chart plots results of the emulator. It is separate from package emulate because the plotting libraries are large.
package chart

import (
	"fmt"
	"image/color"
	"io"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	// Register the output formats.
	_ "gonum.org/v1/plot/vg/vgimg"
	_ "gonum.org/v1/plot/vg/vgsvg"

	"milletmast/internal/emulate"
)

const (
	width  = 22 * vg.Centimeter
	height = 8 * vg.Centimeter
)

// band is the ratio of the values of the seeds, around their median, that the shaded area contains.
const band = 0.8

// Course plots the results of variants over time, as SVG or PNG: for each second the share of the offered priority weight that was
// earned and the number of refused tries, as the median over the seeds with a band that contains 80% of them.
func Course(w io.Writer, form string, results []*emulate.Result) error {
	if len(results) == 0 {
		return fmt.Errorf("there are no results to plot")
	}
	if form != "svg" && form != "png" {
		return fmt.Errorf("format %q is not supported: svg and png are", form)
	}
	var names []string
	by := map[string][]*emulate.Result{}
	for _, r := range results {
		if by[r.Variant] == nil {
			names = append(names, r.Variant)
		}
		by[r.Variant] = append(by[r.Variant], r)
	}
	earned, refused := plot.New(), plot.New()
	earned.Title.Text = fmt.Sprintf("%s, %d seeds: median and the middle 80%%", results[0].Scenario, len(by[names[0]]))
	earned.Y.Label.Text, refused.Y.Label.Text = "worth earned of asked, 1", "tries refused, 1/s"
	earned.Y.Min, refused.Y.Min = 0, 0
	length := 0
	for _, r := range results {
		length = max(length, len(r.Seconds))
	}
	for _, p := range []*plot.Plot{earned, refused} {
		p.X.Label.Text = "time, s"
		p.X.Min, p.X.Max = 0, float64(length)
		p.Legend.Left = true
		p.Legend.XOffs, p.Legend.YOffs = 2*vg.Millimeter, 2*vg.Millimeter
		p.Add(plotter.NewGrid())
	}
	refused.Legend.Top = true
	refused.Legend.YOffs *= -1
	for i, name := range names {
		if err := curve(earned, name, i, by[name], earnedShare); err != nil {
			return err
		}
		if err := curve(refused, name, i, by[name], rejections); err != nil {
			return err
		}
	}
	canvas, err := draw.NewFormattedCanvas(width, 2*height, form)
	if err != nil {
		return err
	}
	tiles := draw.Tiles{Rows: 2, Cols: 1, PadY: 4 * vg.Millimeter, PadTop: 2 * vg.Millimeter, PadRight: 4 * vg.Millimeter}
	for i, c := range plot.Align([][]*plot.Plot{{earned}, {refused}}, tiles, draw.New(canvas)) {
		[]*plot.Plot{earned, refused}[i].Draw(c[0])
	}
	_, err = canvas.WriteTo(w)
	return err
}

// earnedShare returns the share of the priority weight of a second that was earned; false for a second without requests.
func earnedShare(s *emulate.Second) (float64, bool) {
	return s.Earned / max(s.Worth, 1e-9), s.Worth > 0
}

// rejections returns the number of rejections in a second.
func rejections(s *emulate.Second) (float64, bool) { return float64(s.Refused), true }

// curve adds one variant's median and band.
func curve(p *plot.Plot, name string, n int, results []*emulate.Result, of func(*emulate.Second) (float64, bool)) error {
	length := 0
	for _, r := range results {
		length = max(length, len(r.Seconds))
	}
	var middle, low, high plotter.XYs
	for at := range length {
		var values []float64
		for _, r := range results {
			if at < len(r.Seconds) {
				if v, ok := of(&r.Seconds[at]); ok {
					values = append(values, v)
				}
			}
		}
		if len(values) == 0 {
			continue
		}
		slices.Sort(values)
		q := func(part float64) plotter.XY {
			return plotter.XY{X: float64(at) + 0.5, Y: stat.Quantile(part, stat.Empirical, values, nil)}
		}
		middle, low, high = append(middle, q(0.5)), append(low, q((1-band)/2)), append(high, q((1+band)/2))
	}
	if len(middle) == 0 {
		return nil
	}
	slices.Reverse(low)
	shade, err := plotter.NewPolygon(append(high, low...))
	if err != nil {
		return err
	}
	line, err := plotter.NewLine(middle)
	if err != nil {
		return err
	}
	line.Color = plotutil.Color(n)
	r, g, b, _ := line.Color.RGBA()
	shade.Color = color.NRGBA{uint8(r >> 8), uint8(g >> 8), uint8(b >> 8), 48}
	shade.Width = 0
	p.Add(shade, line)
	if name != "" {
		p.Legend.Add(name, line)
	}
	return nil
}
