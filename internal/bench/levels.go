package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"sync"
	"time"

	"milletmast/internal/loadbench"
	"milletmast/internal/operator"
)

// levelPair holds the results of one seed without degradation levels and with them.
type levelPair struct{ without, with *loadbench.Result }

// measureLevels runs trials with and without degradation levels, all at once, and plots the first pair.
func measureLevels(args []string, out io.Writer) error {
	flags := flag.NewFlagSet("levels", flag.ContinueOnError)
	length := flags.Duration("for", 10*time.Minute, "duration of each trial")
	seeds := flags.Int("seeds", 10, "number of seeds")
	rate := flags.Float64("rate", 200, "requests a second")
	calm := flags.Bool("calm", false, "keep the speed of the servers constant")
	picture := flags.String("svg", "", "path of the plot of the first seed")
	if err := flags.Parse(args); err != nil {
		return err
	}
	if *seeds < 1 || *seeds > 32 || *length < time.Second || *length > time.Hour || !(*rate >= 1 && *rate <= 2000) {
		return fmt.Errorf("-seeds %d, -for %v, -rate %v: allowed are 1 to 32, 1s to 1h and 1 to 2000", *seeds, *length, *rate)
	}
	speeds := []float64{1, 0.6, 0.35, 0.2}
	if *calm {
		speeds = []float64{1}
	}
	pairs, err := runLevelPairs(*seeds, *length, *rate, speeds)
	if err != nil {
		return err
	}
	if err := printLevelPairs(out, pairs, *length); err != nil {
		return err
	}
	if *picture == "" {
		return nil
	}
	return plotPair(*picture, pairs[0])
}

// runLevelPairs runs the trials of all seeds at once.
func runLevelPairs(seeds int, length time.Duration, rate float64, speeds []float64) ([]levelPair, error) {
	pairs := make([]levelPair, seeds)
	errs := make([]error, 2*seeds)
	var all sync.WaitGroup
	for seed := range pairs {
		for n, ladder := range []string{"", loadbench.ExampleLevels} {
			all.Go(func() {
				r, err := loadbench.Run(context.Background(), loadbench.Spec{
					Seed: uint64(seed), Duration: length, Classes: loadbench.ExampleClasses(), Rate: rate, Callers: 1000, Servers: 8, Cores: 2,
					Levels: ladder, LevelWindow: 500 * time.Millisecond, SampleInterval: time.Second,
					Speed: loadbench.SwingingSpeed(uint64(seed), 2*time.Second, 6*time.Second, length, speeds...),
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
	return pairs, errors.Join(errs...)
}

// printLevelPairs prints the results as a table, with the means.
func printLevelPairs(out io.Writer, pairs []levelPair, length time.Duration) error {
	better := 0
	fmt.Fprintln(out, "| seed | worth served without | with levels | plan-save in time | with | browse | with | box-add | with "+
		"| changes a minute | p99 | with |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	without, with := 0.0, 0.0
	for seed, p := range pairs {
		if p.with.EarnedRatio() > p.without.EarnedRatio() {
			better++
		}
		without += p.without.EarnedRatio()
		with += p.with.EarnedRatio()
		fmt.Fprintf(out, "| %d | %.3f | %.3f |", seed, p.without.EarnedRatio(), p.with.EarnedRatio())
		for _, class := range []string{"plan-save", "browse", "box-add"} {
			fmt.Fprintf(out, " %.3f | %.3f |", p.without.InTimeRatio(class), p.with.InTimeRatio(class))
		}
		fmt.Fprintf(out, " %.1f | %v | %v |\n", float64(p.with.LevelChangeCount)/length.Minutes(),
			p.without.P99.Round(time.Millisecond), p.with.P99.Round(time.Millisecond))
		if n := p.without.Unanswered + p.with.Unanswered; n > 0 {
			return fmt.Errorf("seed %d: %d requests got no response", seed, n)
		}
	}
	n := float64(len(pairs))
	fmt.Fprintf(out, "\nmean %.3f without, %.3f with levels (%.2f times); better on %d of %d seeds\n",
		without/n, with/n, with/without, better, len(pairs))
	spec := loadbench.Spec{Classes: loadbench.ExampleClasses(), Levels: loadbench.ExampleLevels}
	cfg, err := operator.Parse("levels", []byte(spec.OperatorConfig(nil)))
	if err != nil {
		return err
	}
	ladder := cfg.Pools[0].Ladder()
	_, err = fmt.Fprintf(out, "changes allowed: %d in a minute, %d in all\n", ladder.MaxChanges(time.Minute), ladder.MaxChanges(length))
	return err
}
