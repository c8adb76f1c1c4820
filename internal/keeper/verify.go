package keeper

import (
	"fmt"
	"io"
	"text/tabwriter"

	"whinknot/internal/chart"
	"whinknot/internal/logbook"
)

// Contents is what a disk holds, for people and programs.
type Contents struct {
	logbook.Report
	Faults []string // of what it holds; none for a disk that can be trusted
}

// Verify tells what the logbook in a folder holds, and changes nothing there.
func Verify(folder string) (*Contents, error) {
	r, err := logbook.Verify(folder, diskRecord, setRecord)
	if err != nil {
		return nil, err
	}
	c := &Contents{Report: *r}
	if r.Spoilt != "" {
		c.Faults = append(c.Faults, "the file cannot be trusted, and counts as an empty disk: "+r.Spoilt)
		return c, nil
	}
	if r.Disk == "" {
		c.Faults = append(c.Faults, "the disk has no name: no keeper has used it")
	}
	for _, e := range r.Entries {
		if e.Key != configKey {
			continue
		}
		if held, err := chart.Parse(e.Body); err != nil {
			c.Faults = append(c.Faults, fmt.Sprintf("%s: %v", e.Key, err))
		} else if held.Version != e.Stamp.Number {
			c.Faults = append(c.Faults, fmt.Sprintf("%s: r%d is kept under the number %d", e.Key, held.Version, e.Stamp.Number))
		}
	}
	return c, nil
}

// Print writes what a disk holds for people.
func (c *Contents) Print(w io.Writer) {
	fmt.Fprintf(w, "disk %s  bytes=%d  torn-at-the-end=%d\n", c.Disk, c.Bytes, c.Torn)
	fmt.Fprintf(w, "set of disks %d\n", c.Set.Number)
	for _, m := range c.Set.Members {
		fmt.Fprintf(w, "  %s at %s\n", m.Disk, m.Addr)
	}
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "key\tnumber\tdrawn by\tbytes")
	for _, e := range c.Entries {
		fmt.Fprintf(t, "%s\t%d\t%s\t%d\n", e.Key, e.Stamp.Number, e.Stamp.By, len(e.Body))
	}
	t.Flush()
	for _, f := range c.Faults {
		fmt.Fprintln(w, "fault:", f)
	}
}
