// Package berth reads what the platform tells a process: the settings file that MILLETMAST_NODE_FILE names.
package berth

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"github.com/magiconair/properties"
)

// Variable names the environment variable that holds the path of the settings file.
const Variable = "MILLETMAST_NODE_FILE"

// maxFile bounds the settings file in bytes.
const maxFile = 1 << 20

var (
	space = errorx.NewNamespace("berth")
	// Unreadable is the type of errors about a settings file that cannot be read at all.
	Unreadable = space.NewType("unreadable")
	// Invalid is the type of errors about a field; each names file, line and field.
	Invalid = space.NewType("invalid")
)

// Bounds are the figures of the rules in force.
type Bounds struct {
	SeedLag, AddressReuse, Contact, Ack, CatchUp, Drain, Grace, LossSlack, Converge, RegressSlack, Skew time.Duration
	RetryWindow, Evacuate, Recovery                                                                     time.Duration
	RetryRatio, RetrySlack, WarmupExcess, WarmupSlack                                                   float64
}

// The figures that the times of the system's own talk were chosen by.
const (
	usualContact  = 3 * time.Second
	usualCatchUp  = 4 * time.Second
	usualConverge = 2 * time.Second
	leastPace     = 0.2 // round trips and syncs do not get shorter
)

// Pace is the part that is left of all times of the system's own talk (silences, beats, looks, turns), where the bounds leave less time than
// the usual ones to be in touch again, to catch up, or to have a configuration everywhere: 1 at the most. A bound of 0 is not told.
func (b *Bounds) Pace() float64 {
	pace := 1.0
	for _, x := range []struct{ told, usual time.Duration }{{b.Contact, usualContact}, {b.CatchUp, usualCatchUp}, {b.Converge, usualConverge}} {
		if x.told > 0 {
			pace = min(pace, float64(x.told)/float64(x.usual))
		}
	}
	return max(pace, leastPace)
}

// Paced is a time of the system's own talk, by the pace.
func (b *Bounds) Paced(d time.Duration) time.Duration { return time.Duration(b.Pace() * float64(d)) }

// Settings is what one process is told.
type Settings struct {
	Path                                  string
	Node, Role, Class, IP, Zone, Region   string
	Zones                                 map[string]string // region of each
	Inbound, Outbound, Readiness, Control string            // addresses; "" where the role serves none
	PortFrom, PortTo                      int
	Seeds                                 []string
	Bootstrap, InQuorum                   bool
	CPU                                   float64 // share of a core
	MemoryMB, Descriptors                 int
	StateDir                              string
	Heartbeat                             time.Duration
	LocalApp, Target                      string
	LossMachines, LossZones               int
	Bounds                                Bounds
}

// Load reads the settings file that the environment names.
func Load() (*Settings, error) {
	path := os.Getenv(Variable)
	if path == "" {
		return nil, Unreadable.New("%s is not set", Variable)
	}
	return LoadFile(path)
}

// LoadFile reads a settings file. Unknown fields are left alone; the error names every field that is wrong.
func LoadFile(path string) (*Settings, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, Unreadable.Wrap(err, "%s", path)
	}
	if info.Size() > maxFile {
		return nil, Unreadable.New("%s: %d bytes are more than %d", path, info.Size(), maxFile)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, Unreadable.Wrap(err, "%s", path)
	}
	return Parse(path, text)
}

// Parse reads the text of a settings file; path is for errors only.
func Parse(path string, text []byte) (*Settings, error) {
	loader := properties.Loader{Encoding: properties.UTF8, DisableExpansion: true}
	p, err := loader.LoadBytes(text)
	if err != nil {
		return nil, Unreadable.Wrap(err, "%s", path)
	}
	r := reader{path: path, text: string(text), values: p.Map()}
	s := &Settings{
		Path: path, Node: r.need("node"), Role: r.values["role"], Class: r.values["machine_class"],
		IP: r.need("ip"), Zone: r.need("zone"), Region: r.values["region"], Zones: map[string]string{},
		Inbound: r.address("bind.inbound"), Outbound: r.address("bind.outbound"), Readiness: r.address("bind.readiness"),
		Control: r.address("bind.control"), Seeds: r.list("seeds"), Bootstrap: r.truth("bootstrap"), InQuorum: r.truth("in_quorum"),
		CPU: r.number("limits.cpu_share", 1), MemoryMB: int(r.number("limits.memory_mb", 256)),
		Descriptors: int(r.number("limits.file_descriptors", 1024)), StateDir: r.values["state_dir"],
		Heartbeat: r.seconds("heartbeat_s", 1.5), LocalApp: r.address("local_app"), Target: r.values["target"],
		LossMachines: int(r.number("fault_budget.machines", 1)), LossZones: int(r.number("fault_budget.zones", 0)),
	}
	for name, region := range r.values {
		if zone, ok := strings.CutPrefix(name, "zones."); ok {
			s.Zones[zone] = region
		}
	}
	ports := r.list("ephemeral_ports")
	if len(ports) == 2 {
		s.PortFrom, s.PortTo = r.port("ephemeral_ports", ports[0]), r.port("ephemeral_ports", ports[1])
	}
	if len(ports) != 2 || s.PortTo < s.PortFrom {
		r.wrong("ephemeral_ports", "two ports are needed, the first and the last")
	}
	if _, err := netip.ParseAddr(s.IP); err != nil && s.IP != "" {
		r.wrong("ip", "is no address")
	}
	for _, seed := range s.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			r.wrong("seeds", "%q is no address and port", seed)
		}
	}
	r.bounds(&s.Bounds)
	if len(r.errs) > 0 {
		return nil, Invalid.New("%s", errors.Join(r.errs...).Error())
	}
	return s, nil
}

// reader takes fields out of the file and notes what is wrong with them.
type reader struct {
	path, text string
	values     map[string]string
	errs       []error
}

// wrong notes an error about a field, with its line.
func (r *reader) wrong(field, format string, args ...any) {
	line := 0
	for i, l := range strings.Split(r.text, "\n") {
		if name, _, ok := strings.Cut(l, "="); ok && strings.TrimSpace(name) == field {
			line = i + 1 // the last one counts
		}
	}
	r.errs = append(r.errs, fmt.Errorf("%s:%d: %s: %s", r.path, line, field, fmt.Sprintf(format, args...)))
}

func (r *reader) need(field string) string {
	v := r.values[field]
	if v == "" {
		r.wrong(field, "is missing")
	}
	return v
}

func (r *reader) address(field string) string {
	v := r.values[field]
	if v == "" {
		return ""
	}
	if _, err := netip.ParseAddrPort(v); err != nil {
		r.wrong(field, "%q is no address and port", v)
	}
	return v
}

func (r *reader) list(field string) []string {
	var out []string
	for part := range strings.SplitSeq(r.values[field], ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}

func (r *reader) truth(field string) bool {
	v, ok := r.values[field]
	if !ok {
		return false
	}
	b, err := strconv.ParseBool(v)
	if err != nil {
		r.wrong(field, "%q is neither true nor false", v)
	}
	return b
}

func (r *reader) number(field string, otherwise float64) float64 {
	v, ok := r.values[field]
	if !ok {
		return otherwise
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || !(n >= 0) || n > 1e12 {
		r.wrong(field, "%q is no number", v)
	}
	return n
}

func (r *reader) seconds(field string, otherwise float64) time.Duration {
	return time.Duration(r.number(field, otherwise) * float64(time.Second))
}

func (r *reader) port(field, text string) int {
	n, err := strconv.ParseUint(text, 10, 16)
	if err != nil {
		r.wrong(field, "%q is no port", text)
	}
	return int(n)
}

// bounds reads the figures of the rules; those that are not told take the usual ones.
func (r *reader) bounds(b *Bounds) {
	told := map[string]string{}
	for _, text := range r.list("bounds") {
		name, value, ok := strings.Cut(text, "=")
		if !ok {
			r.wrong("bounds", "%q is not of the form name=value", text)
		}
		told[name] = value
	}
	figure := func(name string, otherwise float64) float64 {
		v, ok := told[name]
		if !ok {
			return otherwise
		}
		n, err := strconv.ParseFloat(v, 64)
		if err != nil || !(n >= 0) || n > 1e9 {
			r.wrong("bounds", "%s: %q is no number", name, v)
		}
		return n
	}
	for name, f := range map[string]struct {
		to        *time.Duration
		otherwise float64
	}{
		"seed_lag_s": {&b.SeedLag, 3}, "address_reuse_s": {&b.AddressReuse, 2}, "contact_s": {&b.Contact, 3}, "ack_s": {&b.Ack, 4},
		"catch_up_s": {&b.CatchUp, 4}, "drain_s": {&b.Drain, 2}, "grace_s": {&b.Grace, 6}, "loss_slack_s": {&b.LossSlack, 0.2},
		"config_converge_s": {&b.Converge, 2}, "regress_slack_s": {&b.RegressSlack, 0.25}, "skew_bound_s": {&b.Skew, 5},
		"retry_window_s": {&b.RetryWindow, 10}, "evacuate_s": {&b.Evacuate, 5}, "recovery_s": {&b.Recovery, 15},
	} {
		*f.to = time.Duration(figure(name, f.otherwise) * float64(time.Second))
	}
	b.RetryRatio, b.RetrySlack = figure("retry_ratio", 0.1), figure("retry_slack", 10)
	b.WarmupExcess, b.WarmupSlack = figure("warmup_excess", 1), figure("warmup_slack", 0)
}

// SeedIPs are the addresses of the machines that the seeds name.
func (s *Settings) SeedIPs() []string {
	var out []string
	for _, seed := range s.Seeds {
		if ip, _, err := net.SplitHostPort(seed); err == nil {
			out = append(out, ip)
		}
	}
	return out
}

// At is where a process of the system listens on a machine, by the place of its port.
func (s *Settings) At(ip string, place int) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.Port(place)))
}

// Port is one of the ports that processes of the system have for their own talk, by its place from 0.
func (s *Settings) Port(place int) int { return s.PortFrom + place }
