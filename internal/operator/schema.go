// Package operator reads and checks the operator file: listeners, pools, routes and limits of one sidecar, in TOML v1.0.0.
//
// The way of a file: load.go reads it, document.go decodes it, bind.go fills the structs of schema.go over the values of
// defaults.go, the check files check each table, and route_table.go and check_sites.go compile routes and sites. A file is
// loaded whole or not at all; every fault is reported with file, line and field. The fields have the names of the file's keys.
package operator

// File is the whole operator file.
type File struct {
	Name      string     `toml:"name"`
	Limits    Limits     `toml:"limits"`
	Context   Context    `toml:"context"`
	Members   Members    `toml:"members"`
	State     State      `toml:"state"`
	Listeners []Listener `toml:"listener"`
	Pools     []Pool     `toml:"pool"`
	Routes    []Route    `toml:"route"`
	Sites     []Site     `toml:"site"`
}

// Limits are what the whole process may use.
type Limits struct {
	Memory  Size     `toml:"memory"`
	Sockets int      `toml:"sockets"` // file descriptors
	Cores   int      `toml:"cores"`
	Drain   Duration `toml:"drain"`   // from SIGTERM until what is left is given up
	Streams int      `toml:"streams"` // gRPC calls open at once; 0 for as many as the memory holds at their worst
}

// callMemory is the most memory that a gRPC call holds, in bytes: the data of both directions that has not been read.
const callMemory = 128 << 10

// MaxCalls returns the number of gRPC calls that may be open at once.
func (l *Limits) MaxCalls() int {
	if l.Streams > 0 {
		return l.Streams
	}
	return int(l.Memory / callMemory)
}

// Context is this sidecar's part in trees of calls over several tiers (package budget). It is off without an id.
type Context struct {
	ID      string  `toml:"id"`      // unique among the sidecars that a call can pass
	Retries int     `toml:"retries"` // attempts beyond the first of each call, in all tiers, that a request of the outside may cause
	Sample  float64 `toml:"sample"`  // share of these requests whose attempts are traced
	Trace   string  `toml:"trace"`   // the file for that
}

// State is where what must survive a restart is kept. It is off without a path. It counts from the start on, not from a reload.
type State struct {
	Path  string   `toml:"path"`  // a folder of this instance alone, on a disk that lasts
	Every Duration `toml:"every"` // between two snapshots of what pools have learned
}

// Members says how this instance meets the other copies of its fleet (package gossip). It is off without an address to listen at. It counts
// from the start on, not from a reload.
type Members struct {
	Listen  string   `toml:"listen"`  // host:port, of UDP and TCP, where the others reach it
	Name    string   `toml:"name"`    // unique in the fleet; the file's without one
	Cluster string   `toml:"cluster"` // members of other clusters are not heard
	Seeds   []string `toml:"seeds"`   // host:port of some members
	Keys    []string `toml:"keys"`    // base64 of 16, 24 or 32 bytes: the first is sent with, all are understood
	Copies  int      `toml:"copies"`  // how many are to be expected, and this one's rank, until they are seen
	Rank    int      `toml:"rank"`
	Probe   Duration `toml:"probe"` // between two probes of others
	Bytes   Size     `toml:"bytes"` // a second, that this instance sends others at most
}

// Listener is one address at which requests are taken.
type Listener struct {
	Name        string `toml:"name"`
	Address     string `toml:"address"`     // host:port; port 0 for any free one
	Front       string `toml:"front"`       // HTTP, GRPC or Auto
	MaxBody     Size   `toml:"max_body"`    // of a request, or of a message of gRPC
	Streams     int    `toml:"streams"`     // gRPC calls on one connection of a caller
	Certificate string `toml:"certificate"` // a file in PEM; with one the listener speaks TLS
	Key         string `toml:"key"`
	// Of a listener whose callers are inside: the contexts that they bring are believed, up to a worth.
	Inner    bool    `toml:"inner"`
	MaxWorth float64 `toml:"max_worth"`
}

// The fronts of a listener, and the protocols of a pool.
const (
	HTTP = "http" // HTTP/1.1
	GRPC = "grpc" // gRPC over HTTP/2
	Auto = "auto" // both on one port; of a listener only
)

// Pool is a set of servers with one decision module of its own.
type Pool struct {
	Name           string   `toml:"name"`
	Protocol       string   `toml:"protocol"`   // HTTP or GRPC
	Streams        int      `toml:"streams"`    // gRPC: calls on one connection, and no more than the server allows
	PingAfter      Duration `toml:"ping_after"` // gRPC: a connection with calls is pinged after so long without traffic
	NotRun         string   `toml:"not_run"`    // gRPC: metadata whose "1" in a trailers-only answer says that nothing ran
	Leaf           bool     `toml:"leaf"`       // its servers call no others through sidecars: a tree's retries are not handed to them
	Attempts       int      `toml:"attempts"`   // of one request, the first included
	ConnectTimeout Duration `toml:"connect_timeout"`
	IdleTimeout    Duration `toml:"idle_timeout"` // how long servers keep an idle connection open
	StreamTime     Duration `toml:"stream_time"`  // for a streamed body, either way, as a whole
	StreamIdle     Duration `toml:"stream_idle"`  // and between two of its parts
	DrainGrace     Duration `toml:"drain_grace"`
	ColdFrom       float64  `toml:"cold_from"`
	Ramp           Duration `toml:"ramp"`
	RetryShare     float64  `toml:"retry_share"` // with a retry_window all attempts but the first are counted
	RetryFree      int      `toml:"retry_free"`
	RetryWindow    Duration `toml:"retry_window"`
	Connections    Share    `toml:"connections"`
	Copies         int      `toml:"copies"`
	Rank           int      `toml:"rank"`
	ByMembers      bool     `toml:"by_members"` // copies and rank are those that the members agree on, once there are any
	Allot          bool     `toml:"allot"`      // in an overload all members admit the same requests, by worth for work
	Zone           string   `toml:"zone"`
	Zones          []string `toml:"zones"`
	Classes        []Class  `toml:"class"`
	Tenants        []Tenant `toml:"tenant"`
	Source         Source   `toml:"source"`
	Servers        []Server `toml:"server"`
	Levels         []Level  `toml:"level"`        // of reduced service, the mildest first
	LevelWindow    Duration `toml:"level_window"` // over which their signals are taken
	Subset         int      `toml:"subset"`       // servers that this copy sends to, at least; 0 for all
	SubsetSpare    int      `toml:"subset_spare"` // neighbours by rank that may be gone without leaving a server to no copy
	LevelCaller    string   `toml:"level_caller"` // the header that names a caller to them; its address where that is absent
}

// Share is a pool's share of the connections to servers.
type Share struct {
	Least  int     `toml:"least"`  // guaranteed, whatever other pools use
	Weight float64 `toml:"weight"` // of the rest it has a share by this weight
}

// Class is one kind of request to a pool.
type Class struct {
	Name   string   `toml:"name"`
	Aim    Duration `toml:"aim"`
	GiveUp Duration `toml:"give_up"`
	Worth  float64  `toml:"worth"`
	Late   float64  `toml:"late_worth"`
	Effect string   `toml:"effect"` // safe, keyed or unsafe
	Group  string   `toml:"group"`  // of a keyed class: all, zone or cell
	Window Duration `toml:"window"` // of a keyed class
	Key    string   `toml:"key"`    // of a keyed class: the header or metadata that holds the key
	Stream bool     `toml:"stream"` // gRPC: calls are sent on at their head, and may last for the pool's stream_time
}

// KeyName returns the header or metadata that holds the key of a keyed class.
func (c *Class) KeyName() string {
	if c.Key == "" {
		return "Idempotency-Key"
	}
	return c.Key
}

// Tenant is one of those who share a pool.
type Tenant struct {
	Name  string  `toml:"name"`
	Quota float64 `toml:"quota"` // requests a second over all copies; 0 for none
}

// Source says where the servers of a pool are listed.
type Source struct {
	Type    string   `toml:"type"` // SourceStatic, SourceFile or SourceDiscovery
	Path    string   `toml:"path"`
	Address string   `toml:"address"`
	Every   Duration `toml:"every"` // between two reads of a file
}

// The types of a source.
const (
	SourceStatic    = "static" // the servers stand in the operator file
	SourceFile      = "file"
	SourceDiscovery = "discovery"
)

// The states of a server.
const (
	ServerReady    = "ready"
	ServerDraining = "draining"
)

// Server is one server of a static list or of a server file.
type Server struct {
	ID      string  `toml:"id"` // its address if absent
	Address string  `toml:"address"`
	Zone    string  `toml:"zone"`
	Cell    int     `toml:"cell"`
	State   string  `toml:"state"` // ServerReady or ServerDraining
	Weight  float64 `toml:"weight"`
	Backup  bool    `toml:"backup"`  // it gets requests only while no other server can take them
	Started string  `toml:"started"` // RFC 3339; "" for long ago
}

// Route sends requests to a class of a pool, or answers them.
type Route struct {
	Name          string      `toml:"name"`
	Listeners     []string    `toml:"listeners"` // none for all
	Host          string      `toml:"host"`
	Exact         string      `toml:"exact"`
	Prefix        string      `toml:"prefix"`
	Regex         string      `toml:"regex"`
	Methods       []string    `toml:"methods"`
	Headers       []Condition `toml:"headers"`
	Query         []Condition `toml:"query"`
	Priority      int         `toml:"priority"`
	Pool          string      `toml:"pool"`
	Class         string      `toml:"class"`
	StripPrefix   bool        `toml:"strip_prefix"`
	ReplacePrefix string      `toml:"replace_prefix"`
	Status        int         `toml:"status"`
	Body          string      `toml:"body"`
	Redirect      string      `toml:"redirect"`
}

// Condition is one on a header or a query parameter.
type Condition struct {
	Name    string `toml:"name"`
	Value   string `toml:"value"`
	Present *bool  `toml:"present"` // instead of a value
}
