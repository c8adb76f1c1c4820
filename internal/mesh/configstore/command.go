package configstore

import (
	"bytes"
	"encoding/gob"
	"slices"
	"time"

	"milletmast/internal/mesh/consensus"
	"milletmast/internal/mesh/controlstate"
	controlstatewire "milletmast/internal/mesh/controlstate/wire"
	"milletmast/internal/mesh/meshconfig"
	outlierwire "milletmast/internal/mesh/outlier/wire"
	"milletmast/internal/mesh/transport"
)

const (
	configKey               = "config"
	evacuationPrefix        = "evacuation/"
	ejectionsKey            = "removals" // as on disks and between stores, so it does not change
	maxEjectionsBytes       = 1 << 20    // maximum size of the encoded ejections
	controlPlaneQueueLength = 64         // unsent updates to a control plane
	evacuationOn            = "on"
	evacuationOff           = "off"
)

// serveControlPlane serves a control plane: it runs its commands and sends it the snapshot.
func (s *Server) serveControlPlane(conn *transport.Conn) {
	outbox := transport.NewOutbox(conn, controlPlaneQueueLength)
	s.goroutines.Go(outbox.Run)
	s.loop.Post(func() {
		s.controlPlanes[outbox] = true
		outbox.Send(controlstatewire.FromUpdate(&controlstate.Update{Snapshot: s.snapshot(), Members: s.reachableMembers()}))
	})
	defer s.loop.Post(func() { delete(s.controlPlanes, outbox) })
	for {
		var encoded controlstatewire.Order
		if conn.Receive(&encoded) != nil {
			return
		}
		command := encoded.Command()
		if command.Kind == controlstate.Heartbeat {
			id := command.ID
			s.loop.Post(func() {
				outbox.Send(
					controlstatewire.FromUpdate(&controlstate.Update{HeartbeatID: id, LeaseRemaining: s.leaseRemaining(time.Now())}),
				)
			})
			continue
		}
		s.loop.Post(func() {
			s.runCommand(time.Now(), command, func(r *controlstate.Result) {
				r.ID = command.ID
				outbox.Send(controlstatewire.FromUpdate(&controlstate.Update{Result: r, Snapshot: s.snapshot()}))
			})
		})
	}
}

// runCommand starts a command, which the loop has taken up now, and calls done once, with its result. A change that may be old after a
// stall is not run; a read changes nothing, so it may be old. Validating a large configuration at a small share of a core may itself take
// as long as a stall, so this is decided by the time before.
func (s *Server) runCommand(now time.Time, command *controlstate.Command, done func(*controlstate.Result)) {
	mayBeOld := command.Kind != controlstate.ReadConfig && s.stalls.JustResumed(now)
	change, err := ChangeOf(command, s.replica.Self().DiskID)
	if err != nil {
		done(&controlstate.Result{Status: controlstate.Rejected, Reason: err.Error()})
		return
	}
	if s.storageFailed {
		done(&controlstate.Result{Status: controlstate.Unknown, Reason: "the disk has failed"})
		return
	}
	if mayBeOld {
		done(&controlstate.Result{Status: controlstate.Unknown, Reason: "this store was stalled, and the command may be old"})
		return
	}
	s.lastProposalID++
	s.proposals[s.lastProposalID] = func(r consensus.Result) { done(s.resultOf(&change, &r)) }
	s.apply(s.replica.Propose(time.Now(), s.lastProposalID, change))
}

// ChangeOf validates a command and returns the change that a store with the disk proposer proposes for it. The error says why the
// command is rejected.
func ChangeOf(command *controlstate.Command, proposer string) (consensus.Change, error) {
	change := consensus.Change{Proposer: proposer, Timeout: command.Timeout}
	switch command.Kind {
	case controlstate.PutConfig:
		parsed, err := meshconfig.Parse(command.Body)
		if err != nil {
			return consensus.Change{}, err
		}
		change.Kind, change.Key = consensus.PutVersion, configKey
		change.Version, change.Body = consensus.Version{Number: parsed.Version}, command.Body
	case controlstate.ReadConfig:
		change.Kind, change.Key = consensus.Read, configKey
	case controlstate.BeginEvacuation:
		change.Kind, change.Key, change.Body = consensus.Put, evacuationPrefix+command.Zone, []byte(evacuationOn)
	case controlstate.FinishEvacuation:
		change.Kind, change.Key, change.Body = consensus.Put, evacuationPrefix+command.Zone, []byte(evacuationOff)
	case controlstate.SetEjections:
		var encoded bytes.Buffer
		err := gob.NewEncoder(&encoded).Encode(outlierwire.FromEjections(command.Ejections))
		if err != nil || encoded.Len() > maxEjectionsBytes {
			return consensus.Change{}, Rejected.New("the ejections cannot be encoded in %d bytes", maxEjectionsBytes)
		}
		change.Kind, change.Key = consensus.CompareAndSwap, ejectionsKey
		change.Version, change.Body = command.BaseVersion, encoded.Bytes()
	default:
		return consensus.Change{}, Rejected.New("command %d is unknown", command.Kind)
	}
	return change, nil
}

// resultOf returns the result of a command for the control plane, by the result of its proposal.
func (s *Server) resultOf(change *consensus.Change, r *consensus.Result) *controlstate.Result {
	switch {
	case r.Outcome == consensus.Conflict && change.Kind == consensus.CompareAndSwap:
		return &controlstate.Result{Status: controlstate.Conflict, Reason: "the ejections have changed meanwhile"}
	case r.Outcome == consensus.Conflict:
		return &controlstate.Result{Status: controlstate.Conflict, Reason: "another content has this version"}
	case r.Outcome != consensus.Committed:
		return &controlstate.Result{Status: controlstate.Unknown, Reason: "no quorum of the stores answered in time"}
	case change.Kind == consensus.Read && r.Value == nil:
		return &controlstate.Result{Status: controlstate.NotFound, Reason: "there is no configuration yet"}
	case change.Kind == consensus.Read:
		return &controlstate.Result{Status: controlstate.Completed, Body: r.Value.Body}
	case change.Kind == consensus.PutVersion && r.Value != nil && change.Version.Number < r.Value.Version.Number:
		s.log.Info().
			Uint64("version", change.Version.Number).
			Uint64("newer", r.Value.Version.Number).
			Str("history", describeOldVersion(r.Value.History, change)).
			Msg("ignore older configuration")
	}
	return &controlstate.Result{Status: controlstate.Completed}
}

// describeOldVersion describes, for the log, the history entry of an older version of the configuration.
func describeOldVersion(history []consensus.ChosenVersion, change *consensus.Change) string {
	i := slices.IndexFunc(history, func(v consensus.ChosenVersion) bool { return v.Number == change.Version.Number })
	switch {
	case i < 0:
		return "not in the history"
	case history[i].Digest == consensus.Digest(change.Body):
		return "was committed"
	}
	return "another content had its version"
}
