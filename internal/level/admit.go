package level

import "whinknot/internal/spread"

// Verdict is what the level in force says of a request.
type Verdict struct {
	Shed     *Shed   // it is turned away; nil if not
	Attempts int     // at most; 0 for no such limit
	Deadline float64 // share of its time
}

// Caller turns what names a caller into a number that is spread evenly over all numbers. Sidecars that know a caller by the
// same name agree on it.
func Caller(name string) uint64 { return spread.Name(name) }

// Admit decides on a request of a class. The same callers are turned away for as long as the share stays, those of a smaller
// share are among those of a larger one, and while a share shrinks callers come back for good one after the other.
func (m *Machine) Admit(class int, caller uint64) Verdict {
	v := Verdict{Deadline: 1}
	if m.at > 0 {
		l := &m.ladder[m.at-1]
		v.Attempts, v.Deadline = l.Attempts, l.deadline()
	}
	if share := m.share(class); share > 0 && float64(caller>>11)/(1<<53) < share {
		v.Shed = m.shed(class)
	}
	return v
}

// share is the part of the callers of a class that are turned away now. With next to nothing asked for beside what is shed there
// is nothing to protect: then the queue of the pool decides alone.
func (m *Machine) share(class int) float64 { return m.nominal(class) * m.worthwhile() }

// nominal is the part by the level in force and the one that was left.
func (m *Machine) nominal(class int) float64 {
	now := 0.0
	if m.at > 0 {
		now = m.ladder[m.at-1].share(class)
	}
	if r := m.release[class]; r != nil {
		now = max(now, r.share*(1-r.reached))
	}
	return now
}

// worthwhile is 1 where enough of the worth asked for is not shed, and falls to 0 with that.
func (m *Machine) worthwhile() float64 {
	all, left := 0.0, 0.0
	for class, worth := range m.asked {
		all += worth
		left += worth * (1 - m.nominal(class))
	}
	if all == 0 {
		return 1
	}
	return min(1, left/all/protects)
}

// shed is what a class is told: by the level in force, or the mildest above it that sheds the class.
func (m *Machine) shed(class int) *Shed {
	for i := max(m.at-1, 0); i < len(m.ladder); i++ {
		list := m.ladder[i].Shed
		for k := range list {
			if list[k].Class == class {
				return &list[k]
			}
		}
	}
	return nil
}
