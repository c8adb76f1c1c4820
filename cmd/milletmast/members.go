package main

import (
	"context"
	"log/slog"
	"runtime/debug"
	"sync"
	"time"

	"milletmast/internal/clusterview"
	"milletmast/internal/gossip"
	"milletmast/internal/loadshed"
	"milletmast/internal/operator"
	"milletmast/internal/sidecar"
)

// maxPendingSummaries bounds the summaries that wait to be sent to the other members.
const maxPendingSummaries = 64

// joinMembers makes an instance a member of its cluster until ctx ends. leave waits for that, and then announces to the other members
// that the instance leaves. Without a table members, joinMembers does nothing, and the group is nil.
func joinMembers(
	ctx context.Context, cfg *operator.Config, instance *sidecar.Instance,
) (group *gossip.Group, leave func(), err error) {
	members := &cfg.Members
	if members.Listen == "" {
		return nil, func() {}, nil
	}
	keys, err := members.DecodeKeys()
	if err != nil {
		return nil, nil, err
	}
	view := clusterview.DefaultConfig()
	view.ConfiguredReplicas, view.ConfiguredRank = members.Copies, members.Rank
	incarnation := uint64(time.Now().UnixNano())
	pending := make(chan []byte, maxPendingSummaries)
	instance.JoinFleet(members.Name, incarnation, func(pool string, summary loadshed.Summary) {
		select {
		case pending <- summary.Marshal(pool):
		default: // dropped, as a newer summary follows
		}
	})
	group, err = gossip.Join(gossip.Config{
		Name: members.Name, Incarnation: incarnation, Version: programVersion(), Cluster: members.Cluster,
		Address: members.Listen, Seeds: members.Seeds, Keys: keys,
		MaxBytesPerSecond: int(members.Bytes), ProbeInterval: time.Duration(members.Probe), View: view,
		HandleMessage: func(message []byte) { handleSummary(instance, message) },
	})
	if err != nil {
		return nil, nil, err
	}
	slog.Info("join members", "name", members.Name, "addr", group.Address(), "cluster", members.Cluster)
	var running sync.WaitGroup
	running.Go(func() { followMembers(ctx, group, instance, pending) })
	return group, func() {
		running.Wait()
		if err := group.Leave(); err != nil {
			slog.Warn("leave members", "err", err)
		}
	}, nil
}

// handleSummary passes a summary of another member to the instance.
func handleSummary(instance *sidecar.Instance, message []byte) {
	pool, summary, err := loadshed.Unmarshal(message)
	if err != nil {
		slog.Debug("ignore invalid summary", "err", err)
		return
	}
	instance.HandleSummary(pool, summary)
}

// followMembers sends pending summaries and applies each new view of the cluster to the instance, until ctx ends.
func followMembers(ctx context.Context, group *gossip.Group, instance *sidecar.Instance, pending <-chan []byte) {
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-pending:
			group.Broadcast(message)
		case <-group.Changed():
			view := group.View()
			if view.Confidence != clusterview.Alone {
				instance.SetReplicas(view.Replicas, view.Rank)
			}
			instance.SetMembers(presentMembers(view))
		}
	}
}

// presentMembers returns the names of the members that have not failed or left, this one included. They are included even while
// this replica may be partitioned from them, as the latest summaries of unreachable members expire soon.
func presentMembers(view clusterview.View) (names []string) {
	for _, member := range view.Members {
		if member.State == clusterview.Alive || member.State == clusterview.Suspect {
			names = append(names, member.Name)
		}
	}
	return names
}

// programVersion returns the version that is recorded in the build information, or "" if there is none.
func programVersion() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		return info.Main.Version
	}
	return ""
}
