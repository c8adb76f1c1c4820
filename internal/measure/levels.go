package main

import (
	"context"
	"flag"
	"fmt"
	"image/color"
	"io"
	"os"
	"sync"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"whinknot/internal/operator"
	"whinknot/internal/trial"
)

// pair is one seed played without levels and with them.
type pair struct{ without, with *trial.Result }

// levels plays trials with and without levels of reduced service, all at once, and plots the first.
func levels(args []string, out io.Writer) error {
	flags := flag.NewFlagSet("levels", flag.ContinueOnError)
	length := flags.Duration("for", 10*time.Minute, "of each trial")
	seeds := flags.Int("seeds", 10, "")
	rate := flags.Float64("rate", 200, "requests a second")
	calm := flags.Bool("calm", false, "servers keep their speed")
	picture := flags.String("svg", "", "a file for a plot of the first seed")
	if err := flags.Parse(args); err != nil {
		return err
	}
	if *seeds < 1 || *seeds > 32 || *length < time.Second || *length > time.Hour || !(*rate >= 1 && *rate <= 2000) {
		return fmt.Errorf("seeds within 1 and 32, a length within 1 s and 1 h and a rate within 1 and 2000 are allowed")
	}
	speeds := []float64{1, 0.6, 0.35, 0.2}
	if *calm {
		speeds = []float64{1}
	}
	pairs := make([]pair, *seeds)
	errs := make([]error, 2**seeds)
	var all sync.WaitGroup
	for seed := range pairs {
		for n, ladder := range []string{"", trial.ShopLevels} {
			all.Go(func() {
				r, err := trial.Play(context.Background(), trial.Spec{
					Seed: uint64(seed), For: *length, Classes: trial.Shop(), Rate: *rate, Callers: 1000, Servers: 8, Cores: 2,
					Levels: ladder, Window: 500 * time.Millisecond, Every: time.Second,
					Speed: trial.Swing(uint64(seed), 2*time.Second, 6*time.Second, *length, speeds...),
				})
				errs[2*seed+n] = err
				if n == 0 {
					pairs[seed].without = r
				} else {
					pairs[seed].with = r
				}
			})
		}
	}
	all.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	better := 0
	fmt.Fprintln(out, "| seed | worth served without | with levels | plan-save in time | with | browse | with | box-add | with | changes a minute | p99 | with |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	a, b := 0.0, 0.0
	for seed, p := range pairs {
		if p.with.Share() > p.without.Share() {
			better++
		}
		a, b = a+p.without.Share(), b+p.with.Share()
		fmt.Fprintf(out, "| %d | %.3f | %.3f |", seed, p.without.Share(), p.with.Share())
		for _, class := range []string{"plan-save", "browse", "box-add"} {
			fmt.Fprintf(out, " %.3f | %.3f |", p.without.Kept(class), p.with.Kept(class))
		}
		fmt.Fprintf(out, " %.1f | %v | %v |\n", float64(p.with.Count)/length.Minutes(), p.without.P99.Round(time.Millisecond), p.with.P99.Round(time.Millisecond))
		if n := p.without.Unended + p.with.Unended; n > 0 {
			return fmt.Errorf("seed %d: %d requests had no answer", seed, n)
		}
	}
	n := float64(*seeds)
	fmt.Fprintf(out, "\nmean %.3f without, %.3f with levels (%.2f times); better on %d of %d seeds\n", a/n, b/n, b/a, better, *seeds)
	cfg, err := operator.Parse("levels", []byte(trial.Spec{Classes: trial.Shop(), Levels: trial.ShopLevels}.File(nil)))
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "changes allowed: %d in a minute, %d in all\n", cfg.Pools[0].Ladder().Bound(time.Minute), cfg.Pools[0].Ladder().Bound(*length))
	if *picture == "" {
		return nil
	}
	return draws(*picture, pairs[0])
}

// draws plots the course of one pair: speed, level, and worth a second.
func draws(path string, p pair) (err error) {
	grey, blue, red := color.RGBA{R: 150, G: 150, B: 150, A: 255}, color.RGBA{R: 20, G: 90, B: 180, A: 255}, color.RGBA{R: 200, G: 60, B: 40, A: 255}
	heights := map[string]float64{"normal": 0, "lean": 1, "essential": 2}
	course := func(r *trial.Result, of func(trial.Point) float64) plotter.XYs {
		var out plotter.XYs
		for _, at := range r.Course {
			if at.At > 3*time.Minute {
				break // more could not be read
			}
			out = append(out, plotter.XY{X: at.At.Seconds(), Y: of(at)})
		}
		return out
	}
	type curve struct {
		colour color.Color
		points plotter.XYs
		steps  bool
	}
	panels := []struct {
		title  string
		curves []curve
	}{
		{"speed of the servers", []curve{{grey, course(p.with, func(x trial.Point) float64 { return x.Speed }), true}}},
		{"level (0 normal, 1 lean, 2 essential)", []curve{{blue, course(p.with, func(x trial.Point) float64 { return heights[x.Level] }), true}}},
		{"worth a second: asked for (grey), served in time without levels (red) and with them (blue)", []curve{
			{grey, course(p.with, func(x trial.Point) float64 { return x.Asked }), false},
			{red, course(p.without, func(x trial.Point) float64 { return x.Earned }), false},
			{blue, course(p.with, func(x trial.Point) float64 { return x.Earned }), false},
		}},
	}
	var plots [][]*plot.Plot
	for _, panel := range panels {
		pl := plot.New()
		pl.Title.Text = panel.title
		pl.Y.Min = 0
		for _, c := range panel.curves {
			line, err := plotter.NewLine(c.points)
			if err != nil {
				return fmt.Errorf("plot: %w", err)
			}
			line.Color = c.colour
			if c.steps {
				line.StepStyle = plotter.PostStep
			}
			pl.Add(line)
		}
		plots = append(plots, []*plot.Plot{pl})
	}
	plots[2][0].X.Label.Text = "seconds"
	canvas := vgsvg.New(24*vg.Centimeter, 20*vg.Centimeter)
	tiles := draw.Tiles{Rows: len(plots), Cols: 1, PadY: 4 * vg.Millimeter}
	for i, c := range plot.Align(plots, tiles, draw.New(canvas)) {
		plots[i][0].Draw(c[0])
	}
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	if _, err = canvas.WriteTo(f); err != nil {
		f.Close()
		return fmt.Errorf("plot: %w", err)
	}
	return f.Close()
}
