// Package capacity measures the load that each role of the mesh can carry and how its cost grows with the size of the mesh, up to what
// one machine allows. It runs real control planes, configuration stores and proxies as processes of their own, and stub proxies in this
// process, and measures parts without I/O by themselves. docs/CAPACITY.md has the results.
package capacity

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"syscall"

	"github.com/joomcode/errorx"
)

var space = errorx.NewNamespace("capacity")

// Failed is the type of errors of measurements that cannot be made.
var Failed = space.NewType("failed")

// maxProxies limits the number of stub proxies: each connection takes a descriptor of this process.
const maxProxies = 10_000

// Run measures the parts that the arguments name, and prints the tables to out.
func Run(args []string, out io.Writer) error {
	flags := flag.NewFlagSet("capacity", flag.ContinueOnError)
	parts := flags.String("parts", "pure,config,fleet,hop", "parts to measure: pure, config, fleet, hop")
	sizes := flags.String("sizes", "100,300,1000,3000", "numbers of stub proxies")
	services := flags.String("services", "20,200,720", "numbers of services of a pushed configuration")
	loads := flags.String("loads", "20,100,300,1000", "request rates over two proxies, per second")
	runs := flags.Int("runs", 3, "runs of each measurement")
	machines := flags.Int("machines", 3, "number of control machines")
	wave := flags.Int("wave", 200, "stub proxies that start at once; later all of them reconnect at once")
	dir := flags.String("programs", "", "folder for the built programs; a temporary one by default")
	if err := flags.Parse(args); err != nil {
		return err
	}
	var lists [3][]int
	for i, text := range []string{*sizes, *services, *loads} {
		for one := range strings.SplitSeq(text, ",") {
			n, err := strconv.Atoi(one)
			if err != nil || n < 1 || n > maxProxies {
				return Failed.New("%q is no number from 1 to %d", one, maxProxies)
			}
			lists[i] = append(lists[i], n)
		}
	}
	if *runs < 1 || *runs > 100 || *machines < 1 || *machines > 19 || *wave < 1 {
		return Failed.New("-runs %d, -machines %d, -wave %d: allowed are 1 to 100, 1 to 19, and 1 or more", *runs, *machines, *wave)
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	built := *dir
	if built == "" {
		var err error
		if built, err = os.MkdirTemp("", "capacity-programs"); err != nil {
			return err
		}
		defer os.RemoveAll(built)
	}
	programs, err := BuildPrograms(ctx, built)
	if err != nil {
		return err
	}
	for part := range strings.SplitSeq(*parts, ",") {
		t := newTable()
		measure, ok := map[string]func() error{
			"pure":   func() error { return measurePure(ctx, t, *runs) },
			"config": func() error { return measureConfigs(ctx, t, programs, *machines, lists[1], *runs) },
			"fleet":  func() error { return measureFleets(ctx, t, programs, *machines, lists[0], lists[1], *runs, *wave, out) },
			"hop":    func() error { return measureHops(ctx, t, programs, lists[2], *runs) },
		}[part]
		if !ok {
			return Failed.New("%q is none of pure, config, fleet and hop", part)
		}
		err := measure()
		t.print(out, part) // also the values before an error
		if err != nil {
			return fmt.Errorf("%s: %w", part, err)
		}
	}
	return nil
}

// table holds values by quantity and size, each measured one or more times.
type table struct {
	names  []string // in the order of their first values
	values map[string]map[int][]float64
}

func newTable() *table { return &table{values: map[string]map[int][]float64{}} }

// add adds a value of a quantity at a size. The name of the quantity contains its unit.
func (t *table) add(name string, size int, value float64) {
	if t.values[name] == nil {
		t.names = append(t.names, name)
		t.values[name] = map[int][]float64{}
	}
	t.values[name][size] = append(t.values[name][size], value)
}

// print writes the table: for each size the median, with the least and the greatest value if there is more than one.
func (t *table) print(w io.Writer, part string) {
	var sizes []int
	for _, bySize := range t.values {
		for size := range bySize {
			if !slices.Contains(sizes, size) {
				sizes = append(sizes, size)
			}
		}
	}
	slices.Sort(sizes)
	fmt.Fprintf(w, "\n| %s |", part)
	for _, size := range sizes {
		fmt.Fprintf(w, " %d |", size)
	}
	fmt.Fprintf(w, "\n| --- |%s\n", strings.Repeat(" --- |", len(sizes)))
	for _, name := range t.names {
		fmt.Fprintf(w, "| %s |", name)
		for _, size := range sizes {
			fmt.Fprintf(w, " %s |", formatSpread(t.values[name][size]))
		}
		fmt.Fprintln(w)
	}
}

// formatSpread formats the median of values, with the least and the greatest.
func formatSpread(v []float64) string {
	switch len(v) {
	case 0:
		return ""
	case 1:
		return formatNumber(v[0])
	}
	s := slices.Sorted(slices.Values(v))
	return fmt.Sprintf("%s (%s–%s)", formatNumber(s[len(s)/2]), formatNumber(s[0]), formatNumber(s[len(s)-1]))
}

// formatNumber formats a number with three significant digits, without an exponent.
func formatNumber(v float64) string {
	if v >= 100 || v <= -100 {
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	n, _ := strconv.ParseFloat(strconv.FormatFloat(v, 'g', 3, 64), 64)
	return strconv.FormatFloat(n, 'f', -1, 64)
}

// quantile returns a quantile of sorted values; 0 for none.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
