package keeper

import (
	"fmt"
	"io"
	"text/tabwriter"

	"whinknot/internal/chart"
	"whinknot/internal/logbook"
	"whinknot/internal/tide"
)

// Contents is what a disk holds, for people and programs.
type Contents struct {
	logbook.Report
	Disk    string // its name
	Set     tide.Set
	Entries []tide.Register // by key
	Faults  []string        // of what it holds; none for a disk that can be trusted
}

// Verify tells what the logbook in a folder holds, and changes nothing there.
func Verify(folder string) (*Contents, error) {
	c := &Contents{}
	r, err := logbook.Verify(folder, func(b *logbook.Book) (err error) {
		if c.Entries, c.Set, _, err = held(b); err == nil {
			_, err = b.Get(diskRecord, &c.Disk)
		}
		return err
	})
	if err != nil {
		return nil, err
	}
	c.Report = *r
	if r.Spoilt != "" {
		c.Faults = append(c.Faults, "the file cannot be trusted, and counts as an empty disk: "+r.Spoilt)
		return c, nil
	}
	if c.Disk == "" {
		c.Faults = append(c.Faults, "the disk has no name: no keeper has used it")
	}
	for _, e := range c.Entries {
		if e.Key != configKey {
			continue
		}
		if config, err := chart.Parse(e.Value.Body); err != nil {
			c.Faults = append(c.Faults, fmt.Sprintf("%s: %v", e.Key, err))
		} else if config.Version != e.Value.Stamp.Number {
			c.Faults = append(c.Faults, fmt.Sprintf("%s: r%d is kept under the number %d", e.Key, config.Version, e.Value.Stamp.Number))
		}
	}
	return c, nil
}

// Print writes what a disk holds for people.
func (c *Contents) Print(w io.Writer) {
	fmt.Fprintf(w, "disk %s  bytes=%d  torn-at-the-end=%d\n", c.Disk, c.Bytes, c.Torn)
	fmt.Fprintf(w, "set of disks, epoch %d\n", c.Set.Epoch)
	for _, m := range c.Set.All() {
		fmt.Fprintf(w, "  %s at %s\n", m.Disk, m.Addr)
	}
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "key\tnumber\tdrawn by\tbytes")
	for _, e := range c.Entries {
		fmt.Fprintf(t, "%s\t%d\t%s\t%d\n", e.Key, e.Value.Stamp.Number, e.Value.Stamp.By, len(e.Value.Body))
	}
	t.Flush()
	for _, f := range c.Faults {
		fmt.Fprintln(w, "fault:", f)
	}
}
