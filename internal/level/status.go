package level

import "time"

// Status is what operators are told.
type Status struct {
	Level    string
	Since    time.Time
	By, Why  string
	Pinned   time.Time // until then; zero for not
	Shedding []Shedding
	Back     float64 // part of what levels that were left have shed that has come back; 1 for all
	// When the level can be left at the earliest, if its conditions to leave hold from now on; zero at the normal level.
	Earliest time.Time
	Waits    string // the conditions that it waits for, with their figures; "" if none
	Signals  Reading
	Changes  []Change // the last ones, the latest at the end
	Count    uint64   // since the start
	Ladder   []string // the names of all levels, from the normal one up
}

// Shedding is the share of the callers of a class that are turned away now.
type Shedding struct {
	Class int
	Share float64
}

// Status tells how things are, for a pool of so many classes.
func (m *Machine) Status(classes int) Status {
	s := Status{
		Level: m.name(m.at), Since: m.since, By: m.by, Why: m.why, Back: 1, Signals: m.last,
		Changes: append([]Change(nil), m.changes...), Count: m.count,
	}
	for i := range len(m.ladder) + 1 {
		s.Ladder = append(s.Ladder, m.name(i))
	}
	if m.pinned {
		s.Pinned = m.until
	}
	for _, r := range m.release {
		s.Back = min(s.Back, r.reached)
	}
	for c := range classes {
		if share := m.share(c); share > 0 {
			s.Shedding = append(s.Shedding, Shedding{c, share})
		}
	}
	if m.at == 0 {
		return s
	}
	s.Waits = m.readings(m.holding())
	s.Earliest = m.earliest()
	if calm := m.now.Add(m.ladder[m.at-1].Calm - max(m.calm, 0)); calm.After(s.Earliest) {
		s.Earliest = calm
	}
	if m.pinned && m.until.After(s.Earliest) {
		s.Earliest = m.until
	}
	return s
}
