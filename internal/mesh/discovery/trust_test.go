package discovery

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"milletmast/internal/mesh/consensus"
	"milletmast/internal/mesh/controlstate"
	"milletmast/internal/mesh/outlier"
)

const contactTimeout = 5 * time.Second

// history generates the confirmed snapshots after each committed change: versions and epochs only rise.
func history(t *rapid.T) []controlstate.Snapshot {
	now := controlstate.Snapshot{Epoch: 1, ConfigVersion: 1, Config: []byte("1")}
	zones := map[string]controlstate.Evacuation{}
	out := []controlstate.Snapshot{now}
	for range rapid.IntRange(1, 12).Draw(t, "changes") {
		switch rapid.IntRange(0, 3).Draw(t, "kind of change") {
		case 0:
			now.ConfigVersion += uint64(rapid.IntRange(1, 3).Draw(t, "version increment"))
			now.Config = []byte(fmt.Sprint(now.ConfigVersion))
		case 1:
			zone := fmt.Sprint("z", rapid.IntRange(0, 1).Draw(t, "zone"))
			e := zones[zone]
			zones[zone] = controlstate.Evacuation{Zone: zone, Version: consensus.Version{Number: e.Version.Number + 1, Proposer: "d"}, Active: !e.Active}
		case 2:
			now.EjectionsVersion = consensus.Version{Number: now.EjectionsVersion.Number + 1, Proposer: "d"}
			now.Ejections = []outlier.Ejection{{InstanceID: "i", Count: int(now.EjectionsVersion.Number)}}
		default:
			now.Epoch++
		}
		now.Evacuations = nil
		for _, z := range []string{"z0", "z1"} {
			if e, ok := zones[z]; ok {
				now.Evacuations = append(now.Evacuations, e)
			}
		}
		out = append(out, now)
	}
	return out
}

// receivedSnapshot is a snapshot that a proxy receives.
type receivedSnapshot struct {
	from  string // the control plane; "" for another proxy
	at    int    // index in the history
	lease bool   // it is sent under a lease
}

func (r receivedSnapshot) deliver(c *ClientState, now time.Time, all []controlstate.Snapshot) {
	f := all[r.at]
	f.Confirmed = r.lease
	if r.from == "" {
		c.HandleSnapshot(FromProxy, &f)
		return
	}
	c.HandleControlMessage(now, r.from, &ControlMessage{Snapshot: &f, HasContact: r.lease})
}

// atLeastAsNew reports whether a has the same or a higher version than b of every key.
func atLeastAsNew(a, b *controlstate.Snapshot) bool {
	state := NewMergedState()
	state.Merge(b)
	return state.IsContainedIn(a)
}

// Two proxies receive the same snapshots in any order, among them those of a control plane that is isolated and may still announce contact.
// Neither proxy may use a state older than a snapshot that it received under a lease, and a Certain one must ignore snapshots without a
// lease. In the end both use the newest state.
func TestProxiesOfAnIsolatedControlPlaneConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := history(t)
		last := len(all) - 1
		messages := []receivedSnapshot{{"l0", last, true}}
		for range rapid.IntRange(0, 15).Draw(t, "messages") {
			message := receivedSnapshot{from: rapid.SampledFrom([]string{"", "l0", "l1", "isolated"}).Draw(t, "from"), at: rapid.IntRange(0, last).Draw(t, "old")}
			// A control plane that was stalled sends an old snapshot under a lease, which arrives late. An isolated one announces no contact.
			message.lease = rapid.Bool().Draw(t, "under a lease")
			messages = append(messages, message)
		}
		var results []*controlstate.Snapshot
		for n := range 2 {
			c := NewClientState(start, Limits{KeepMissing: time.Hour, ContactTimeout: contactTimeout})
			now := start
			var epoch uint64
			atLeast := NewMergedState() // merged from the snapshots under a lease, except those of a control plane with a stale epoch
			receivedLeased := false
			for _, message := range rapid.Permutation(messages).Draw(t, fmt.Sprint("order of ", n)) {
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
				c.CheckContactTimeout(now)
				before := c.Snapshot()
				message.deliver(c, now, all)
				snapshot := all[message.at]
				if message.lease && (message.from == "" || snapshot.Epoch >= epoch) {
					epoch = max(epoch, snapshot.Epoch)
					atLeast.Merge(&snapshot)
					receivedLeased = true
				} else if c.Trust() == Certain && !atLeastAsNew(before, c.Snapshot()) {
					t.Fatalf("a snapshot without a lease, or of an older epoch, changes %+v to %+v", before, c.Snapshot())
				}
				if held := c.Snapshot(); !atLeast.IsContainedIn(held) || !atLeastAsNew(held, before) {
					t.Fatalf("the state is %+v after %+v was received under a lease and the state was %+v", held, atLeast.Snapshot(), before)
				}
				if c.Trust() == Certain && !receivedLeased {
					t.Fatal("certain without a snapshot under a lease")
				}
			}
			results = append(results, c.Snapshot())
		}
		want := all[last]
		want.Confirmed = true
		for n, snapshot := range results {
			if !snapshot.Equal(&want) || fmt.Sprint(snapshot.Ejections) != fmt.Sprint(want.Ejections) {
				t.Fatalf("proxy %d uses %+v in the end, want %+v", n, snapshot, want)
			}
		}
	})
}

// A new proxy uses no snapshot of a control plane without contact as long as another control plane has contact. After the contact timeout it
// uses the newest unconfirmed snapshot and reports that it is uncertain, until it receives one from a control plane with contact.
func TestNewProxyAndControlPlaneWithoutContact(t *testing.T) {
	snapshot := func(version uint64, confirmed bool) *controlstate.Snapshot {
		return &controlstate.Snapshot{ConfigVersion: version, Config: []byte(fmt.Sprint(version)), Confirmed: confirmed, Epoch: 1}
	}
	c := NewClientState(start, Limits{ContactTimeout: contactTimeout})
	checkState := func(when string, version uint64, s TrustLevel) {
		t.Helper()
		if _, held := c.Config(); held != version || c.Trust() != s {
			t.Errorf("%s: the proxy uses r%d and is %v; want r%d, %v", when, held, c.Trust(), version, s)
		}
	}
	c.HandleControlMessage(start, "isolated", &ControlMessage{Snapshot: snapshot(3, false)})
	checkState("snapshot of a control plane without contact", 0, Waiting)
	if c.WantsLastKnown(start.Add(contactTimeout - lastKnownLead - 1)) {
		t.Error("the last known snapshot is requested too early")
	}
	c.HandleControlMessage(start, "connected", &ControlMessage{HasContact: true})
	late := start.Add(2 * contactTimeout)
	c.CheckContactTimeout(late)
	checkState("another control plane has contact and has sent no snapshot yet", 0, Waiting)
	c.ControlPlaneLost(late, "connected")
	c.HandleSnapshot(FromProxy, snapshot(4, false))
	c.CheckContactTimeout(late.Add(contactTimeout - 1))
	checkState("before the contact timeout", 0, Waiting)
	if !c.WantsLastKnown(late.Add(contactTimeout - lastKnownLead)) {
		t.Error("the last known snapshot is not requested")
	}
	if ch := c.CheckContactTimeout(late.Add(contactTimeout)); !ch.Config {
		t.Error("nothing changes at the contact timeout")
	}
	checkState("at the contact timeout", 4, Uncertain)
	c.HandleControlMessage(late, "isolated", &ControlMessage{Snapshot: snapshot(5, false)})
	checkState("newer snapshot of a control plane without contact", 5, Uncertain)
	if f := c.Snapshot(); f.Confirmed {
		t.Error("an uncertain proxy sends a confirmed snapshot")
	}
	c.HandleControlMessage(late, "connected", &ControlMessage{Snapshot: snapshot(4, true), HasContact: true})
	checkState("older snapshot of a control plane with contact", 5, Uncertain)
	c.HandleControlMessage(late, "connected", &ControlMessage{Snapshot: snapshot(6, true), HasContact: true})
	checkState("snapshot of a control plane with contact", 6, Certain)
	c.HandleControlMessage(late, "isolated", &ControlMessage{Snapshot: snapshot(9, false)})
	c.CheckContactTimeout(late.Add(time.Hour))
	checkState("snapshot of a control plane without contact, when certain", 6, Certain)
	old := snapshot(8, true)
	old.Epoch = 0
	c.HandleControlMessage(late, "isolated", &ControlMessage{Snapshot: old, HasContact: true})
	checkState("confirmed snapshot of an older epoch", 6, Certain)
	if c.HasContact("isolated") || c.LacksConfig("isolated") {
		t.Error("a control plane with an older epoch counts as having contact")
	}
	c = NewClientState(start, Limits{ContactTimeout: contactTimeout})
	c.HandleSnapshot(FromProxy, snapshot(2, true))
	checkState("snapshot of a proxy that is certain", 2, Certain)
}
