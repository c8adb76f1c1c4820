package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"milletmast/internal/emulate"
	"milletmast/internal/faultdrill"
	"milletmast/internal/operator"
)

// defaultDrills is the directory that drill list shows.
const defaultDrills = "deploy/drills"

func drillCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use: "drill", Short: "Run scenarios over real processes, with faults between them",
		Long: `Runs a scenario (deploy/drills, and those of deploy/scenarios without settings that only the emulator supports) over real processes
on loopback: sidecars, servers, the links between them, and a load, for as long as the scenario says. The four rules are checked with
observations from outside the sidecars. docs/operate/drill.md explains faults and figures.`,
	}
	cmd.AddCommand(drillRunCommand(), drillCompareCommand(), drillListCommand())
	return cmd
}

// drillRun is one call of drill run.
type drillRun struct {
	flags      drillFlags
	reportPath string // "" for none
	factsPath  string // "" for none
}

func drillRunCommand() *cobra.Command {
	var run drillRun
	cmd := &cobra.Command{
		Use: "run SCENARIO...", Short: "Run scenarios over processes, and print the results of callers and violations of the rules",
		Example: "  milletemu drill run deploy/drills/halves.toml --seeds 1-3\n" +
			"  milletemu drill run deploy/drills/one-door.toml --report one-door.html --facts facts.jsonl",
		Args: cobra.MinimumNArgs(1),
		RunE: run.execute,
	}
	run.flags.register(cmd, "1")
	cmd.Flags().StringVar(&run.reportPath, "report", "", "write a report with plots to this file (HTML)")
	cmd.Flags().StringVar(&run.factsPath, "facts", "", "write all facts of the last seed to this file, one line of JSON for each")
	return cmd
}

// execute runs each scenario with each seed, one after the other, and prints the results.
func (d *drillRun) execute(cmd *cobra.Command, paths []string) error {
	ctx, stop := untilInterrupted(cmd)
	defer stop()
	seeds, err := parseSeeds(d.flags.seeds)
	if err != nil {
		return err
	}
	var scenarios []*emulate.Scenario
	for _, path := range paths { // all are read before the first is run
		scenario, err := d.flags.load(cmd, path)
		if err != nil {
			return err
		}
		scenarios = append(scenarios, scenario)
	}
	var results []*faultdrill.Result
	rulesBroken := false
	for i, scenario := range scenarios {
		for _, seed := range seeds {
			result, err := d.flags.run(ctx, scenario, seed, d.factsPath)
			if err != nil {
				return err
			}
			results = append(results, result)
			if result.ViolationCount > 0 {
				rulesBroken = true
				d.printDrillViolations(cmd.ErrOrStderr(), paths[i], result)
			}
		}
	}
	if err := d.writeResults(cmd.OutOrStdout(), results); err != nil {
		return err
	}
	if rulesBroken {
		return errRulesBroken
	}
	return nil
}

// writeResults prints the results and writes the report.
func (d *drillRun) writeResults(w io.Writer, results []*faultdrill.Result) error {
	var err error
	if d.flags.json {
		err = writeJSON(w, results)
	} else {
		err = printDrills(w, results)
	}
	if err != nil || d.reportPath == "" {
		return err
	}
	return writeReport(d.reportPath, results)
}

// printDrillViolations prints the violations of rules of one run, the logs of its processes, and the command to run it again.
func (d *drillRun) printDrillViolations(w io.Writer, path string, result *faultdrill.Result) {
	for _, violation := range result.Violations {
		fmt.Fprintf(w, "%s, seed %d: %s\n", result.Scenario, result.Seed, violation)
	}
	fmt.Fprintf(w, "%s\nplay it again: %s\n", result.Logs, d.commandFor(path, result.Seed))
}

// commandFor returns the command that runs one seed of a drill again.
func (d *drillRun) commandFor(path string, seed uint64) string {
	var b strings.Builder
	fmt.Fprintf(&b, "milletemu drill run %s --seeds %d", path, seed)
	for _, override := range d.flags.overrides {
		fmt.Fprintf(&b, " --set '%s'", override)
	}
	if d.flags.program != "" {
		fmt.Fprintf(&b, " --program %s", d.flags.program)
	}
	return b.String()
}

// writeReport writes a report with plots as HTML.
func writeReport(path string, results []*faultdrill.Result) (err error) {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	if err := faultdrill.Report(file, results); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// printDrills prints a table of runs over processes, and the tiers and classes of each.
func printDrills(w io.Writer, results []*faultdrill.Result) error {
	table := newTable(w, tabwriter.AlignRight)
	fmt.Fprintln(table, "drill\tseed\tasked\tserved worth\tworst 5 s\trefused\tfailed\tlate\tp95 ms\tatt/req\t"+
		"falls\tbreaks\tload late\tstart\t")
	for _, r := range results {
		refused, failed, late := percentages(r.Result)
		fmt.Fprintf(table, "%s\t%d\t%d\t%.4f\t%.3f\t%.2f%%\t%.2f%%\t%.2f%%\t%.1f\t%.3f\t%d\t%d\t%v\t%v\t\n",
			r.Scenario, r.Seed, r.Asked, r.Share, r.WorstShare(worstSeconds),
			refused, failed, late, r.P95, r.PerRequest, r.Overloads, r.ViolationCount,
			r.MaxDelay.Round(time.Millisecond), r.StartTime.Round(100*time.Millisecond))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, r := range results {
		fmt.Fprintf(w, "\n%s, seed %d:\n", r.Scenario, r.Seed)
		for _, tier := range r.Verdicts {
			attemptsPerRequest := float64(tier.Attempts) / float64(max(tier.Requests, 1))
			fmt.Fprintf(w, "  %s: latest to a server that drains %.0f ms, latest answer past its time %.1f ms, "+
				"most to a cold server %.2f times what it can do, %.3f attempts for one sent\n",
				tier.Tier, tier.Margins.Drain, tier.Margins.Answer, tier.Margins.Cold, attemptsPerRequest)
		}
		printClasses(w, r.Classes)
	}
	return nil
}

// drillComparison is one call of drill compare.
type drillComparison struct {
	flags        drillFlags
	variants     []string
	withEmulator bool // whether the first group is run in the emulator
}

// emulatorConcurrency is how many runs drill compare runs at once in the emulator.
const emulatorConcurrency = 4

func drillCompareCommand() *cobra.Command {
	var comparison drillComparison
	cmd := &cobra.Command{
		Use:   "compare SCENARIO --variant 'NAME: SETS'...",
		Short: "Compare variants of a scenario over processes, or processes with the emulator, pair by pair of seeds",
		Long: `Like emulate compare, but runs each variant over processes. The same seed gives the same requests at the same times and faults of
the same servers and copies. With --emulator the first group is the results of the emulator.`,
		Example: "  milletemu drill compare deploy/drills/one-door.toml --seeds 1-5 --variant 'all:' --variant 'one copy: copies.count=1'\n" +
			"  milletemu drill compare deploy/drills/agree.toml --emulator --seeds 1-5 --variant 'processes:'",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return comparison.execute(cmd, args[0]) },
	}
	comparison.flags.register(cmd, "1-5")
	cmd.Flags().StringArrayVar(&comparison.variants, "variant", nil,
		"a variant: 'small: copies.count=20'; the others are compared with the first one")
	cmd.Flags().BoolVar(&comparison.withEmulator, "emulator", false, "compare with runs of the unchanged scenario in the emulator")
	return cmd
}

// execute runs the variants of a scenario with the same seeds, and prints the differences.
func (d *drillComparison) execute(cmd *cobra.Command, path string) error {
	ctx, stop := untilInterrupted(cmd)
	defer stop()
	seeds, err := parseSeeds(d.flags.seeds)
	if err != nil {
		return err
	}
	var groups []resultGroup
	if d.withEmulator {
		group, err := d.runEmulator(cmd, path, seeds)
		if err != nil {
			return err
		}
		groups = append(groups, group)
	}
	scenarios, names, err := d.loadVariants(cmd, path)
	if err != nil {
		return err
	}
	if len(groups)+len(names) < 2 {
		return errors.New("compare needs two variants, or one and --emulator")
	}
	drillGroups, violations, err := d.runVariants(ctx, scenarios, names, seeds)
	if err != nil {
		return err
	}
	if err := compareGroups(cmd.OutOrStdout(), append(groups, drillGroups...), d.flags.json); err != nil {
		return err
	}
	if violations > 0 {
		return errRulesBroken
	}
	return nil
}

// runEmulator runs the unchanged scenario in the emulator.
func (d *drillComparison) runEmulator(cmd *cobra.Command, path string, seeds []uint64) (resultGroup, error) {
	const name = "emulator"
	flags := emulatorFlags{overrides: d.flags.overrides, concurrency: emulatorConcurrency}
	scenario, err := flags.load(cmd, path)
	if err != nil {
		return resultGroup{}, err
	}
	results, err := flags.run(cmd, jobsFor(scenario, name, seeds))
	return resultGroup{name, results}, err
}

// loadVariants reads the scenario once for each variant.
func (d *drillComparison) loadVariants(cmd *cobra.Command, path string) (scenarios []*emulate.Scenario, names []string, err error) {
	for _, text := range d.variants {
		variant, err := parseVariant(text)
		if err != nil {
			return nil, nil, err
		}
		scenario, err := d.flags.load(cmd, path, variant.Overrides...)
		if err != nil {
			return nil, nil, err
		}
		scenarios, names = append(scenarios, scenario), append(names, variant.Name)
	}
	return scenarios, names, nil
}

// runVariants runs the scenarios over processes, and returns a group for each and the number of violations of rules. For each seed the
// scenarios run one after the other, so that changes of the machine's speed affect all alike.
func (d *drillComparison) runVariants(
	ctx context.Context, scenarios []*emulate.Scenario, names []string, seeds []uint64,
) (groups []resultGroup, violations int, err error) {
	groups = make([]resultGroup, len(scenarios))
	for i, name := range names {
		groups[i].name = name
	}
	for _, seed := range seeds {
		for i, scenario := range scenarios {
			result, err := d.flags.run(ctx, scenario, seed, "")
			if err != nil {
				return nil, 0, err
			}
			violations += result.ViolationCount
			groups[i].results = append(groups[i].results, result.Result)
		}
	}
	return groups, violations, nil
}

func drillListCommand() *cobra.Command {
	return &cobra.Command{
		Use: "list [FOLDER]", Short: "List the drills of a folder (default: deploy/drills)", Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			directory := defaultDrills
			if len(args) == 1 {
				directory = args[0]
			}
			return listDrills(cmd, directory)
		},
	}
}

// listDrills prints a line for each drill of a directory.
func listDrills(cmd *cobra.Command, directory string) error {
	paths, err := filepath.Glob(filepath.Join(directory, "*.toml"))
	if err != nil {
		return err
	}
	if len(paths) == 0 {
		return fmt.Errorf("%s: the folder contains no drill (*.toml)", directory)
	}
	slices.Sort(paths)
	table := newTable(cmd.OutOrStdout(), 0)
	for _, path := range paths {
		scenario, err := emulate.LoadDrill(path)
		if err != nil {
			return operator.PrintErrors(cmd.ErrOrStderr(), path, err)
		}
		fmt.Fprintf(table, "%s\t%d processes\t%v\t%s\n", path, processCount(scenario), scenario.For, scenario.About)
	}
	return table.Flush()
}

// processCount returns the number of processes that a drill of the scenario starts.
func processCount(scenario *emulate.Scenario) int {
	count := scenario.Copies.Count + scenario.Servers.Count
	if scenario.Inner.IsPresent() {
		count += scenario.Servers.Count + scenario.Inner.Servers.Count // a sidecar for each server, and the servers of the second tier
	}
	return count
}
