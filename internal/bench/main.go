// Command bench compares the processor time of a request in a sidecar with that in other programs, in one run and with a bounded load:
// two builds of the program in the platform's mode; an operator listener with two pools and httputil.ReverseProxy; a gRPC listener and
// a minimal proxy of grpc-go. Each program under test has one core (GOMAXPROCS=1); load and stand-in servers run in this process. Other
// subcommands measure parts of the program. docs/design/operator.md describes its use.
//
//	go run ./internal/bench platform -old OLD -new NEW
//	go run ./internal/bench operator -program NEW
//	go run ./internal/bench grpc -program NEW
//	go run ./internal/bench import -program NEW
//	go run ./internal/bench tiers
//	go run ./internal/bench levels -for 10m -seeds 10 -svg FILE
//	go run ./internal/bench margins
//	go run ./internal/bench state
//	go run ./internal/bench emulate
//	go run ./internal/bench emulate-size -large
//	go run ./internal/bench starts -program NEW -count 10000
//	go run ./internal/bench capacity -sizes 100,300,1000,3000 -runs 3
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"milletmast/internal/bench/capacity"
	"milletmast/internal/fakeserver"
	"milletmast/internal/testcluster"
)

func main() {
	testcluster.Main()
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

// measurements are the subcommands with flags of their own.
var measurements = map[string]func(args []string, out io.Writer) error{
	"levels":       measureLevels,
	"margins":      measureMargins,
	"state":        measureState,
	"emulate":      compareEmulator,
	"emulate-size": measureEmulator,
	"starts":       measureStarts,
	"capacity":     capacity.Run,
}

// run runs a subcommand.
func run(args []string) error {
	if len(args) == 0 {
		return errors.New("needs a subcommand: " +
			"platform, operator, grpc, import, tiers, levels, margins, state, emulate, emulate-size, starts or capacity")
	}
	if measure, ok := measurements[args[0]]; ok {
		return measure(args[1:], os.Stdout)
	}
	c, err := parseComparison(args[0], args[1:])
	if err != nil {
		return err
	}
	switch c.name {
	case "proxy":
		return runReverseProxy(c.args)
	case "rpcproxy":
		return runGRPCProxy(c.args)
	case "tiers":
		return measureTiers(min(c.requests, maxTierRequests))
	}
	return c.run()
}

// maxTierRequests is the greatest number of requests of one row of the table of tiers.
const maxTierRequests = 2000

// comparison is a subcommand that compares programs under the same load.
type comparison struct {
	name     string
	args     []string // after the flags
	requests int      // of each program in a round
	rounds   int
	old      string // path of the older build of the program
	program  string // path of the build to compare
	self     string // path of this program
	dir      string // folder of temporary files
	servers  []*fakeserver.Server
}

// parseComparison parses the flags of a comparison.
func parseComparison(name string, args []string) (*comparison, error) {
	c := &comparison{name: name}
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.IntVar(&c.requests, "requests", 40_000, "requests to each program in a round")
	flags.IntVar(&c.rounds, "rounds", 5, "number of rounds")
	flags.StringVar(&c.old, "old", "", "path of the older build of the program")
	flags.StringVar(&c.program, "new", "", "path of the build to compare")
	flags.StringVar(&c.program, "program", "", "the same as -new")
	if err := flags.Parse(args); err != nil {
		return nil, err
	}
	c.args = flags.Args()
	if c.requests < 1 || c.requests > 10_000_000 || c.rounds < 1 || c.rounds > 100 {
		return nil, fmt.Errorf("-requests %d, -rounds %d: allowed are 1 to 10000000 and 1 to 100", c.requests, c.rounds)
	}
	return c, nil
}

// run starts the servers, and compares the programs of the subcommand.
func (c *comparison) run() (err error) {
	if c.dir, err = os.MkdirTemp("", "measure"); err != nil {
		return err
	}
	defer os.RemoveAll(c.dir)
	c.servers = make([]*fakeserver.Server, 4)
	for i := range c.servers {
		if c.servers[i], err = fakeserver.NewServer(fmt.Sprint("s", i)); err != nil {
			return err
		}
		defer c.servers[i].Close()
	}
	if c.self, err = os.Executable(); err != nil {
		return err
	}
	if c.name == "grpc" {
		return compareGRPC(c, []int{100, 1000, 10_000})
	}
	candidates, err := c.candidates()
	if err != nil {
		return err
	}
	return compare(c.rounds, c.requests, candidates)
}

// candidates returns the programs that a subcommand compares.
func (c *comparison) candidates() ([]candidate, error) {
	switch c.name {
	case "import":
		var list []candidate
		for _, n := range []int{10, 1000, 10_000} {
			command := importedProgram(c.program, c.dir, n, c.servers)
			list = append(list, candidate{fmt.Sprint(n, " locations"), command, fmt.Sprintf("/shop/%d/x", n/2), ""})
		}
		return list, nil
	case "platform":
		return []candidate{
			{"old", platformProgram(c.old, c.dir, c.servers), "/read/x", "X-Class: read\r\n"},
			{"new", platformProgram(c.program, c.dir, c.servers), "/read/x", "X-Class: read\r\n"},
		}, nil
	case "operator":
		return []candidate{
			{"ReverseProxy", proxyProgram(c.self, c.servers), "/a/x", ""},
			{"operator listener", operatorProgram(c.program, c.dir, "plain", "", c.servers), "/a/x", ""},
			{"with contexts", operatorProgram(c.program, c.dir, "context", "[context]\nid = \"a\"\nretries = 16\n", c.servers), "/a/x", ""},
		}, nil
	}
	return nil, fmt.Errorf("unknown subcommand %q", c.name)
}
