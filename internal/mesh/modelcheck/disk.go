package modelcheck

import (
	"math/rand/v2"

	"milletmast/internal/mesh/consensus"
)

// write is one atomic transaction.
type write struct {
	registers []consensus.Register
	set       *consensus.VoterConfig
}

// disk distinguishes synced records from those that are only written.
type disk struct {
	name      string
	registers map[string]consensus.Register
	set       consensus.VoterConfig
	written   []write
}

func (d *disk) write(w write) { d.written = append(d.written, w) }

// sync makes everything written durable.
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

// losePower simulates a power loss: of the writes that were not synced, a random prefix remains.
func (d *disk) losePower(rng *rand.Rand) {
	d.written = d.written[:rng.IntN(len(d.written)+1)]
	d.sync()
}

// read returns what a starting process reads: everything that was written.
func (d *disk) read() (consensus.VoterConfig, []consensus.Register) {
	d.sync()
	var out []consensus.Register
	for _, r := range d.registers {
		out = append(out, r)
	}
	return d.set, consensus.NewAcceptor(out).Registers()
}
