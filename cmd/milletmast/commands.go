package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"milletmast/internal/demo"
	"milletmast/internal/operator"
	"milletmast/internal/sidecar"
	"milletmast/internal/trace"
)

// rootCommand returns the root command with all subcommands.
func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "milletmast",
		Short: "Balance requests over pools of servers by SMACE credits",
		Long: `milletmast accepts requests and routes each to a pool of servers. The pool's decision module chooses the server, when to
retry and when to refuse.

With RELAY_CONFIG set and no arguments it runs as a sidecar of the platform. The subcommands work with an operator file
(example: deploy/operator.toml). They exit 0, or 1 with the errors on standard error.`,
		SilenceUsage: true, SilenceErrors: true, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return errors.New("RELAY_CONFIG is not set and no subcommand is given: see milletmast --help")
		},
	}
	root.AddCommand(serveCommand(), checkCommand(), routeCommand(), diffCommand(), importCommand(), traceCommand(), levelCommand(),
		membersCommand(), stateCommand(), demoCommand(),
		emulatorCommand("emulate", "Simulate a fleet of sidecars, servers and callers in virtual time: run, compare, plot"),
		emulatorCommand("plan", "Find the fewest servers and replicas that meet a target, also under stated losses", "plan"))
	return root
}

// shortHashLength is the number of digits that are printed of a configuration's hash.
const shortHashLength = 12

// addFileFlag adds the required flag that names an operator file.
func addFileFlag(cmd *cobra.Command, path *string) {
	cmd.Flags().StringVarP(path, "file", "f", "", "the operator file")
	cobra.CheckErr(cmd.MarkFlagRequired("file"))
}

// addControlFlag adds the required flag that names an instance's control socket.
func addControlFlag(cmd *cobra.Command, socket *string) {
	cmd.Flags().StringVar(socket, "control", "", "the instance's control socket")
	cobra.CheckErr(cmd.MarkFlagRequired("control"))
}

func checkCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use: "check -f FILE", Short: "Check an operator file and print all its errors", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := loadFile(cmd, path)
			if err != nil {
				return err
			}
			callers, servers := cfg.DivideDescriptors()
			fmt.Fprintf(cmd.OutOrStdout(), "%s: listeners=%d pools=%d routes=%d hash=%s connections: callers=%d servers=%d\n",
				path, len(cfg.Listeners), len(cfg.Pools), len(cfg.Routes), cfg.Hash[:shortHashLength], callers, servers)
			return nil
		},
	}
	addFileFlag(cmd, &path)
	return cmd
}

// loadFile reads an operator file. Its errors are printed to standard error, one per line.
func loadFile(cmd *cobra.Command, path string) (*operator.Config, error) {
	cfg, err := operator.Load(path)
	return cfg, operator.PrintErrors(cmd.ErrOrStderr(), path, err)
}

func routeCommand() *cobra.Command {
	var path, listener string
	var headers []string
	var isCall bool
	cmd := &cobra.Command{
		Use:   "route -f FILE (METHOD URL | --grpc /PACKAGE.SERVICE/METHOD) [-H 'Name: value']...",
		Short: "Print where a request would be routed, without sending it",
		Long: `Prints one line: pool=NAME class=NAME route=NAME path=PATH for a request that is routed to a pool (site=NAME location=NAME
instead of route if no route but a site matches), status=404 if nothing matches, status=301 location=URL or status=CODE for
a fixed response, status=400 for an invalid request.`,
		Example: "  milletmast route -f deploy/operator.toml GET http://a.stock.example.org/v1/items\n" +
			"  milletmast route -f deploy/operator.toml POST /plan/7 -H 'Host: shop.example.org'\n" +
			"  milletmast route -f deploy/operator.toml --grpc /box.Stock/Look",
		Args: func(cmd *cobra.Command, args []string) error {
			if isCall {
				return cobra.ExactArgs(1)(cmd, args)
			}
			return cobra.ExactArgs(2)(cmd, args)
		},
		RunE: func(cmd *cobra.Command, args []string) error {
			cfg, err := loadFile(cmd, path)
			if err != nil {
				return err
			}
			protocol := operator.HTTP
			if isCall {
				protocol = operator.GRPC
			}
			spec := cfg.Listener(listener, protocol)
			if spec == nil {
				return fmt.Errorf("%s: there is no %s listener %q", path, protocol, listener)
			}
			header, err := parseHeaders(headers)
			if err != nil {
				return err
			}
			if isCall {
				fmt.Fprintln(cmd.OutOrStdout(), sidecar.ExplainGRPC(cfg.GRPCRoutes[spec.Name], args[0], header))
			} else {
				fmt.Fprintln(cmd.OutOrStdout(), sidecar.Explain(cfg.HTTPRoutes[spec.Name], cfg.SiteTables[spec.Name], args[0], args[1], header))
			}
			return nil
		},
	}
	addFileFlag(cmd, &path)
	cmd.Flags().StringArrayVarP(&headers, "header", "H", nil, "a header of the request, as 'Name: value'; may be repeated")
	cmd.Flags().StringVar(&listener, "listener", "", "the listener of the request (default: the first one of its protocol in the file)")
	cmd.Flags().BoolVar(&isCall, "grpc", false, "the request is a gRPC call, and the argument its method")
	return cmd
}

// parseHeaders parses headers that are written as "Name: value".
func parseHeaders(texts []string) (http.Header, error) {
	header := http.Header{}
	for _, text := range texts {
		name, value, found := strings.Cut(text, ":")
		if !found || strings.TrimSpace(name) == "" {
			return nil, fmt.Errorf("-H %q must have the form 'Name: value'", text)
		}
		header.Add(strings.TrimSpace(name), strings.TrimSpace(value))
	}
	return header, nil
}

func traceCommand() *cobra.Command {
	var root string
	cmd := &cobra.Command{
		Use:   "trace FILE... [--root ID]",
		Short: "Join the trace files of several sidecars and show the attempts of each sampled request as a tree",
		Example: "  milletmast trace front.jsonl stock.jsonl\n" +
			"  milletmast trace *.jsonl --root 0123456789abcdef",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var attempts []trace.Attempt
			for _, path := range args {
				fileAttempts, err := readTrace(path)
				if err != nil {
					return err
				}
				attempts = append(attempts, fileAttempts...)
			}
			return trace.Print(cmd.OutOrStdout(), attempts, root)
		},
	}
	cmd.Flags().StringVar(&root, "root", "", "only the request with this id")
	return cmd
}

func readTrace(path string) ([]trace.Attempt, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return trace.Read(path, file)
}

func diffCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use: "diff -f OLD NEW", Short: "List what a reload from one operator file to another would change", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			from, err := loadFile(cmd, path)
			if err != nil {
				return err
			}
			to, err := loadFile(cmd, args[0])
			if err != nil {
				return err
			}
			changes := operator.Diff(from, to)
			for _, change := range changes {
				fmt.Fprintln(cmd.OutOrStdout(), change)
			}
			if len(changes) == 0 {
				fmt.Fprintln(cmd.OutOrStdout(), "no changes")
			}
			return nil
		},
	}
	addFileFlag(cmd, &path)
	return cmd
}

func demoCommand() *cobra.Command {
	var options demo.Options
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a sidecar with simulated servers and a light load, and show its measurements",
		Long: `Starts a sidecar in one process without any file, with two pools of simulated servers, one of which is slow and one of which
restarts, and a light load. Prints the address and a curl command, then a table of pools and servers every second.
Ends at an interrupt or after --for, with a summary.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := untilTerminated(cmd.Context())
			defer stop()
			options.Out, options.ReplaceTables = cmd.OutOrStdout(), isTerminal(os.Stdout)
			return demo.Run(ctx, options)
		},
	}
	cmd.Flags().DurationVar(&options.Duration, "for", 0, "end after this time (default: at an interrupt)")
	cmd.Flags().StringVar(&options.Address, "address", "127.0.0.1:0", "the address on which the sidecar listens")
	cmd.Flags().IntVar(&options.Rate, "rate", 100, "requests per second")
	cmd.Flags().DurationVar(&options.TableInterval, "every", time.Second, "time between two tables")
	return cmd
}

// isTerminal reports whether a file is a character device, such as a terminal.
func isTerminal(file *os.File) bool {
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
