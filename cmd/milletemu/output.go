package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"

	"milletmast/internal/emulate"
)

// errRulesBroken is returned by a command whose runs broke a rule.
var errRulesBroken = errors.New("rules were broken")

const (
	worstSeconds     = 5 // length of the window for the lowest earned share
	maxDetailedRuns  = 8 // number of runs up to which the classes of each run are printed
	columnSeparation = 2 // spaces between the columns of a table
)

// newTable returns a writer that aligns columns that are separated by tabs.
func newTable(w io.Writer, flags uint) *tabwriter.Writer {
	return tabwriter.NewWriter(w, 0, 0, columnSeparation, ' ', flags)
}

func writeJSON(w io.Writer, v any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", " ")
	return encoder.Encode(v)
}

// printViolations prints the violations of rules. It returns errRulesBroken if there are any.
func printViolations(w io.Writer, results []*emulate.Result) error {
	found := false
	for _, r := range results {
		for _, violation := range r.Violations {
			fmt.Fprintf(w, "%s, seed %d: %s\n", r.Scenario, r.Seed, violation)
		}
		if more := r.ViolationCount - len(r.Violations); more > 0 {
			fmt.Fprintf(w, "%s, seed %d: and %d more\n", r.Scenario, r.Seed, more)
		}
		found = found || r.ViolationCount > 0
	}
	if found {
		return errRulesBroken
	}
	return nil
}

// percentages returns the percentages of the requests that were rejected, that failed or were abandoned, and that were late.
func percentages(r *emulate.Result) (refused, failed, late float64) {
	perRequest := 100 / float64(max(r.Asked, 1))
	for _, class := range r.Classes {
		refused += perRequest * float64(class.Refused)
		failed += perRequest * float64(class.Failed+class.GaveUp)
		late += perRequest * float64(class.Late)
	}
	return refused, failed, late
}

// printClasses prints how the requests of each class ended.
func printClasses(w io.Writer, classes []emulate.ClassResult) {
	for _, class := range classes {
		n := float64(max(class.Asked, 1))
		fmt.Fprintf(w, "  %-12s asked %d, in time %.4f, late %.4f, refused %.4f, failed %.4f, left %.4f\n", class.Name, class.Asked,
			float64(class.InTime)/n, float64(class.Late)/n, float64(class.Refused)/n, float64(class.Failed)/n, float64(class.GaveUp)/n)
	}
}

// printResults prints a table of runs in the emulator, and the classes of each if there are few.
func printResults(w io.Writer, results []*emulate.Result) error {
	table := newTable(w, tabwriter.AlignRight)
	fmt.Fprintln(table, "scenario\tseed\tasked\tserved worth\tworst 5 s\trefused\tfailed\tlate\tp95 ms\tatt/req\tconns\tfalls\tbreaks\thash\t")
	for _, r := range results {
		refused, failed, late := percentages(r)
		fmt.Fprintf(table, "%s\t%d\t%d\t%.4f\t%.3f\t%.2f%%\t%.2f%%\t%.2f%%\t%.1f\t%.3f\t%d\t%d\t%d\t%s\t\n",
			r.Scenario, r.Seed, r.Asked, r.Share, r.WorstShare(worstSeconds),
			refused, failed, late, r.P95, r.PerRequest, r.Connections, r.Overloads, r.ViolationCount, r.Hash)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if len(results) > maxDetailedRuns {
		return nil
	}
	for _, r := range results {
		fmt.Fprintf(w, "\n%s, seed %d: latest to a server that drains %.0f ms, latest answer past its time %.1f ms, "+
			"most to a cold server %.2f times what it can do\n", r.Scenario, r.Seed, r.Margins.Drain, r.Margins.Answer, r.Margins.Cold)
		printClasses(w, r.Classes)
	}
	return nil
}
