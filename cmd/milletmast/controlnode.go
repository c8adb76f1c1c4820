package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"time"

	"milletmast/internal/control/controlpb"
	"milletmast/internal/degradation"
	"milletmast/internal/gossip"
	"milletmast/internal/loadshed"
	"milletmast/internal/operator"
	"milletmast/internal/sidecar"
)

// controlNode serves an instance on its control socket; it implements control.Node.
type controlNode struct {
	instance *sidecar.Instance
	name     string        // of the instance; "" for the name in the operator file
	startID  string        // of this process
	path     string        // of the operator file; paths in applied configurations are relative to its directory
	members  *gossip.Group // nil if the instance is not a member of a cluster
}

func newControlNode(instance *sidecar.Instance, members *gossip.Group, name, path string) *controlNode {
	return &controlNode{instance: instance, members: members, name: name, path: path, startID: fmt.Sprintf("%016x", rand.Uint64())}
}

// Status returns the status of the instance.
func (n *controlNode) Status() *controlpb.InstanceStatus {
	status := n.instance.Status()
	out := &controlpb.InstanceStatus{
		Name: n.name, StartId: n.startID, Pid: int64(os.Getpid()), Generation: status.Generation,
		Hash: operator.TextHash(status.Config.Text), Draining: status.Draining, Listeners: n.instance.Addresses(),
		Served: status.Served, Refused: status.Refused, Failed: status.Failed, P99Ms: status.P99,
	}
	if out.Name == "" {
		out.Name = status.Config.Name
	}
	if n.members != nil {
		out.Members = membersStatus(n.members)
	}
	for i := range status.Pools {
		pool := &status.Pools[i]
		out.Open += uint64(pool.Open)
		out.Pools = append(out.Pools, &controlpb.PoolStatus{
			Name: pool.Name, Ending: pool.Ending, Servers: uint32(pool.Servers), Usable: uint32(pool.Usable), Open: uint32(pool.Open),
			Served: pool.Served, Refused: pool.Refused, Failed: pool.Failed, Level: levelStatus(pool.Level, pool.Classes),
			Allot: shedStatus(pool.FleetShedding, pool.Classes),
		})
	}
	return out
}

// Apply applies the text of an operator file as if the file at n.path contained it.
func (n *controlNode) Apply(text []byte) error {
	cfg, err := operator.Parse(n.path, text)
	if err != nil {
		return err
	}
	_, err = n.instance.Reload(cfg)
	return err
}

// Drain starts or ends the drain of the instance.
func (n *controlNode) Drain(drain bool) { n.instance.SetNotReady(drain) }

// Pin keeps a degradation level of a pool in force for a time. An empty level ends the pin of the pool.
func (n *controlNode) Pin(pool, level string, ttl time.Duration) error {
	if level == "" {
		return n.instance.Unpin(pool)
	}
	return n.instance.Pin(pool, level, ttl)
}

// shedStatus converts the load shedding decision for a pool to the control API; nil for none.
func shedStatus(decision *loadshed.Decision, classes []string) *controlpb.AllotStatus {
	if decision == nil || decision.AdmitRatio == nil {
		return nil
	}
	out := &controlpb.AllotStatus{
		Reach: decision.Level, Price: decision.MinWeightPerSecond, Demand: decision.Demand, Refused: decision.RejectedRatio,
		Heard: uint32(decision.Replicas),
	}
	for class, ratio := range decision.AdmitRatio {
		out.Pass = append(out.Pass, &controlpb.AllotPass{Class: classes[class], Part: ratio})
	}
	return out
}

// membersStatus converts an instance's view of its cluster to the control API.
func membersStatus(group *gossip.Group) *controlpb.MembersStatus {
	view := group.View()
	sent, heldBack := group.ByteCounts()
	out := &controlpb.MembersStatus{
		Name: group.Name(), Address: group.Address(), SentBytes: sent, HeldBackBytes: heldBack,
		Standing: view.Confidence.String(), SinceMs: view.Since.UnixMilli(), Why: view.Reason,
		Copies: uint32(view.Replicas), Rank: uint32(view.Rank), Epoch: view.Epoch, Hash: view.Hash,
	}
	for _, m := range view.Members {
		out.Members = append(out.Members, &controlpb.MemberView{
			Name: m.Name, Start: m.Incarnation, Version: m.Version, State: m.State.String(), SinceMs: m.Since.UnixMilli(), Damped: m.Damped,
		})
	}
	return out
}

// levelStatus converts the degradation level of a pool to the control API; nil for none.
func levelStatus(status *degradation.Status, classes []string) *controlpb.LevelStatus {
	if status == nil {
		return nil
	}
	out := &controlpb.LevelStatus{
		Level: status.Level, SinceMs: status.Since.UnixMilli(), By: status.By, Why: status.Reason, Back: status.Restored,
		Waits: status.BlockedBy, Count: status.ChangeCount, Ladder: status.LevelNames, Signals: map[string]float64{},
	}
	if !status.PinnedUntil.IsZero() {
		out.PinnedUntilMs = status.PinnedUntil.UnixMilli()
	}
	if !status.EarliestLeave.IsZero() {
		out.EarliestMs = status.EarliestLeave.UnixMilli()
	}
	for _, shed := range status.Shedding {
		out.Shedding = append(out.Shedding, &controlpb.LevelShed{Class: classes[shed.Class], Share: shed.Share})
	}
	for signal, value := range status.Signals {
		if !math.IsNaN(value) {
			out.Signals[degradation.Signal(signal).String()] = value
		}
	}
	for _, change := range status.Changes {
		out.Changes = append(out.Changes, &controlpb.LevelChange{
			AtMs: change.At.UnixMilli(), From: change.From, To: change.To, By: change.By, Why: change.Reason,
		})
	}
	return out
}
