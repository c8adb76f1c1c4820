package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"milletmast/internal/emulate"
	"milletmast/internal/faultdrill"
	"milletmast/internal/operator"
)

// maxSeeds bounds the runs of one command.
const maxSeeds = 1000

// emulatorFlags are the flags of the commands that run scenarios in the emulator.
type emulatorFlags struct {
	seeds       string
	overrides   []string // KEY=VALUE, of the scenario
	concurrency int      // number of concurrent runs
	json        bool
}

func (f *emulatorFlags) register(cmd *cobra.Command, defaultSeeds string) {
	cmd.Flags().StringVar(&f.seeds, "seeds", defaultSeeds, "seeds to run: 3, 1-10 or 1,4,7-9")
	cmd.Flags().StringArrayVar(&f.overrides, "set", nil, "set a value of the scenario: copies.count=20; may be repeated")
	cmd.Flags().IntVar(&f.concurrency, "at-once", runtime.GOMAXPROCS(0), "number of concurrent runs")
	cmd.Flags().BoolVar(&f.json, "json", false, "print the complete results as JSON")
}

// load reads a scenario for the emulator.
func (f *emulatorFlags) load(cmd *cobra.Command, path string, overrides ...string) (*emulate.Scenario, error) {
	return loadScenario(cmd, emulate.Load, path, slices.Concat(f.overrides, overrides))
}

// run runs jobs in the emulator. The results have the order of the jobs.
func (f *emulatorFlags) run(cmd *cobra.Command, jobs []emulate.Job) ([]*emulate.Result, error) {
	if f.concurrency < 1 {
		return nil, fmt.Errorf("--at-once %d: must be at least 1", f.concurrency)
	}
	ctx, stop := untilInterrupted(cmd)
	defer stop()
	return emulate.RunAll(ctx, jobs, f.concurrency, nil)
}

// runVariants runs a scenario in each variant with the same seeds, and returns the results by variant.
func (f *emulatorFlags) runVariants(cmd *cobra.Command, path string, variantTexts []string) ([][]*emulate.Result, error) {
	seeds, err := parseSeeds(f.seeds)
	if err != nil {
		return nil, err
	}
	var jobs []emulate.Job
	for _, text := range variantTexts {
		variant, err := parseVariant(text)
		if err != nil {
			return nil, err
		}
		scenario, err := f.load(cmd, path, variant.Overrides...)
		if err != nil {
			return nil, err
		}
		jobs = append(jobs, jobsFor(scenario, variant.Name, seeds)...)
	}
	results, err := f.run(cmd, jobs)
	if err != nil {
		return nil, err
	}
	return slices.Collect(slices.Chunk(results, len(seeds))), nil
}

// jobsFor returns a job for each seed.
func jobsFor(scenario *emulate.Scenario, variant string, seeds []uint64) []emulate.Job {
	var jobs []emulate.Job
	for _, seed := range seeds {
		jobs = append(jobs, emulate.Job{Scenario: scenario, Variant: variant, Seed: seed})
	}
	return jobs
}

// drillFlags are the flags of the commands that run scenarios over processes.
type drillFlags struct {
	seeds     string
	overrides []string // KEY=VALUE, of the scenario
	program   string   // path of the sidecar's program; "" for the default
	json      bool
}

func (f *drillFlags) register(cmd *cobra.Command, defaultSeeds string) {
	cmd.Flags().StringVar(&f.seeds, "seeds", defaultSeeds, "seeds to run, one after the other: 3, 1-10 or 1,4,7-9")
	cmd.Flags().StringArrayVar(&f.overrides, "set", nil, "set a value of the scenario: copies.count=20; may be repeated")
	cmd.Flags().StringVar(&f.program, "program", "", "the sidecar's program (default: milletmast beside this one)")
	cmd.Flags().BoolVar(&f.json, "json", false, "print the complete results as JSON")
}

// load reads a scenario for processes.
func (f *drillFlags) load(cmd *cobra.Command, path string, overrides ...string) (*emulate.Scenario, error) {
	return loadScenario(cmd, emulate.LoadDrill, path, slices.Concat(f.overrides, overrides))
}

// run runs one seed of a scenario over processes. If factsPath isn't empty, all facts are written to that file.
func (f *drillFlags) run(
	ctx context.Context, scenario *emulate.Scenario, seed uint64, factsPath string,
) (result *faultdrill.Result, err error) {
	program, err := f.programPath()
	if err != nil {
		return nil, err
	}
	options := faultdrill.Options{Program: program}
	if factsPath != "" {
		file, err := os.Create(factsPath)
		if err != nil {
			return nil, err
		}
		defer func() { err = errors.Join(err, file.Close()) }()
		options.History = file
	}
	result, err = faultdrill.Run(ctx, scenario, seed, options)
	if err != nil {
		return nil, fmt.Errorf("%s, seed %d: %w", scenario.Name, seed, err)
	}
	return result, nil
}

// programPath returns the path of the sidecar's program.
func (f *drillFlags) programPath() (string, error) {
	if f.program != "" {
		return f.program, nil
	}
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	return filepath.Join(filepath.Dir(self), "milletmast"), nil
}

// scenarioReader reads a scenario file for the emulator or for processes.
type scenarioReader func(path string, overrides ...string) (*emulate.Scenario, error)

// loadScenario reads a scenario file. Its mistakes are printed to standard error, one line for each.
func loadScenario(cmd *cobra.Command, read scenarioReader, path string, overrides []string) (*emulate.Scenario, error) {
	scenario, err := read(path, overrides...)
	if err != nil {
		return nil, operator.PrintErrors(cmd.ErrOrStderr(), path, err)
	}
	if scenario.Name == "" {
		scenario.Name = strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	}
	return scenario, nil
}

// parseSeeds reads a list of seeds and ranges of them: "3", "1-10" or "1,4,7-9".
func parseSeeds(text string) ([]uint64, error) {
	var seeds []uint64
	for _, part := range strings.Split(text, ",") {
		first, last, err := parseSeedRange(part)
		if err != nil {
			return nil, fmt.Errorf("--seeds %q: write 3, 1-10 or 1,4,7-9", text)
		}
		if last-first >= maxSeeds || uint64(len(seeds))+last-first >= maxSeeds {
			return nil, fmt.Errorf("--seeds %q: more than %d seeds", text, maxSeeds)
		}
		for seed := first; seed <= last; seed++ {
			seeds = append(seeds, seed)
		}
	}
	return seeds, nil
}

// errSeedRange is returned for a range whose end is before its start.
var errSeedRange = errors.New("range ends before it starts")

// parseSeedRange reads "3" or "1-10".
func parseSeedRange(text string) (first, last uint64, err error) {
	from, to, isRange := strings.Cut(text, "-")
	if !isRange {
		to = from
	}
	const bitSize = 63
	if first, err = strconv.ParseUint(strings.TrimSpace(from), 10, bitSize); err != nil {
		return 0, 0, err
	}
	if last, err = strconv.ParseUint(strings.TrimSpace(to), 10, bitSize); err != nil {
		return 0, 0, err
	}
	if last < first {
		return 0, 0, errSeedRange
	}
	return first, last, nil
}

// parseVariant reads "name: copies.count=20; demand.rate=900".
func parseVariant(text string) (emulate.Variant, error) {
	name, overrides, found := strings.Cut(text, ":")
	variant := emulate.Variant{Name: strings.TrimSpace(name)}
	if !found || variant.Name == "" {
		return variant, fmt.Errorf("--variant %q: write it as 'small: copies.count=20; demand.rate=900'", text)
	}
	for _, override := range strings.Split(overrides, ";") {
		if override = strings.TrimSpace(override); override != "" {
			variant.Overrides = append(variant.Overrides, override)
		}
	}
	return variant, nil
}
