package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"milletmast/internal/emulate"
	"milletmast/internal/emulate/chart"
)

func plotCommand() *cobra.Command {
	var flags emulatorFlags
	var variants []string
	var outPath string
	cmd := &cobra.Command{
		Use: "plot SCENARIO -o FILE", Short: "Plot the results of a scenario over time, in one or more variants",
		Example: "  milletmast emulate plot deploy/scenarios/zone.toml --seeds 1-10 -o zone.svg\n" +
			"  milletmast emulate plot deploy/scenarios/slow.toml --variant 'as it is:' --variant 'two attempts: pool.attempts=2' -o slow.png",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(variants) == 0 {
				variants = []string{"as it is:"}
			}
			format := strings.TrimPrefix(filepath.Ext(outPath), ".")
			if format != "svg" && format != "png" {
				return fmt.Errorf("-o %q: the file has to end in .svg or .png", outPath)
			}
			results, err := flags.runVariants(cmd, args[0], variants)
			if err != nil {
				return err
			}
			return writeChart(outPath, format, slices.Concat(results...))
		},
	}
	flags.register(cmd, "1-5")
	cmd.Flags().StringArrayVar(&variants, "variant", nil, "a variant: 'small: copies.count=20'")
	cmd.Flags().StringVarP(&outPath, "out", "o", "", "path of the plot (.svg or .png)")
	if err := cmd.MarkFlagRequired("out"); err != nil {
		panic(err) // the flag is registered above
	}
	return cmd
}

// writeChart plots the results of runs over time into a file.
func writeChart(path, format string, results []*emulate.Result) (err error) {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	if err := chart.Course(file, format, results); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}
