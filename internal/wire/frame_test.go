package wire

import (
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"strings"
	"testing"

	"milletmast/balancer"
)

// recorder is a Handler that records what a batch delivers.
type recorder struct {
	started   map[uint16]uint64
	settings  string
	stopped   []uint16
	events    []balancer.Event
	instances []uint16 // of the events
}

func (r *recorder) Start(inst uint16, seed uint64, settings []byte, _ float64) error {
	if r.started == nil {
		r.started = map[uint16]uint64{}
	}
	r.started[inst], r.settings = seed, string(settings)
	return nil
}

func (r *recorder) Stop(inst uint16) { r.stopped = append(r.stopped, inst) }

func (r *recorder) Event(inst uint16, _ float64, ev *balancer.Event) error {
	kept := *ev
	kept.Servers = append([]balancer.ServerEntry(nil), ev.Servers...)
	r.instances = append(r.instances, inst)
	r.events = append(r.events, kept)
	return nil
}

func decodeHex(t *testing.T, text string) []byte {
	t.Helper()
	raw, err := hex.DecodeString(strings.Join(strings.Fields(text), ""))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// eventRecord returns an event record: the fields in hex, padded with zeros.
func eventRecord(t *testing.T, fields string) []byte {
	t.Helper()
	raw := decodeHex(t, fields)
	return append(raw, make([]byte, eventSize-len(raw))...)
}

// frame returns a batch with number 12 and the time of the example in the protocol's documentation.
func frame(records [][]byte, tail []byte) []byte {
	body := append(bytes.Join(records, nil), tail...)
	head := []byte{12, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0x20, 0x6e, 0xc0, 0x40, byte(len(records)), 0, 0, 0}
	head[4], head[5] = byte(len(body)), byte(len(body)>>8)
	return append(head, body...)
}

func deliver(t *testing.T, raw []byte) (*recorder, error) {
	t.Helper()
	var d Decoder
	var rec recorder
	b, err := d.Read(bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	return &rec, d.Deliver(b, &rec)
}

func TestEmptyBatchAndReply(t *testing.T) {
	var d Decoder
	b, err := d.Read(bytes.NewReader(decodeHex(t, "01000000 00000000 00000000206ec040 00000000")))
	if err != nil || b.Number != 1 || b.Now != 8412.25 {
		t.Fatalf("batch %+v, error %v", b, err)
	}
	var out bytes.Buffer
	var r Reply
	if err := r.WriteTo(&out, b.Number); err != nil {
		t.Fatal(err)
	}
	if want := decodeHex(t, "01000000 00000000 00000000"); !bytes.Equal(out.Bytes(), want) {
		t.Errorf("reply %x, want %x", out.Bytes(), want)
	}
}

func TestExampleBatch(t *testing.T) {
	raw := frame([][]byte{
		eventRecord(t, "0300 0300 c4913a5d 0000 0000 640ad2557c3bf091 0000000020e6c040 0000000000002840 01"),
		eventRecord(t, "0700 0300 4d00000000000000"),
		eventRecord(t, "0600 0500 192b6f0e"),
	}, nil)
	rec, err := deliver(t, raw)
	if err != nil {
		t.Fatal(err)
	}
	want := []balancer.Event{
		{Kind: balancer.EvRequest, Request: 0x5d3a91c4, Key: 0x91f03b7c55d20a64, Deadline: 8652.25, WorkHint: 12},
		{Kind: balancer.EvTimer, Token: 77},
		{Kind: balancer.EvRequestAbandoned, Request: 0x0e6f2b19},
	}
	for i, w := range want {
		got := rec.events[i]
		got.Servers = nil
		if got.Kind != w.Kind || got.Request != w.Request || got.Key != w.Key || got.Deadline != w.Deadline ||
			got.WorkHint != w.WorkHint || got.Token != w.Token {
			t.Errorf("event %d: %+v, want %+v", i, got, w)
		}
	}
	if rec.instances[0] != 3 || rec.instances[2] != 5 {
		t.Errorf("instances %v, want 3 for the first event and 5 for the third", rec.instances)
	}
}

func TestExampleReply(t *testing.T) {
	var r Reply
	r.Add(3, &balancer.Action{Kind: balancer.ActSend, Request: 0x5d3a91c4, Server: 0x03124a07, Deadline: 8492.25})
	r.Add(3, &balancer.Action{Kind: balancer.ActTimer, Delay: 500, Token: 77})
	r.Add(5, &balancer.Action{Kind: balancer.ActLog, Text: "two servers known"})
	var out bytes.Buffer
	if err := r.WriteTo(&out, 12); err != nil {
		t.Fatal(err)
	}
	got := out.Bytes()
	want := decodeHex(t, `0c000000 03000000 59000000
		0100 0300 c4913a5d 074a1203 000000002096c040 00000000
		0500 0300 0000000000407f40 4d00000000000000 00000000
		0900 0500 00000000 11000000 000000000000000000000000
		74776f2073657276657273206b6e6f776e`)
	if !bytes.Equal(got, want) {
		t.Errorf("reply\n%x, want\n%x", got, want)
	}
}

func TestGoldenActions(t *testing.T) {
	for _, c := range []struct {
		name   string
		action balancer.Action
		inst   uint16
		want   string
	}{
		{"refuse", balancer.Action{Kind: balancer.ActReject, Request: 0x0e6f2b19, Delay: 250}, 3,
			"0200 0300 192b6f0e 0000000000406f40 0000000000000000"},
		{"fail", balancer.Action{Kind: balancer.ActFail, Request: 0x0e6f2b19}, 3,
			"0300 0300 192b6f0e 00000000000000000000000000000000"},
		{"cancel", balancer.Action{Kind: balancer.ActCancel, Request: 0x5d3a91c4}, 3,
			"0400 0300 c4913a5d 0000 0000000000000000000000000000"},
		{"probe", balancer.Action{Kind: balancer.ActProbe, Server: 0x2c9011f2}, 3,
			"0600 0300 f211902c 00000000000000000000000000000000"},
		{"close", balancer.Action{Kind: balancer.ActCloseIdle, Server: 0x2c9011f2}, 3,
			"0700 0300 f211902c 00000000000000000000000000000000"},
		{"watch", balancer.Action{Kind: balancer.ActSubscribe}, 3,
			"0b00 0300 01 00000000000000000000000000000000000000"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var r Reply
			r.Add(c.inst, &c.action)
			if want := decodeHex(t, c.want); !bytes.Equal(r.records, want) {
				t.Errorf("record %x, want %x", r.records, want)
			}
		})
	}
}

func TestGoldenEvents(t *testing.T) {
	list := decodeHex(t, "074a1203 00 0000 0000 00 0000803f 0000000000000000 f211902c 00 0000 0000 00 0000c03f 0000000000d4b740")
	raw := frame([][]byte{
		eventRecord(t, "0b00 00000000 00000000 02000000"),
		eventRecord(t, "0200 0300 00000000 29000000 01"),
		eventRecord(t, "0400 0300 c4913a5d 0000 074a1203 0000000000802240"),
		eventRecord(t, "0500 0300 c4913a5d 00 074a1203 0000 0000000000803240 01 00"),
		eventRecord(t, "0800 0300 f211902c 00 666666666666f63f 00"),
		eventRecord(t, "0a00 0300"),
	}, list)
	rec, err := deliver(t, raw)
	if err != nil {
		t.Fatal(err)
	}
	servers := rec.events[0].Servers
	if rec.events[0].List != balancer.ListCached || len(servers) != 2 {
		t.Fatalf("list event %+v", rec.events[0])
	}
	if servers[0].ID != 0x03124a07 || servers[0].Weight != 1 || servers[1].Weight != 1.5 || servers[1].StartedAt != 6100 {
		t.Errorf("servers %+v", servers)
	}
	if e := rec.events[1]; e.Kind != balancer.EvFirstByte || e.Server != 0x03124a07 || e.Elapsed != 9.25 {
		t.Errorf("first byte %+v", e)
	}
	if e := rec.events[2]; e.Kind != balancer.EvAttemptEnded || e.Outcome != balancer.OK || e.Elapsed != 18.5 || !e.RequestEnded {
		t.Errorf("outcome %+v", e)
	}
	if e := rec.events[3]; e.Kind != balancer.EvProbeResult || e.Server != 0x2c9011f2 || e.Elapsed != 1.4 {
		t.Errorf("probe %+v", e)
	}
	if len(rec.stopped) != 1 || rec.stopped[0] != 3 {
		t.Errorf("stopped %v", rec.stopped)
	}
}

// TestMalformedFrames: a malformed frame causes an error that names the fault.
func TestMalformedFrames(t *testing.T) {
	valid := frame([][]byte{eventRecord(t, "0600 0500 192b6f0e")}, nil)
	for _, c := range []struct {
		name, want string
		raw        []byte
	}{
		{"short header", "batch header", valid[:10]},
		{"short body", "bytes missing", valid[:40]},
		{"no body", "bytes missing", valid[:batchHeaderSize]},
		{"records over length", "do not fit", append(append([]byte{}, valid[:16]...), append([]byte{9, 0, 0, 0}, valid[20:]...)...)},
		{"huge length", "over the limit", decodeHex(t, "01000000 ffffffff 00000000206ec040 00000000")},
		{"clock", "clock NaN is not a finite number", decodeHex(t, "01000000 00000000 000000000000f87f 00000000")},
		{"event code", "event code 99", frame([][]byte{eventRecord(t, "6300 0300")}, nil)},
		{"outcome", "outcome 7", frame([][]byte{eventRecord(t, "0500 0300 c4913a5d 07")}, nil)},
		{"list kind", "list kind 9", frame([][]byte{eventRecord(t, "0200 0300 00000000 00000000 09")}, nil)},
		{"unknown list", "list 5 is not defined", frame([][]byte{eventRecord(t, "0200 0300 05000000 00000000 03")}, nil)},
		{"list number", "list number 16", frame([][]byte{eventRecord(t, "0b00 10000000 00000000 00000000")}, nil)},
		{"list outside", "outside the tail", frame([][]byte{eventRecord(t, "0b00 00000000 00000000 ffffffff")}, nil)},
		{"settings outside", "outside the tail", frame([][]byte{eventRecord(t, "0100 0300 0000000000000000 ffffffff 02000000")}, nil)},
		{"server state", "state 3", frame([][]byte{eventRecord(t, "0b00 00000000 00000000 01000000")},
			append([]byte{0, 0, 0, 0, 0, 0, 0, 0, 0, 3}, make([]byte, 12)...))},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := deliver(t, c.raw)
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Fatalf("error %v, want one with %q", err, c.want)
			}
			if errors.Is(err, io.EOF) {
				t.Errorf("error %v is io.EOF, which means a regular end of input", err)
			}
		})
	}
}

func TestEndOfInputBetweenBatches(t *testing.T) {
	if _, err := new(Decoder).Read(bytes.NewReader(nil)); !errors.Is(err, io.EOF) || err.Error() != io.EOF.Error() {
		t.Errorf("error %v, want io.EOF itself", err)
	}
}

func FuzzDecoder(f *testing.F) {
	record := make([]byte, eventSize)
	for code := byte(0); code < 13; code++ {
		record[0] = code
		f.Add(frame([][]byte{append([]byte(nil), record...)}, make([]byte, 2*entrySize)))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var d Decoder
		var rec recorder
		in := bytes.NewReader(raw)
		for {
			b, err := d.Read(in)
			if err != nil {
				return
			}
			if len(b.body) > len(raw) {
				t.Fatalf("body of %d bytes from an input of %d bytes", len(b.body), len(raw))
			}
			if d.Deliver(b, &rec) != nil {
				return
			}
		}
	})
}

func TestParseSettings(t *testing.T) {
	text := `{"goal": {"whole": 0.6, "worstWindow": 0.2, "worstClass": 0.2}, "balancers": 4, "rank": 2, "stage": 1, "stages": ["a", "b"], "locality": 1, "news": [1],
		"membershipMode": "on_request", "worthBy": "work",
		"classes": [{"aim": 640.0, "dedupWindow": 2000.0, "effect": "idempotency_key", "giveUp": 1600.0, "group": "zone"},
			{"aim": 1, "giveUp": 2, "worth": 0}],
		"parties": [{"name": "t", "quotaPerS": 94.0}], "limits": {"maxAttempts": 3, "cancel": true, "connIdle": 5000.0, "streamsPerConn": 7},
		"safety": {"drainClose": 1500.0, "budgetFree": 2, "repeatRatio": 0.15, "lookBack": 9000.0, "askEvery": 10000.0, "coldFrom": 0.17, "rampTime": 22000.0}}`
	set, err := ParseSettings([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	c := set.Classes[0]
	if c.Effect != balancer.Keyed || c.DedupGroup != balancer.DedupZone || c.DedupWindow != 2000 || c.PriorityWeight != 1 {
		t.Errorf("class %+v", c)
	}
	if d := set.Classes[1]; d.Effect != balancer.Unsafe || d.PriorityWeight != 0 {
		t.Errorf("an absent effect must be read as unsafe, and a priority weight of 0 kept: %+v", d)
	}
	if set.Replicas != 4 || set.Rank != 2 || set.Tier != 1 || set.Tiers != 2 || set.Zone != 1 ||
		!set.PollsList || !set.WeightByWork || set.OverQuotaShare != 1 || set.WorstClassWeight != 0.25 || set.Tenants[0].Quota != 94 ||
		set.Limits.MaxAttempts != 3 || set.Safety.SlowStartTime != 22000 || set.Safety.ListInterval != 10000 {
		t.Errorf("settings %+v", set)
	}
	f := set.Safety
	if f.DrainCloseTime != 1500 || f.RetryBudgetMin != 2 || f.RetryBudgetShare != 0.15 || f.RetryBudgetWindow != 9000 ||
		set.Limits.ConnIdleTimeout != 5000 || set.Limits.StreamsPerConn != 7 {
		t.Errorf("safety %+v, limits %+v", f, set.Limits)
	}
	for _, bad := range []string{`{`, `{"classes": 3}`, `{"classes": [{"effect": "maybe"}]}`,
		`{"classes": [{"effect": "read_like", "group": "galaxy"}]}`} {
		if _, err := ParseSettings([]byte(bad)); err == nil || !strings.HasPrefix(err.Error(), "settings: ") {
			t.Errorf("%s: error %v", bad, err)
		}
	}
}
