// Package gossip keeps the membership of the sidecars of a fleet by the gossip protocol of the library memberlist (SWIM with
// suspicion and Lifeguard). Package clusterview derives a view from its events. The rate of bytes that a replica sends is
// bounded.
package gossip

import (
	"context"
	"errors"
	"fmt"
	"log"
	"log/slog"
	"math"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"milletmast/internal/clusterview"
)

const (
	maxFailedAddresses = 1000                   // failed members whose addresses are kept
	rejoinInterval     = 2 * time.Second        // between two attempts to reach seeds or failed members
	updateInterval     = 250 * time.Millisecond // between two updates of the view
	exchangeInterval   = 10 * time.Second       // between two exchanges of the whole list with a random member
	leaveTimeout       = time.Second            // for the library to announce that this replica leaves
	minLogInterval     = time.Second            // between two log lines on changes of the view
)

// Group is the membership of this replica in its cluster.
type Group struct {
	config     Config
	list       *memberlist.Memberlist
	transport  *boundedTransport
	changed    chan struct{} // see Changed
	stop       context.CancelFunc
	goroutines sync.WaitGroup

	mu              sync.Mutex
	tracker         *clusterview.Tracker
	pending         []clusterview.Event // reported by the library, and not handled by the tracker yet
	leaving         map[string]uint64   // incarnations that have announced that they leave, by name
	failedAddresses map[string]string   // addresses of failed members, by name: rejoin tries them, which heals a partition
}

// Join starts to listen and to look for other members. It does not wait for them.
func Join(config Config) (*Group, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	tracker, err := clusterview.NewTracker(config.View, config.Name, config.Incarnation, config.Version, time.Now())
	if err != nil {
		return nil, err
	}
	g := &Group{
		config:          config,
		tracker:         tracker,
		changed:         make(chan struct{}, 1),
		failedAddresses: map[string]string{},
		leaving:         map[string]uint64{},
	}
	if err := g.listen(); err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	g.stop = stop
	g.goroutines.Go(func() { g.run(ctx) })
	g.goroutines.Go(func() { g.rejoin(ctx) })
	return g, nil
}

// listen starts the library on a transport whose bytes are bounded.
func (g *Group) listen() error {
	host, portText, err := net.SplitHostPort(g.config.Address)
	if err != nil {
		return err
	}
	port, err := strconv.Atoi(portText)
	if err != nil || port < 0 || port > math.MaxUint16 {
		return fmt.Errorf("port %q is not a number from 0 to %d", portText, math.MaxUint16)
	}
	logger := log.New(&logWriter{}, "", 0)
	transport, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: port, Logger: logger})
	if err != nil {
		return err
	}
	g.transport = newBoundedTransport(transport, g.config.MaxBytesPerSecond, g.config.TranslateAddress)
	conf := memberlist.DefaultLANConfig()
	conf.Name, conf.Label = g.config.Name, g.config.Cluster
	conf.BindAddr, conf.BindPort, conf.AdvertisePort = host, port, transport.GetAutoBindPort()
	conf.Transport, conf.Logger, conf.Events, conf.Delegate = g.transport, logger, g, g
	conf.EnableCompression = false
	conf.DeadNodeReclaimTime = time.Second // a process that restarts may have another address
	conf.ProbeInterval, conf.ProbeTimeout, conf.GossipInterval = g.config.ProbeInterval, g.config.ProbeInterval/2, g.config.ProbeInterval/5
	conf.PushPullInterval = exchangeInterval
	conf.TCPTimeout = time.Second
	if len(g.config.Keys) > 0 {
		if conf.Keyring, err = memberlist.NewKeyring(g.config.Keys, g.config.Keys[0]); err != nil {
			return errors.Join(err, g.transport.Shutdown())
		}
	}
	if g.list, err = memberlist.Create(conf); err != nil {
		return errors.Join(err, g.transport.Shutdown())
	}
	return nil
}

// Address returns the address at which the group listens.
func (g *Group) Address() string { return g.list.LocalNode().Address() }

// Name returns the name of this replica.
func (g *Group) Name() string { return g.config.Name }

// View returns the present view.
func (g *Group) View() clusterview.View {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.View()
}

// Changed returns a channel that receives after the view has changed. Changes that nobody received are merged.
func (g *Group) Changed() <-chan struct{} { return g.changed }

// ByteCounts returns how many bytes this replica has sent, and how many it dropped because they were over the bound.
func (g *Group) ByteCounts() (sent, dropped uint64) { return g.transport.byteCounts() }

// Close ends the membership without announcing it: the others will see a failure.
func (g *Group) Close() error {
	g.stop()
	g.goroutines.Wait()
	if err := g.list.Shutdown(); err != nil {
		return fmt.Errorf("members: %w", err)
	}
	return nil
}

// run updates the tracker from the library at an interval until ctx ends.
func (g *Group) run(ctx context.Context) {
	tick := time.NewTicker(updateInterval)
	defer tick.Stop()
	var loggedAt time.Time
	last := g.View()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := time.Now()
		listed := g.listedMembers()
		g.mu.Lock()
		// The list may be older than the pending events. Handled after them, it would bring back members that have failed.
		for _, e := range append(listed, g.pending...) {
			g.tracker.HandleEvent(e, now)
		}
		g.pending = nil
		g.tracker.Tick(now)
		v := g.tracker.View()
		g.mu.Unlock()
		if v.Epoch == last.Epoch && v.Hash == last.Hash {
			continue
		}
		last = v
		select {
		case g.changed <- struct{}{}:
		default: // a notification is pending already
		}
		if now.Sub(loggedAt) >= minLogInterval {
			loggedAt = now
			slog.Info(
				"change membership view",
				"confidence", v.Confidence,
				"replicas", v.Replicas,
				"rank", v.Rank,
				"reason", v.Reason,
				"hash", fmt.Sprintf("%016x", v.Hash),
				"epoch", v.Epoch,
			)
		}
	}
}

// listedMembers returns an event for each member on the library's list. These include suspected
// members: the library sends no event for a suspicion.
func (g *Group) listedMembers() []clusterview.Event {
	var events []clusterview.Event
	for _, node := range g.list.Members() {
		events = append(events, eventOf(node, clusterview.Alive))
	}
	return events
}

// rejoin contacts the seeds while this replica is alone or may be partitioned off, and in any case one failed member:
// this joins the two sides of a partition after each has marked the members of the other as failed.
func (g *Group) rejoin(ctx context.Context) {
	tick := time.NewTicker(rejoinInterval)
	defer tick.Stop()
	for {
		var addresses []string
		if v := g.View(); v.Confidence == clusterview.Alone || v.Confidence == clusterview.Uncertain {
			addresses = append(addresses, g.config.Seeds...)
		}
		g.mu.Lock()
		for _, address := range g.failedAddresses { // the first one of a map: any of them
			addresses = append(addresses, address)
			break
		}
		g.mu.Unlock()
		if len(addresses) > 0 {
			if _, err := g.list.Join(addresses); err != nil {
				slog.Debug("contact members", "err", err)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}
