package main

import (
	"github.com/spf13/cobra"

	"milletmast/internal/emulate"
)

func runCommand() *cobra.Command {
	var flags emulatorFlags
	cmd := &cobra.Command{
		Use: "run SCENARIO...", Short: "Run scenarios, and print the results of callers and violations of the rules",
		Example: "  milletmast emulate run deploy/scenarios/zone.toml --seeds 1-5\n" +
			"  milletmast emulate run deploy/scenarios/*.toml --set copies.count=100 --json >results.json",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, paths []string) error { return runScenarios(cmd, &flags, paths) },
	}
	flags.register(cmd, "1")
	return cmd
}

// runScenarios runs each scenario with each seed, and prints the results and the violations of rules.
func runScenarios(cmd *cobra.Command, flags *emulatorFlags, paths []string) error {
	seeds, err := parseSeeds(flags.seeds)
	if err != nil {
		return err
	}
	var jobs []emulate.Job
	for _, path := range paths {
		scenario, err := flags.load(cmd, path)
		if err != nil {
			return err
		}
		jobs = append(jobs, jobsFor(scenario, "", seeds)...)
	}
	results, err := flags.run(cmd, jobs)
	if err != nil {
		return err
	}
	if flags.json {
		err = writeJSON(cmd.OutOrStdout(), results)
	} else {
		err = printResults(cmd.OutOrStdout(), results)
	}
	if err != nil {
		return err
	}
	return printViolations(cmd.ErrOrStderr(), results)
}
