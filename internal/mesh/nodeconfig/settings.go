// Package nodeconfig reads the settings of a process from a file of key=value lines, whose path is in
// the environment variable MILLETMAST_NODE_FILE.
package nodeconfig

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

	"milletmast/internal/decimal"
)

// PathVariable is the environment variable that holds the path of the settings file.
const PathVariable = "MILLETMAST_NODE_FILE"

// maxFileBytes bounds the settings file.
const maxFileBytes = 1 << 20

// The largest numbers that the file may give.
var (
	maxNumber = decimal.FromInt(1e12) // of a field
	maxBound  = decimal.FromInt(1e9)  // of an entry of the field "bounds"
)

var (
	space = errorx.NewNamespace("nodeconfig")
	// Unreadable is the type of errors of a settings file that cannot be read at all.
	Unreadable = space.NewType("unreadable")
	// Invalid is the type of errors of a field; each names the file, the line and the field.
	Invalid = space.NewType("invalid")
)

// Bounds are the bounds that the platform sets on times and ratios.
type Bounds struct {
	SeedLag, AddressReuse, Contact, Ack, CatchUp, Drain, Grace, LossSlack, Converge, RegressSlack, Skew time.Duration
	RetryWindow, Evacuate, Recovery                                                                     time.Duration
	RetryRatio, RetrySlack, WarmupExcess, WarmupSlack                                                   float64
}

// The bounds at which the time constants of the mesh's own protocols are not scaled.
const (
	defaultContact  = 3 * time.Second
	defaultCatchUp  = 4 * time.Second
	defaultConverge = 2 * time.Second
	minTimeScale    = 0.2 // round trips and disk syncs do not scale with the bounds
)

// TimeScale returns the factor for all time constants of the mesh's own protocols (timeouts,
// heartbeats, intervals), below 1 where the bounds leave less time than the default ones for
// contact, catching up, or convergence of a configuration. A bound of 0 counts as not given.
func (b *Bounds) TimeScale() float64 {
	scale := 1.0
	bounds := []struct{ given, standard time.Duration }{
		{b.Contact, defaultContact},
		{b.CatchUp, defaultCatchUp},
		{b.Converge, defaultConverge},
	}
	for _, bound := range bounds {
		if bound.given > 0 {
			scale = min(scale, float64(bound.given)/float64(bound.standard))
		}
	}
	return max(scale, minTimeScale)
}

// Scale scales a time constant by TimeScale.
func (b *Bounds) Scale(d time.Duration) time.Duration {
	return time.Duration(b.TimeScale() * float64(d))
}

// Settings are the settings of a process.
type Settings struct {
	Path                                  string
	Node, Role, Class, IP, Zone, Region   string
	Zones                                 map[string]string // region by zone
	Inbound, Outbound, Readiness, Control string            // addresses; empty where the role serves none
	PortFrom, PortTo                      int
	Seeds                                 []string
	Bootstrap, InQuorum                   bool
	CPU                                   float64 // share of a core
	MemoryMB, Descriptors                 int
	StateDir                              string
	Heartbeat                             time.Duration
	LocalApp, Target                      string
	FaultBudgetMachines, FaultBudgetZones int
	Bounds                                Bounds
}

// Load reads the settings file that the environment names.
func Load() (*Settings, error) {
	path := os.Getenv(PathVariable)
	if path == "" {
		return nil, Unreadable.New("%s is not set", PathVariable)
	}
	return LoadFile(path)
}

// LoadFile reads a settings file. Unknown fields are ignored; the error lists every field that is
// wrong.
func LoadFile(path string) (*Settings, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, Unreadable.Wrap(err, "%s", path)
	}
	if info.Size() > maxFileBytes {
		return nil, Unreadable.New("%s: the file has %d bytes, above the limit of %d", path, info.Size(), maxFileBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, Unreadable.Wrap(err, "%s", path)
	}
	return Parse(path, text)
}

// Parse parses the text of a settings file; path is used in errors only.
func Parse(path string, text []byte) (*Settings, error) {
	loader := properties.Loader{Encoding: properties.UTF8, DisableExpansion: true}
	p, err := loader.LoadBytes(text)
	if err != nil {
		return nil, Unreadable.Wrap(err, "%s", path)
	}
	r := reader{path: path, text: string(text), values: p.Map()}
	s := &Settings{
		Path: path, Node: r.required("node"), Role: r.values["role"], Class: r.values["machine_class"],
		IP: r.required("ip"), Zone: r.required("zone"), Region: r.values["region"], Zones: map[string]string{},
		Inbound: r.address("bind.inbound"), Outbound: r.address("bind.outbound"), Readiness: r.address("bind.readiness"),
		Control: r.address("bind.control"), Seeds: r.list("seeds"), Bootstrap: r.boolean("bootstrap"), InQuorum: r.boolean("in_quorum"),
		CPU: r.number("limits.cpu_share", "1").Float64(), MemoryMB: r.integer("limits.memory_mb", "256"),
		Descriptors: r.integer("limits.file_descriptors", "1024"), StateDir: r.values["state_dir"],
		Heartbeat: r.seconds("heartbeat_s", "1.5"), LocalApp: r.address("local_app"), Target: r.values["target"],
		FaultBudgetMachines: r.integer("fault_budget.machines", "1"), FaultBudgetZones: r.integer("fault_budget.zones", "0"),
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
		r.addError("ephemeral_ports", "%q is not the first and the last port of a range, such as 7620,7635", r.values["ephemeral_ports"])
	}
	if _, err := netip.ParseAddr(s.IP); err != nil && s.IP != "" {
		r.addError("ip", "is no address: %q", s.IP)
	}
	for _, seed := range s.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			r.addError("seeds", "%q is no address and port", seed)
		}
	}
	r.bounds(&s.Bounds)
	if len(r.errs) > 0 {
		return nil, Invalid.New("%s", errors.Join(r.errs...).Error())
	}
	return s, nil
}

// reader reads the fields of the file and collects errors.
type reader struct {
	path, text string
	values     map[string]string
	errs       []error
}

// addError adds an error about a field, with its line.
func (r *reader) addError(field, format string, args ...any) {
	line := 0
	for i, l := range strings.Split(r.text, "\n") {
		if name, _, ok := strings.Cut(l, "="); ok && strings.TrimSpace(name) == field {
			line = i + 1 // the last line of a field is the one in use
		}
	}
	r.errs = append(r.errs, fmt.Errorf("%s:%d: %s: %s", r.path, line, field, fmt.Sprintf(format, args...)))
}

func (r *reader) required(field string) string {
	v := r.values[field]
	if v == "" {
		r.addError(field, "is missing")
	}
	return v
}

func (r *reader) address(field string) string {
	v := r.values[field]
	if v == "" {
		return ""
	}
	if _, err := netip.ParseAddrPort(v); err != nil {
		r.addError(field, "%q is no address and port", v)
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

func (r *reader) boolean(field string) bool {
	v, ok := r.values[field]
	if !ok {
		return false
	}
	b, err := strconv.ParseBool(v)
	if err != nil {
		r.addError(field, "%q is neither true nor false", v)
	}
	return b
}

// number returns the number of a field, or that of the fallback text if the field is not given.
func (r *reader) number(field, fallback string) decimal.Number {
	text, ok := r.values[field]
	if !ok {
		text = fallback
	}
	n, ok := parseNumber(text, maxNumber)
	if !ok {
		r.addError(field, "%q is not a number from 0 to 1e12", text)
	}
	return n
}

// parseNumber parses a decimal number; ok is false if it is not one from 0 to limit.
func parseNumber(text string, limit decimal.Number) (n decimal.Number, ok bool) {
	n, err := decimal.Parse(text)
	return n, err == nil && n.Sign() >= 0 && n.Compare(limit) <= 0
}

// integer is like number, without the fraction.
func (r *reader) integer(field, fallback string) int { return int(r.number(field, fallback).Int64()) }

func (r *reader) seconds(field, fallback string) time.Duration {
	return r.number(field, fallback).Duration(time.Second)
}

func (r *reader) port(field, text string) int {
	n, err := strconv.ParseUint(text, 10, 16)
	if err != nil {
		r.addError(field, "%q is not a port from 0 to 65535", text)
	}
	return int(n)
}

// bounds reads the bounds; those that are not given have defaults.
func (r *reader) bounds(b *Bounds) {
	given := map[string]string{}
	for _, text := range r.list("bounds") {
		name, value, ok := strings.Cut(text, "=")
		if !ok {
			r.addError("bounds", "%q is not of the form name=value", text)
		}
		given[name] = value
	}
	number := func(name, fallback string) decimal.Number {
		text, ok := given[name]
		if !ok {
			text = fallback
		}
		n, ok := parseNumber(text, maxBound)
		if !ok {
			r.addError("bounds", "%s: %q is not a number from 0 to 1e9", name, text)
		}
		return n
	}
	for name, bound := range map[string]struct {
		to       *time.Duration
		fallback string // seconds
	}{
		"seed_lag_s": {&b.SeedLag, "3"}, "address_reuse_s": {&b.AddressReuse, "2"}, "contact_s": {&b.Contact, "3"}, "ack_s": {&b.Ack, "4"},
		"catch_up_s": {&b.CatchUp, "4"}, "drain_s": {&b.Drain, "2"}, "grace_s": {&b.Grace, "6"}, "loss_slack_s": {&b.LossSlack, "0.2"},
		"config_converge_s": {&b.Converge, "2"}, "regress_slack_s": {&b.RegressSlack, "0.25"}, "skew_bound_s": {&b.Skew, "5"},
		"retry_window_s": {&b.RetryWindow, "10"}, "evacuate_s": {&b.Evacuate, "5"}, "recovery_s": {&b.Recovery, "15"},
	} {
		*bound.to = number(name, bound.fallback).Duration(time.Second)
	}
	b.RetryRatio, b.RetrySlack = number("retry_ratio", "0.1").Float64(), number("retry_slack", "10").Float64()
	b.WarmupExcess, b.WarmupSlack = number("warmup_excess", "1").Float64(), number("warmup_slack", "0").Float64()
}

// SeedIPs returns the IP addresses of the seeds.
func (s *Settings) SeedIPs() []string {
	var out []string
	for _, seed := range s.Seeds {
		if ip, _, err := net.SplitHostPort(seed); err == nil {
			out = append(out, ip)
		}
	}
	return out
}

// PeerAddr returns the address of a process of the mesh on a machine; index is that of its port.
func (s *Settings) PeerAddr(ip string, index int) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.Port(index)))
}

// Port returns the port for the mesh's own protocols with an index from 0.
func (s *Settings) Port(index int) int { return s.PortFrom + index }
