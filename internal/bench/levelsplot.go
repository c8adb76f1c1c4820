package main

import (
	"errors"
	"fmt"
	"image/color"
	"os"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"milletmast/internal/loadbench"
)

// maxPlotted limits the time that is plotted, so that the plot stays readable.
const maxPlotted = 3 * time.Minute

// levelNumbers are the values at which the levels of loadbench.ExampleLevels are plotted.
var levelNumbers = map[string]float64{"normal": 0, "lean": 1, "essential": 2}

// panel is one of the plots, which are stacked.
type panel struct {
	title  string
	curves []panelCurve
}

// panelCurve is a line of a panel.
type panelCurve struct {
	color  color.Color
	points plotter.XYs
	steps  bool
}

// samplePoints returns a value of the samples of a result over the time in s.
func samplePoints(r *loadbench.Result, value func(loadbench.Sample) float64) plotter.XYs {
	var points plotter.XYs
	for _, s := range r.Samples {
		if s.At > maxPlotted {
			break
		}
		points = append(points, plotter.XY{X: s.At.Seconds(), Y: value(s)})
	}
	return points
}

// pairPanels returns the panels of a pair: speed, level, and priority weight per second.
func pairPanels(p levelPair) []panel {
	grey := color.RGBA{R: 150, G: 150, B: 150, A: 255}
	blue := color.RGBA{R: 20, G: 90, B: 180, A: 255}
	red := color.RGBA{R: 200, G: 60, B: 40, A: 255}
	speed := func(s loadbench.Sample) float64 { return s.Speed }
	level := func(s loadbench.Sample) float64 { return levelNumbers[s.Level] }
	offered := func(s loadbench.Sample) float64 { return s.OfferedWeight }
	earned := func(s loadbench.Sample) float64 { return s.EarnedWeight }
	return []panel{
		{"speed of the servers", []panelCurve{{grey, samplePoints(p.with, speed), true}}},
		{"level (0 normal, 1 lean, 2 essential)", []panelCurve{{blue, samplePoints(p.with, level), true}}},
		{"worth a second: offered (grey), served in time without levels (red) and with them (blue)", []panelCurve{
			{grey, samplePoints(p.with, offered), false},
			{red, samplePoints(p.without, earned), false},
			{blue, samplePoints(p.with, earned), false},
		}},
	}
}

// plotPair plots a pair into a file (SVG).
func plotPair(path string, p levelPair) error {
	var plots [][]*plot.Plot
	for _, panel := range pairPanels(p) {
		pl := plot.New()
		pl.Title.Text = panel.title
		pl.Y.Min = 0
		for _, c := range panel.curves {
			line, err := plotter.NewLine(c.points)
			if err != nil {
				return fmt.Errorf("plot: %w", err)
			}
			line.Color = c.color
			if c.steps {
				line.StepStyle = plotter.PostStep
			}
			pl.Add(line)
		}
		plots = append(plots, []*plot.Plot{pl})
	}
	plots[len(plots)-1][0].X.Label.Text = "seconds"
	canvas := vgsvg.New(24*vg.Centimeter, 20*vg.Centimeter)
	tiles := draw.Tiles{Rows: len(plots), Cols: 1, PadY: 4 * vg.Millimeter}
	for i, c := range plot.Align(plots, tiles, draw.New(canvas)) {
		plots[i][0].Draw(c[0])
	}
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	_, err = canvas.WriteTo(f)
	if err := errors.Join(err, f.Close()); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}
