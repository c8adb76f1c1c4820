package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"milletmast/internal/control"
	"milletmast/internal/control/controlpb"
)

// defaultPinTime is how long a pinned level stays in force.
const defaultPinTime = 10 * time.Minute

// levelRequest is one call of the level command.
type levelRequest struct {
	socket  string
	pool    string        // "" for all
	pin     string        // the level to pin; "" for none
	pinTime time.Duration // how long the pin lasts
	release bool          // whether to end a pin
	json    bool
}

func levelCommand() *cobra.Command {
	var request levelRequest
	cmd := &cobra.Command{
		Use:   "level --control SOCKET [POOL] [--pin LEVEL --for TIME | --release]",
		Short: "Print the degradation levels of an instance's pools, pin a level or release it",
		Long: `Queries a running instance over its control socket and prints for each pool with levels which one is in force, since when and
why, what it sheds, when it can be left, and the latest changes. A pin keeps a level in force whatever the signals, and expires.`,
		Example: "  milletmast level --control /run/milletmast.sock\n" +
			"  milletmast level --control /run/milletmast.sock box --pin essential --for 10m",
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) > 0 {
				request.pool = args[0]
			}
			if request.changes() && request.pool == "" {
				return errors.New("--pin and --release need the name of the pool")
			}
			ctx, cancel := withCallTimeout(cmd)
			defer cancel()
			status, err := request.send(ctx)
			if err != nil {
				return err
			}
			return request.print(cmd.OutOrStdout(), status)
		},
	}
	addControlFlag(cmd, &request.socket)
	flags := cmd.Flags()
	flags.StringVar(&request.pin, "pin", "", "keep this level in force")
	flags.DurationVar(&request.pinTime, "for", defaultPinTime, "how long the pin lasts")
	flags.BoolVar(&request.release, "release", false, "end a pin")
	flags.BoolVar(&request.json, "json", false, "print JSON")
	cmd.MarkFlagsMutuallyExclusive("pin", "release")
	return cmd
}

// changes reports whether the request changes the level of a pool.
func (r *levelRequest) changes() bool { return r.pin != "" || r.release }

// send sends the request to the instance and returns its status afterwards.
func (r *levelRequest) send(ctx context.Context) (*controlpb.InstanceStatus, error) {
	client := control.NewClient(r.socket)
	if !r.changes() {
		return client.Status(ctx)
	}
	reply, err := client.Pin(ctx, r.pool, r.pin, r.pinTime)
	if err != nil {
		return nil, err
	}
	if reply.Refused != "" {
		return nil, errors.New(reply.Refused)
	}
	return reply.GetStatus(), nil
}

// print prints the level of the named pool, or without a name those of all pools that have levels.
func (r *levelRequest) print(w io.Writer, status *controlpb.InstanceStatus) error {
	found := false
	for _, pool := range status.GetPools() {
		if pool.Level == nil || pool.Ending || r.pool != "" && pool.Name != r.pool {
			continue
		}
		found = true
		if err := r.printPool(w, pool); err != nil {
			return err
		}
	}
	switch {
	case found:
		return nil
	case r.pool != "":
		return fmt.Errorf("there is no pool %q with levels", r.pool)
	}
	fmt.Fprintln(w, "no pool has levels")
	return nil
}

func (r *levelRequest) printPool(w io.Writer, pool *controlpb.PoolStatus) error {
	if r.json {
		if err := printJSON(w, pool); err != nil {
			return fmt.Errorf("pool %s: %w", pool.Name, err)
		}
		return nil
	}
	table := newTable(w)
	fmt.Fprintf(table, "pool\t%s\n", pool.Name)
	for _, row := range control.DescribeLevel(pool.Level, time.Now()) {
		fmt.Fprintf(table, "%s\t%s\n", row[0], row[1])
	}
	return table.Flush()
}
