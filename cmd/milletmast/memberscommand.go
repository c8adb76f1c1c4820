package main

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"milletmast/internal/control"
	"milletmast/internal/control/controlpb"
)

// errNoMembers is returned for an instance whose operator file has no table members.
var errNoMembers = errors.New("the instance is not a member of a cluster: its operator file has no table members")

func membersCommand() *cobra.Command {
	var socket string
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "members --control SOCKET",
		Short: "Print an instance's view of its cluster, the replica count that it assumes and why, and the load that its pools admit",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := withCallTimeout(cmd)
			defer cancel()
			status, err := control.NewClient(socket).Status(ctx)
			if err != nil {
				return err
			}
			if status.GetMembers() == nil {
				return errNoMembers
			}
			if asJSON {
				return printJSON(cmd.OutOrStdout(), status.Members)
			}
			return printMembers(cmd.OutOrStdout(), status, time.Now())
		},
	}
	addControlFlag(cmd, &socket)
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

// printMembers prints an instance's view of its cluster, its members, and the load that its pools admit together with the other replicas.
func printMembers(w io.Writer, status *controlpb.InstanceStatus, now time.Time) error {
	members := status.Members
	table := newTable(w)
	row := control.MembersRow(members.Name, members, now)
	for i, name := range control.MembersHeader() {
		fmt.Fprintf(table, "%s\t%s\n", name, row[i])
	}
	fmt.Fprintf(table, "sent\t%d bytes, %d held back\n", members.SentBytes, members.HeldBackBytes)
	fmt.Fprintln(table, "\nmember\tstate\tprogram")
	for _, member := range members.Members {
		fmt.Fprintf(table, "%s\t%s\t%s\n", member.Name, control.DescribeMember(member, now), member.Version)
	}
	for _, pool := range status.Pools {
		if pool.Allot == nil || pool.Ending {
			continue
		}
		fmt.Fprintf(table, "\npool\t%s\n", pool.Name)
		for _, row := range control.DescribeAllot(pool.Allot) {
			fmt.Fprintln(table, strings.Join(row, "\t"))
		}
	}
	return table.Flush()
}
