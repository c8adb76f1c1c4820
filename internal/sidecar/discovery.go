package sidecar

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"milletmast/balancer"
)

const (
	defaultWatchTimeout  = 4500 * time.Millisecond // a watch sends a line every 2 s, so that two are overdue
	watchCallTimeout     = 6 * time.Second         // for the response to the request of a watch
	discoveryDialTimeout = 2 * time.Second
	minWatchBackoff      = 200 * time.Millisecond // between watches of a pushed list; it doubles, with jitter
	maxWatchBackoff      = 3 * time.Second
	initialListLine      = 16 << 10 // bytes of one line of a watch
	maxListLine          = 8 << 20
)

// List is a list of servers from discovery, or changes of it.
type List struct {
	Rev     int64    `json:"rev"`
	Full    bool     `json:"all"`
	Targets []Target `json:"targets"`
}

// Target is one server of a list.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Kind     string  `json:"model"`
	Cell     uint16  `json:"pod_group"`
	State    string  `json:"state"`
	Weight   float64 `json:"capacity_hint"`
	BootMS   float64 `json:"boot_ms"`
	Backup   bool    `json:"-"` // set by operator files only
}

// The states of a target.
const (
	stateReady       = "Ready"
	stateTerminating = "Terminating"
	stateGone        = "Gone"
)

// serverStates are the states of targets for the decision module.
var serverStates = map[string]balancer.ServerState{
	stateReady: balancer.Ready, stateTerminating: balancer.Draining, stateGone: balancer.Removed,
}

// ParseList decodes a list and checks each target.
func ParseList(text []byte) (List, error) {
	var l List
	if err := json.Unmarshal(text, &l); err != nil {
		return l, err
	}
	for i, t := range l.Targets {
		if _, ok := serverStates[t.State]; !ok || t.UID == "" {
			return l, fmt.Errorf("targets[%d]: uid %q must not be empty, and state %q must be Ready, Terminating or Gone", i, t.UID, t.State)
		}
		if _, _, err := net.SplitHostPort(t.Endpoint); err != nil && serverStates[t.State] != balancer.Removed {
			return l, fmt.Errorf("targets[%d]: endpoint: %w", i, err)
		}
	}
	return l, nil
}

// serverIDs numbers servers for the decision module. A uid hashes to the same id at every sidecar, which the division of servers
// among replicas requires; of two uids with the same hash, one gets another id.
type serverIDs struct {
	zones, kinds []string
	ids          map[string]uint32
	uids         map[uint32]string
}

func newServerIDs(zones, kinds []string) *serverIDs {
	return &serverIDs{zones: zones, kinds: kinds, ids: map[string]uint32{}, uids: map[uint32]string{}}
}

// id returns the id of a server, and assigns it if it is new.
func (d *serverIDs) id(uid string) uint32 {
	if id, ok := d.ids[uid]; ok {
		return id
	}
	h := fnv.New32a()
	h.Write([]byte(uid))
	id := h.Sum32()
	for d.uids[id] != "" {
		id++
	}
	d.ids[uid], d.uids[id] = id, uid
	return id
}

// serverEntry converts a target for the decision module. A zone that the settings do not list gets an index that no replica has as
// its own.
func (d *serverIDs) serverEntry(t *Target) balancer.ServerEntry {
	zone, kind := slices.Index(d.zones, t.Zone), slices.Index(d.kinds, t.Kind)
	if zone < 0 {
		zone = min(len(d.zones), math.MaxUint8)
	}
	return balancer.ServerEntry{
		ID: d.id(t.UID), Zone: uint8(zone), Kind: uint16(max(kind, 0)), Cell: t.Cell,
		State: serverStates[t.State], Weight: t.Weight, StartedAt: t.BootMS, Backup: t.Backup,
	}
}

// forget drops servers that are not listed any more, as new uids keep arriving while a sidecar runs.
func (d *serverIDs) forget(listed func(id uint32) bool) {
	for uid, id := range d.ids {
		if !listed(id) {
			delete(d.ids, uid)
			delete(d.uids, id)
		}
	}
}

// discovery watches the list of servers. If the list is requested, the decision module decides when to watch; if an agent pushes it,
// the watch is renewed automatically. A new watch replaces the active one once the server has responded to it, so that a change of
// the address leaves no gap.
type discovery struct {
	watchTimeout time.Duration // without a line
	onList       func(List)    // called with each list or change
	onFailure    func()        // called when the latest call failed or its watch broke

	mu           sync.Mutex
	addr         string
	rev          int64  // version of the latest list
	latestWatch  int    // number of the latest watch
	activeWatch  int    // number of the watch whose lists are applied
	cancelActive func() // ends the active watch
}

// newDiscovery returns a discovery for an event loop that has the list of version rev; 0 for no list.
func newDiscovery(l *eventLoop, addr string, rev int64) *discovery {
	return &discovery{
		addr: addr, rev: rev, watchTimeout: defaultWatchTimeout,
		onList: func(list List) {
			kind := balancer.ListDelta
			if list.Full {
				kind = balancer.ListFull
			}
			l.post(func() { l.applyList(list, kind) })
		},
		onFailure: func() { l.post(l.listFailed) },
	}
}

// setAddr sets the address of later watches, and reports whether it is a new one.
func (d *discovery) setAddr(addr string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	moved := d.addr != addr
	d.addr = addr
	return moved
}

// current returns the address and the version of the latest list.
func (d *discovery) current() (string, int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addr, d.rev
}

// run keeps a pushed list watched until ctx ends or the address changes.
func (d *discovery) run(ctx context.Context) {
	backoff := minWatchBackoff
	firstAddr, rev := d.current()
	for addr := firstAddr; ctx.Err() == nil && addr == firstAddr; {
		d.watchOnce(ctx)
		var latest int64
		if addr, latest = d.current(); latest != rev {
			backoff, rev = minWatchBackoff, latest
		}
		select {
		case <-time.After(backoff/2 + rand.N(backoff)):
		case <-ctx.Done():
		}
		backoff = min(2*backoff, maxWatchBackoff)
	}
}

// watchOnce watches until the watch ends, and reports its end unless a later watch has been started meanwhile.
func (d *discovery) watchOnce(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.mu.Lock()
	d.latestWatch++
	number, addr, rev := d.latestWatch, d.addr, d.rev
	d.mu.Unlock()
	err := d.watch(ctx, addr, rev, func(f func()) error { return d.forActive(number, cancel, f) })
	d.mu.Lock()
	latest := number == d.latestWatch
	d.mu.Unlock()
	slog.Info("end watch", "addr", addr, "latest", latest, "err", err)
	if latest {
		d.onFailure()
	}
}

var errSuperseded = errors.New("superseded by a later watch")

// forActive calls f for a watch, which becomes the active one. It fails if a later watch is active.
func (d *discovery) forActive(number int, cancel func(), f func()) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if number < d.activeWatch {
		return errSuperseded
	}
	if number > d.activeWatch && d.cancelActive != nil {
		d.cancelActive()
	}
	d.activeWatch, d.cancelActive = number, cancel
	f()
	return nil
}

// watch sends one request and applies the lists that it receives through forActive. It returns when the watch has ended.
func (d *discovery) watch(ctx context.Context, addr string, rev int64, forActive func(func()) error) error {
	dialer := net.Dialer{Timeout: discoveryDialTimeout}
	c, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	uri := "http://" + addr + "/api/targets?follow=1&since=" + strconv.FormatInt(rev, 10)
	req, err := http.NewRequest(http.MethodGet, uri, nil)
	if err != nil {
		return err
	}
	if err := c.SetDeadline(time.Now().Add(watchCallTimeout)); err != nil {
		return err
	}
	if err := req.Write(c); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(c), req)
	if err != nil {
		return err
	}
	defer func() {
		c.Close() // first, as closing the body reads it to its end
		response.Body.Close()
	}()
	if response.StatusCode != http.StatusOK {
		return errors.New(response.Status)
	}
	if err := forActive(func() {}); err != nil {
		return err
	}
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(make([]byte, 0, initialListLine), maxListLine)
	for lines.Scan() {
		if err := c.SetDeadline(time.Now().Add(d.watchTimeout)); err != nil {
			return err
		}
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			continue
		}
		l, err := ParseList(line)
		if err != nil {
			return fmt.Errorf("list: %w", err)
		}
		if err := forActive(func() { d.rev = l.Rev; d.onList(l) }); err != nil {
			return err
		}
	}
	return cmp.Or(lines.Err(), io.EOF)
}
