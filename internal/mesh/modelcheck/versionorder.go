package modelcheck

import (
	"fmt"
	"slices"
	"time"

	"milletmast/internal/mesh/consensus"
)

// span states that a register had a version between low and high at some time between from and to.
type span struct {
	from, to  time.Duration
	low, high consensus.Version
	source    string // the observation, for violations
}

var maxVersion = consensus.Version{Number: 1 << 63}

const never = time.Duration(1 << 62)

// checkVersionOrder checks that versions rise: an observation that ended before another one began has no later version. It is enough to
// compare pairs, as the order of the versions is known and each longer cycle of intervals contains a shorter one. For configurations,
// whose versions are assigned by operators, the check is as strict as a search for a linear order.
func (sim *simulation) checkVersionOrder(key string) {
	attempts := sim.attemptsOf(key)
	spans, made := sim.writtenSpans(key, attempts)
	for _, x := range sim.ops {
		if x.command.Key == key && x.result.Outcome != 0 {
			spans = append(spans, answeredSpan(x, made[x.command.Body], attempts[x.command.Body]))
		}
	}
	for i, a := range spans {
		for _, b := range spans[i+1:] {
			if a.to < b.from && a.low.Compare(b.high) > 0 || b.to < a.from && b.low.Compare(a.high) > 0 {
				sim.violation(
					"out of order: %s: %v-%v %s (%v to %v), %v-%v %s (%v to %v)",
					key,
					a.from,
					a.to,
					a.source,
					a.low,
					a.high,
					b.from,
					b.to,
					b.source,
					b.low,
					b.high,
				)
				return
			}
		}
	}
}

// writes counts the attempts to write a body, and holds the time of the first one.
type writes struct {
	count int
	first time.Duration
}

// attemptsOf returns the attempts to write a key, by body.
func (sim *simulation) attemptsOf(key string) map[string]writes {
	out := map[string]writes{}
	for _, x := range sim.ops {
		if k := x.change.Kind; x.command.Key != key || k == 0 || k == consensus.Read {
			continue
		}
		at, ok := out[x.command.Body]
		if !ok || x.called < at.first {
			at.first = x.called
		}
		at.count++
		out[x.command.Body] = at
	}
	return out
}

// writtenSpans returns a span for each observed version of a key, and the versions of each body.
func (sim *simulation) writtenSpans(key string, attempts map[string]writes) (spans []span, made map[string][]consensus.Version) {
	made = map[string][]consensus.Version{}
	for version, body := range sim.contentOf[key] {
		made[body] = append(made[body], version)
		at, ok := attempts[body]
		if !ok {
			sim.violation("unknown content: %s %v is %q, which no command has", key, version, body)
		}
		spans = append(spans, span{at.first, never, version, version, fmt.Sprintf("%q was written", body)})
	}
	for body, versions := range made {
		if len(versions) > attempts[body].count {
			sim.violation("applied twice: %s %q was committed as versions %v by %d attempts", key, body, versions, attempts[body].count)
		}
		slices.SortFunc(versions, consensus.Version.Compare)
	}
	return spans, made
}

// answeredSpan returns the span that the answer to an attempt implies. Made holds the observed versions of its body.
func answeredSpan(x *op, made []consensus.Version, attempts writes) span {
	r, c := x.result, x.change
	out := span{
		x.called,
		x.returned,
		consensus.Version{},
		maxVersion,
		fmt.Sprintf("m%d %s %d %q: %v", x.target, x.command.Kind, x.command.Number, x.command.Body, r.Outcome),
	}
	switch c.Kind {
	case consensus.Read:
		out.low, out.high = consensus.Version{}, consensus.Version{}
		if r.Value != nil {
			out.low, out.high = r.Value.Version, r.Value.Version
		}
	case consensus.PutVersion:
		out.low = c.Version
		if r.Outcome == consensus.Conflict {
			out.high = c.Version
		}
	case consensus.Put:
		if len(made) == 1 && attempts.count == 1 { // otherwise it may have versions that were not observed
			out.low, out.high = made[0], made[0]
		}
	case consensus.CompareAndSwap:
		if r.Outcome == consensus.Committed { // the register had the expected version, and then the next one
			next := consensus.Version{Number: c.Version.Number + 1, Proposer: c.Proposer}
			out.low, out.high = next, next
		}
	}
	return out
}
