package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"google.golang.org/grpc/status"

	"milletmast/internal/ctl"
)

// printRows prints rows as a table or, with --output json, as a list of objects with the column names as keys.
func (c *cli) printRows(w io.Writer, head []string, rows [][]string) error {
	if c.output == "json" {
		list := make([]map[string]string, len(rows))
		for i, r := range rows {
			list[i] = map[string]string{}
			for k, h := range head {
				list[i][h] = r[k]
			}
		}
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(list)
	}
	tw := tabwriter.NewWriter(w, 2, 4, 2, ' ', 0)
	fmt.Fprintln(tw, strings.ToUpper(strings.Join(head, "\t")))
	for _, r := range rows {
		fmt.Fprintln(tw, strings.Join(r, "\t"))
	}
	return tw.Flush()
}

// shortHash returns the first characters of a hash or id.
func shortHash(hash string) string { return hash[:min(12, len(hash))] }

// formatAge formats the age of a report in ms; negative for never.
func formatAge(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond).String()
}

// reportUnreachable prints the agents that did not respond, and returns errNotAnswered if there are any.
func reportUnreachable(cmd *cobra.Command, unreachable []ctl.AgentReply) error {
	for _, reply := range unreachable {
		fmt.Fprintf(cmd.ErrOrStderr(), "agent %s does not respond: %s\n", reply.Agent.Name, status.Convert(reply.Err).Message())
	}
	if len(unreachable) > 0 {
		return errNotAnswered
	}
	return nil
}

// isTerminal reports whether w is a terminal, on which progress is shown in place.
func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
