package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"milletmast/internal/emulate"
)

// maxResultBytes bounds a file of results.
const maxResultBytes = 1 << 30

func compareCommand() *cobra.Command {
	var flags emulatorFlags
	var variants, files []string
	cmd := &cobra.Command{
		Use:   "compare (SCENARIO --variant 'NAME: SETS'... | --results FILE --results FILE...)",
		Short: "Compare variants of a scenario, or results of two builds, pair by pair of seeds",
		Long: `Runs variants of a scenario with the same seeds, so that all have the same arrivals, work and faults, and prints for each figure
the mean difference from the first variant with a 95% bootstrap interval. If the interval contains 0, the seeds show no difference
of the two. With --results it compares files that builds of the program printed with emulate run --json.`,
		Example: "  milletmast emulate compare deploy/scenarios/zone.toml --seeds 1-20 --variant 'all:' --variant 'subset: pool.subset=8'\n" +
			"  milletmast emulate compare --results old.json --results new.json",
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var groups []resultGroup
			var err error
			switch {
			case len(args) == 1 && len(variants) >= 2 && len(files) == 0:
				groups, err = runVariantGroups(cmd, &flags, args[0], variants)
			case len(args) == 0 && len(files) >= 2 && len(variants) == 0:
				groups, err = readGroups(files)
			default:
				err = errors.New("compare needs a scenario and two variants, or two files of results")
			}
			if err != nil {
				return err
			}
			return compareGroups(cmd.OutOrStdout(), groups, flags.json)
		},
	}
	flags.register(cmd, "1-10")
	cmd.Flags().StringArrayVar(&variants, "variant", nil,
		"a variant: 'small: copies.count=20; demand.rate=900'; the others are compared with the first one")
	cmd.Flags().StringArrayVar(&files, "results", nil, "a file of results; the others are compared with the first one")
	return cmd
}

// resultGroup holds the results of one variant or build, by seed.
type resultGroup struct {
	name    string
	results []*emulate.Result
}

// runVariantGroups runs the variants of a scenario, and returns a group for each.
func runVariantGroups(cmd *cobra.Command, flags *emulatorFlags, path string, variants []string) ([]resultGroup, error) {
	results, err := flags.runVariants(cmd, path, variants)
	if err != nil {
		return nil, err
	}
	var groups []resultGroup
	for _, ofVariant := range results {
		groups = append(groups, resultGroup{ofVariant[0].Variant, ofVariant})
	}
	return groups, nil
}

// readGroups reads files of results, and returns a group for each.
func readGroups(paths []string) ([]resultGroup, error) {
	var groups []resultGroup
	for _, path := range paths {
		results, err := readResults(path)
		if err != nil {
			return nil, err
		}
		groups = append(groups, resultGroup{path, results})
	}
	return groups, nil
}

// readResults reads a file that run --json has printed.
func readResults(path string) ([]*emulate.Result, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	text, err := io.ReadAll(io.LimitReader(file, maxResultBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if len(text) > maxResultBytes {
		return nil, fmt.Errorf("%s: the file is larger than the allowed 1 GiB", path)
	}
	var results []*emulate.Result
	if err := json.Unmarshal(text, &results); err != nil {
		return nil, fmt.Errorf("%s: the file contains no results of emulate run --json: %w", path, err)
	}
	return results, nil
}

// comparison holds the differences of one group from the first.
type comparison struct {
	Base        string               `json:"base"`
	Other       string               `json:"other"`
	Differences []emulate.Difference `json:"differences"`
}

// compareGroups compares each group with the first and prints the differences.
func compareGroups(w io.Writer, groups []resultGroup, asJSON bool) error {
	var comparisons []comparison
	base := groups[0]
	for _, other := range groups[1:] {
		differences, err := emulate.Compare(base.results, other.results)
		if err != nil {
			return err
		}
		comparisons = append(comparisons, comparison{base.name, other.name, differences})
	}
	if asJSON {
		return writeJSON(w, comparisons)
	}
	for i := range comparisons {
		if err := comparisons[i].print(w); err != nil {
			return err
		}
	}
	return nil
}

// print prints a table with a line for each figure.
func (c *comparison) print(w io.Writer) error {
	fmt.Fprintf(w, "%s against %s, %d seeds:\n", c.Other, c.Base, c.Differences[0].Seeds)
	table := newTable(w, tabwriter.AlignRight)
	fmt.Fprintf(table, "figure\t%s\t%s\tdifference\t95%% interval\tverdict\t\n", c.Base, c.Other)
	for i := range c.Differences {
		d := &c.Differences[i]
		name := d.Metric
		if d.Unit == "ms" {
			name += ", ms"
		}
		fmt.Fprintf(table, "%s\t%.4f\t%.4f\t%+.4f\t%+.4f to %+.4f\t%s\t\n", name, d.Base, d.Other, d.Mean, d.Low, d.High, d.Verdict)
	}
	return table.Flush()
}
