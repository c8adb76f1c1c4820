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
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"whinknot"
)

const (
	watchSilence = 4500 * time.Millisecond // a watch beats every 2 s: after two missed beats it is dead
	callTime     = 6 * time.Second         // longest wait for a call's turn
	dialList     = 2 * time.Second
	backoffFirst = 200 * time.Millisecond // between watches of an agent that pushes; doubles, with jitter
	backoffMost  = 3 * time.Second
	maxLine      = 8 << 20 // bytes of one line of a watch
)

// List is what discovery tells: a whole list or changes.
type List struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []Target `json:"targets"`
}

// Target is one line of a list.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Kind     string  `json:"model"`
	Cell     uint16  `json:"pod_group"`
	State    string  `json:"state"`
	Weight   float64 `json:"capacity_hint"`
	BootMS   float64 `json:"boot_ms"`
}

var states = map[string]whinknot.ServerState{
	"Ready": whinknot.Ready, "Terminating": whinknot.Draining, "Gone": whinknot.Gone,
}

// ParseList reads one list and checks each line of it.
func ParseList(text []byte) (List, error) {
	var l List
	if err := json.Unmarshal(text, &l); err != nil {
		return l, err
	}
	for i, t := range l.Targets {
		if _, ok := states[t.State]; !ok || t.UID == "" {
			return l, fmt.Errorf("targets[%d]: uid %q or state %q is unknown", i, t.UID, t.State)
		}
		if _, _, err := net.SplitHostPort(t.Endpoint); err != nil && states[t.State] != whinknot.Gone {
			return l, fmt.Errorf("targets[%d]: endpoint: %w", i, err)
		}
	}
	return l, nil
}

// directory gives servers their ids. A uid hashes to the same id at every sidecar, as the module's share-out
// of servers over copies needs; only of two that collide, one gets another id.
type directory struct {
	zones, kinds []string
	ids          map[string]uint32
	taken        map[uint32]string
}

func newDirectory(zones, kinds []string) *directory {
	return &directory{zones: zones, kinds: kinds, ids: map[string]uint32{}, taken: map[uint32]string{}}
}

func (d *directory) id(uid string) uint32 {
	if id, ok := d.ids[uid]; ok {
		return id
	}
	h := fnv.New32a()
	io.WriteString(h, uid)
	id := h.Sum32()
	for d.taken[id] != "" {
		id++
	}
	d.ids[uid], d.taken[id] = id, uid
	return id
}

// entry turns a line of the list into the module's. A zone that the settings do not name is nobody's own.
func (d *directory) entry(t *Target) whinknot.ServerEntry {
	zone, kind := slices.Index(d.zones, t.Zone), slices.Index(d.kinds, t.Kind)
	if zone < 0 {
		zone = min(len(d.zones), 255)
	}
	return whinknot.ServerEntry{
		Server: d.id(t.UID), Zone: uint8(zone), Kind: uint16(max(kind, 0)), Cell: t.Cell,
		State: states[t.State], Weight: t.Weight, Started: t.BootMS,
	}
}

// forget drops servers that no list names any more: uids come and go for as long as a sidecar runs.
func (d *directory) forget(listed func(id uint32) bool) {
	for uid, id := range d.ids {
		if !listed(id) {
			delete(d.ids, uid)
			delete(d.taken, id)
		}
	}
}

// discovery holds the watch on the list. Where the list is asked for, the module says when to watch;
// where it is pushed, the watch is on an agent nearby and is taken up again by itself.
type discovery struct {
	addr    string
	rev     int64         // version of the list held
	silence time.Duration // after which a watch is dead
	tell    func(List)    // a list or a change came
	failed  func()        // a call failed or a watch broke
}

// follow keeps a pushed list watched until ctx ends.
func (d *discovery) follow(ctx context.Context) {
	wait := backoffFirst
	for ctx.Err() == nil {
		rev := d.rev
		d.once(ctx)
		if d.rev != rev {
			wait = backoffFirst
		}
		select {
		case <-time.After(wait/2 + rand.N(wait)):
		case <-ctx.Done():
		}
		wait = min(2*wait, backoffMost)
	}
}

// once watches until the watch ends, which it reports.
func (d *discovery) once(ctx context.Context) {
	err := d.watch(ctx)
	slog.Info("watch ended", "rev", d.rev, "err", err)
	d.failed()
}

// watch makes one call and passes on what comes; it returns when the watch is over.
func (d *discovery) watch(ctx context.Context) error {
	dialer := net.Dialer{Timeout: dialList}
	c, err := dialer.DialContext(ctx, "tcp", d.addr)
	if err != nil {
		return err
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	uri := "http://" + d.addr + "/api/targets?follow=1&since=" + strconv.FormatInt(d.rev, 10)
	req, err := http.NewRequest(http.MethodGet, uri, nil)
	if err != nil {
		return err
	}
	c.SetDeadline(time.Now().Add(callTime))
	if err := req.Write(c); err != nil {
		return err
	}
	res, err := http.ReadResponse(bufio.NewReader(c), req)
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return errors.New(res.Status)
	}
	lines := bufio.NewScanner(res.Body)
	lines.Buffer(make([]byte, 0, 1<<14), maxLine)
	for lines.Scan() {
		c.SetDeadline(time.Now().Add(d.silence))
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			continue
		}
		l, err := ParseList(line)
		if err != nil {
			return fmt.Errorf("list: %w", err)
		}
		d.rev = l.Rev
		d.tell(l)
	}
	return cmp.Or(lines.Err(), io.EOF)
}
