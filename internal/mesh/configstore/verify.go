package configstore

import (
	"fmt"
	"io"
	"text/tabwriter"

	"milletmast/internal/mesh/consensus"
	"milletmast/internal/mesh/meshconfig"
	"milletmast/internal/mesh/storage"
)

// Contents describes the state on a disk.
type Contents struct {
	storage.Report
	DiskID    string // identity of the disk
	Voters    consensus.VoterConfig
	Registers []consensus.Register // sorted by key
	Problems  []string             // problems found in the file and its records; empty for a disk that can be trusted
}

// Verify reads the state in a directory and changes nothing there. No store may be running on the
// directory.
func Verify(dir string) (*Contents, error) {
	c := &Contents{}
	r, err := storage.Verify(dir, func(store *storage.Store) (err error) {
		if c.Registers, c.Voters, _, err = loadState(store); err == nil {
			_, err = store.Get(diskIDRecord, &c.DiskID)
		}
		return err
	})
	if err != nil {
		return nil, err
	}
	c.Report = *r
	if r.Corruption != "" {
		c.Problems = append(c.Problems, "the file is corrupt, and the disk counts as empty: "+r.Corruption)
		return c, nil
	}
	if c.DiskID == "" {
		c.Problems = append(c.Problems, "the disk has no identity: no configuration store has used it")
	}
	for _, e := range c.Registers {
		if e.Key != configKey {
			continue
		}
		if config, err := meshconfig.Parse(e.Value.Body); err != nil {
			c.Problems = append(c.Problems, fmt.Sprintf("%s: %v", e.Key, err))
		} else if config.Version != e.Value.Version.Number {
			c.Problems = append(
				c.Problems,
				fmt.Sprintf("%s: version r%d is stored under version number %d", e.Key, config.Version, e.Value.Version.Number),
			)
		}
	}
	return c, nil
}

// Print writes the contents as text.
func (c *Contents) Print(w io.Writer) {
	fmt.Fprintf(w, "disk %s  bytes=%d  torn-tail=%d\n", c.DiskID, c.FileBytes, c.TornBytes)
	fmt.Fprintf(w, "voters, epoch %d\n", c.Voters.Epoch)
	for _, m := range c.Voters.Members() {
		fmt.Fprintf(w, "  %s at %s\n", m.DiskID, m.Addr)
	}
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "key\tversion\tproposer\tbytes")
	for _, e := range c.Registers {
		fmt.Fprintf(t, "%s\t%d\t%s\t%d\n", e.Key, e.Value.Version.Number, e.Value.Version.Proposer, len(e.Value.Body))
	}
	t.Flush()
	for _, p := range c.Problems {
		fmt.Fprintln(w, "problem:", p)
	}
}
