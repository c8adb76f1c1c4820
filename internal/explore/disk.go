package explore

import (
	"math/rand/v2"

	"whinknot/internal/tide"
)

// write is one transaction: all of it is on disk or nothing.
type write struct {
	registers []tide.Register
	set       *tide.Set
}

// disk knows what is synced from what is only written.
type disk struct {
	name      string
	registers map[string]tide.Register
	set       tide.Set
	written   []write
}

func (d *disk) write(w write) { d.written = append(d.written, w) }

// sync has everything written outlast a loss of power.
func (d *disk) sync() {
	for _, w := range d.written {
		for _, r := range w.registers {
			d.registers[r.Key] = r
		}
		if w.set != nil {
			d.set = *w.set
		}
	}
	d.written = nil
}

// dark loses the power: of what was written and not synced a first part is there.
func (d *disk) dark(lot *rand.Rand) {
	d.written = d.written[:lot.IntN(len(d.written)+1)]
	d.sync()
}

// held is what a process that starts reads: all that was written.
func (d *disk) held() (tide.Set, []tide.Register) {
	d.sync()
	var out []tide.Register
	for _, r := range d.registers {
		out = append(out, r)
	}
	return d.set, tide.NewAcceptor(out).All()
}
