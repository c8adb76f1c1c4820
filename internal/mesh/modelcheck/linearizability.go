package modelcheck

import (
	"fmt"

	"github.com/anishathalye/porcupine"

	"milletmast/internal/mesh/consensus"
)

// registerState is the state of a register in registerModel.
type registerState struct {
	exists  bool
	version consensus.Version
	body    string
}

// registerModel specifies the effects of commands for porcupine, independently of package consensus.
var registerModel = porcupine.Model{
	Init: func() any { return registerState{} },
	Step: func(s, in, out any) (bool, any) {
		held, x, r := s.(registerState), in.(*op), out.(consensus.Result)
		unknown := r.Outcome == 0
		c := &x.change
		body := string(c.Body)
		switch c.Kind {
		case consensus.Read:
			if r.Value == nil {
				return !held.exists, held
			}
			return held.exists && held.body == string(r.Value.Body) && held.version == r.Value.Version, held
		case consensus.PutVersion:
			switch {
			case !held.exists || held.version.Number < c.Version.Number:
				return unknown || r.Outcome == consensus.Committed, registerState{true, c.Version, body}
			case held.version == c.Version && held.body != body:
				return unknown || r.Outcome == consensus.Conflict, held
			}
			return unknown || r.Outcome == consensus.Committed, held
		case consensus.Put:
			if held.exists && held.body == body {
				return unknown || r.Outcome == consensus.Committed, held
			}
			after := consensus.Version{Number: held.version.Number + 1, Proposer: c.Proposer}
			return unknown || r.Outcome == consensus.Committed, registerState{true, after, body}
		case consensus.CompareAndSwap:
			after := consensus.Version{Number: c.Version.Number + 1, Proposer: c.Proposer}
			switch {
			case held.version == c.Version:
				return unknown || r.Outcome == consensus.Committed, registerState{true, after, body}
			case held.version == after && held.body == body:
				return unknown || r.Outcome == consensus.Committed, held
			}
			return unknown || r.Outcome == consensus.Conflict, held
		}
		return false, held
	},
	Equal:             func(a, b any) bool { return a.(registerState) == b.(registerState) },
	DescribeOperation: func(in, out any) string { return fmt.Sprint(in, out) },
}

func formatOps(ops []porcupine.Operation) string {
	s := ""
	for _, o := range ops {
		x := o.Input.(*op)
		s += fmt.Sprintf(
			"\n    %v-%v m%d %s %d %q version=%v: %d",
			x.called,
			x.returned,
			x.target,
			x.command.Kind,
			x.command.Number,
			x.command.Body,
			x.change.Version,
			x.result.Outcome,
		)
		if v := x.result.Value; v != nil {
			s += fmt.Sprintf(" %v %q", v.Version, v.Body)
		}
	}
	return s
}

// checkRejected checks that a rejected content of a version is never in use, and that at most one content of a version is acknowledged.
func (sim *simulation) checkRejected() {
	acknowledged := map[uint64]string{}
	for _, x := range sim.ops {
		if x.change.Kind != consensus.PutVersion {
			continue
		}
		version := x.change.Version
		in, ok := sim.contentOf[x.command.Key][version]
		switch {
		case x.result.Outcome == consensus.Conflict && ok && in == x.command.Body:
			sim.violation("rejected in use: %s version %d %q", x.command.Key, version.Number, in)
		case x.result.Outcome == consensus.Committed && (x.result.Changed || x.result.Value.Version == version):
			if old, ok := acknowledged[version.Number]; ok && old != x.command.Body || ok && in != "" && in != x.command.Body {
				sim.violation("two acknowledged: contents of %s version %d: %q and %q", x.command.Key, version.Number, old, x.command.Body)
			}
			acknowledged[version.Number] = x.command.Body
		}
	}
}
