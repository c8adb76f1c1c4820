package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"google.golang.org/protobuf/encoding/protojson"

	"whinknot/internal/control"
	"whinknot/internal/control/controlpb"
)

const askTime = 2 * time.Second // for an answer from an instance

func levelCommand() *cobra.Command {
	var socket, pin string
	var hold time.Duration
	var release, asJSON bool
	cmd := &cobra.Command{
		Use:   "level --control SOCKET [POOL] [--pin LEVEL --for TIME | --release]",
		Short: "Tell the level of reduced service of an instance's pools, pin one or release it",
		Long: `Asks a running instance by its control socket: for each pool with levels which one is in force, since when and why, what it
sheds, when it can be left and the last changes. A pin keeps a level in force whatever the signals, and ends by itself.`,
		Example: "  milletmast level --control /run/milletmast.sock\n" +
			"  milletmast level --control /run/milletmast.sock box --pin essential --for 10m",
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			pool := ""
			if len(args) > 0 {
				pool = args[0]
			}
			if (pin != "" || release) && pool == "" {
				return errors.New("name the pool")
			}
			ctx, stop := interrupted(cmd.Context())
			defer stop()
			ctx, cancel := context.WithTimeout(ctx, askTime)
			defer cancel()
			client := control.NewClient(socket)
			var st *controlpb.InstanceStatus
			var err error
			if pin == "" && !release {
				st, err = client.Status(ctx)
			} else {
				var reply *controlpb.PinReply
				if reply, err = client.Pin(ctx, pool, pin, hold); err == nil && reply.Refused != "" {
					return errors.New(reply.Refused)
				}
				st = reply.GetStatus()
			}
			if err != nil {
				return err
			}
			return printLevels(cmd.OutOrStdout(), st, pool, asJSON)
		},
	}
	f := cmd.Flags()
	f.StringVar(&socket, "control", "", "the instance's control socket")
	f.StringVar(&pin, "pin", "", "keep this level in force")
	f.DurationVar(&hold, "for", 10*time.Minute, "for so long")
	f.BoolVar(&release, "release", false, "end a pin")
	f.BoolVar(&asJSON, "json", false, "print JSON")
	cmd.MarkFlagRequired("control")
	cmd.MarkFlagsMutuallyExclusive("pin", "release")
	return cmd
}

// printLevels tells of the levels of one pool, or with no name of all that have some.
func printLevels(w io.Writer, st *controlpb.InstanceStatus, pool string, asJSON bool) error {
	told := false
	for _, p := range st.GetPools() {
		if p.Level == nil || p.Ending || pool != "" && p.Name != pool {
			continue
		}
		told = true
		if asJSON {
			text, err := protojson.Marshal(p)
			if err != nil {
				return fmt.Errorf("pool %s: %w", p.Name, err)
			}
			fmt.Fprintf(w, "%s\n", text)
			continue
		}
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		fmt.Fprintf(t, "pool\t%s\n", p.Name)
		for _, row := range control.DescribeLevel(p.Level, time.Now()) {
			fmt.Fprintf(t, "%s\t%s\n", row[0], row[1])
		}
		if err := t.Flush(); err != nil {
			return err
		}
	}
	switch {
	case told:
		return nil
	case pool != "":
		return fmt.Errorf("there is no pool %q with levels", pool)
	}
	fmt.Fprintln(w, "no pool has levels")
	return nil
}
