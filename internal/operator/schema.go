// Package operator reads and checks the operator file: listeners, pools, routes and limits of one sidecar, in TOML v1.0.0.
//
// load.go reads a file, document.go decodes it, bind.go fills the structs of schema.go after defaults.go has set the defaults, the
// check files check each table, and route_table.go and check_sites.go compile routes and sites. A file is loaded completely or not
// at all; every error is reported with file, line and field. The fields have the names of the file's keys.
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

// Limits bound the resources that the process may use.
type Limits struct {
	Memory  Size     `toml:"memory"`
	Sockets int      `toml:"sockets"` // file descriptors
	Cores   int      `toml:"cores"`
	Drain   Duration `toml:"drain"`   // time from SIGTERM until the remaining requests are aborted
	Streams int      `toml:"streams"` // gRPC calls open at once; 0 for the number that fits into the memory if each call uses callMemory
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

// Context configures this sidecar's part in call trees over several tiers (package budget). It is off without an id.
type Context struct {
	ID      string  `toml:"id"`      // unique among the sidecars that a call can pass through
	Retries int     `toml:"retries"` // attempts beyond the first of each call, in all tiers, that a request from outside may cause
	Sample  float64 `toml:"sample"`  // share of these requests whose attempts are traced
	Trace   string  `toml:"trace"`   // file that the traces are written to
}

// State says where data that must survive a restart is stored. It is off without a path. It takes effect at the start of the
// process, not on a reload.
type State struct {
	Path  string   `toml:"path"`  // folder that only this instance uses, on persistent storage
	Every Duration `toml:"every"` // time between two snapshots of the learned state of the pools
}

// Members says how this instance finds the other replicas of its fleet (package gossip). It is off without an address to listen
// on. It takes effect at the start of the process, not on a reload.
type Members struct {
	Listen  string   `toml:"listen"`  // host:port for UDP and TCP, at which the other members reach this one
	Name    string   `toml:"name"`    // unique in the fleet; the name of the file if empty
	Cluster string   `toml:"cluster"` // messages from members of other clusters are ignored
	Seeds   []string `toml:"seeds"`   // host:port of some members
	Keys    []string `toml:"keys"`    // base64 of 16, 24 or 32 bytes: the first one encrypts, all of them decrypt
	Copies  int      `toml:"copies"`  // expected number of replicas; it and the rank are used until the members are in contact
	Rank    int      `toml:"rank"`
	Probe   Duration `toml:"probe"` // time between two probes of other members
	Bytes   Size     `toml:"bytes"` // most bytes per second that this instance sends to other members
}

// Listener is one address at which requests are accepted.
type Listener struct {
	Name        string `toml:"name"`
	Address     string `toml:"address"`     // host:port; port 0 for any free one
	Front       string `toml:"front"`       // HTTP, GRPC or Auto
	MaxBody     Size   `toml:"max_body"`    // of an HTTP request, or of a gRPC message
	Streams     int    `toml:"streams"`     // gRPC calls on one client connection
	Certificate string `toml:"certificate"` // PEM file; if set, the listener uses TLS
	Key         string `toml:"key"`
	// Inner is set for a listener with internal clients: the contexts in their requests are accepted, with a priority weight of up to
	// MaxWorth.
	Inner    bool    `toml:"inner"`
	MaxWorth float64 `toml:"max_worth"`
}

// The fronts of a listener, and the protocols of a pool.
const (
	HTTP = "http" // HTTP/1.1
	GRPC = "grpc" // gRPC over HTTP/2
	Auto = "auto" // HTTP and GRPC on one port; for listeners only
)

// Pool is a set of servers with one decision module of its own.
type Pool struct {
	Name           string   `toml:"name"`
	Protocol       string   `toml:"protocol"`   // HTTP or GRPC
	Streams        int      `toml:"streams"`    // gRPC: calls on one connection; the server may allow fewer
	PingAfter      Duration `toml:"ping_after"` // gRPC: a connection with calls is pinged after this time without traffic
	NotRun         string   `toml:"not_run"`    // gRPC: metadata; "1" in a trailers-only response means that the call was not run
	Leaf           bool     `toml:"leaf"`       // its servers make no calls through sidecars, so they get no share of a tree's retries
	Attempts       int      `toml:"attempts"`   // of one request, the first included
	ConnectTimeout Duration `toml:"connect_timeout"`
	IdleTimeout    Duration `toml:"idle_timeout"` // how long servers keep an idle connection open
	StreamTime     Duration `toml:"stream_time"`  // longest time for a streamed body in either direction
	StreamIdle     Duration `toml:"stream_idle"`  // longest time between two parts of a streamed body
	DrainGrace     Duration `toml:"drain_grace"`
	ColdFrom       float64  `toml:"cold_from"`   // share of its capacity that a server has at its start, at least (slow start)
	Ramp           Duration `toml:"ramp"`        // time after which it has all of its capacity, at the latest
	RetryShare     float64  `toml:"retry_share"` // with a retry_window all attempts but the first are counted
	RetryFree      int      `toml:"retry_free"`  // retries that are allowed within any retry_window
	RetryWindow    Duration `toml:"retry_window"`
	Connections    Share    `toml:"connections"`
	Copies         int      `toml:"copies"`
	Rank           int      `toml:"rank"`
	ByMembers      bool     `toml:"by_members"` // copies and rank are those that the members agree on, once there are members
	Allot          bool     `toml:"allot"`      // in an overload all members admit the same requests, by priority weight per work
	Zone           string   `toml:"zone"`
	Zones          []string `toml:"zones"`
	Classes        []Class  `toml:"class"`
	Tenants        []Tenant `toml:"tenant"`
	Source         Source   `toml:"source"`
	Servers        []Server `toml:"server"`
	Levels         []Level  `toml:"level"`        // of reduced service, the mildest first
	LevelWindow    Duration `toml:"level_window"` // time over which the signals of the levels are measured
	Subset         int      `toml:"subset"`       // minimum number of servers that this replica sends to; 0 for all
	SubsetSpare    int      `toml:"subset_spare"` // neighbors by rank that may fail without leaving a server unused
	LevelCaller    string   `toml:"level_caller"` // header that identifies a caller for the levels; by default its address
}

// Share is a pool's share of the connections to servers.
type Share struct {
	Least  int     `toml:"least"`  // guaranteed connections, whatever other pools use
	Weight float64 `toml:"weight"` // weight of the pool when the remaining connections are divided
}

// Class is one kind of request to a pool.
type Class struct {
	Name   string   `toml:"name"`
	Aim    Duration `toml:"aim"`        // latency target
	GiveUp Duration `toml:"give_up"`    // timeout of a request
	Worth  float64  `toml:"worth"`      // priority weight
	Late   float64  `toml:"late_worth"` // share of the priority weight that a response after the target has
	Effect string   `toml:"effect"`     // safe, keyed or unsafe
	Group  string   `toml:"group"`      // keyed class: all, zone or cell
	Window Duration `toml:"window"`     // keyed class: how long servers drop repeats
	Key    string   `toml:"key"`        // keyed class: header or metadata that holds the key
	Stream bool     `toml:"stream"`     // gRPC: calls are forwarded once their headers are received, and may last for the pool's stream_time
}

// KeyName returns the header or metadata that holds the key of a keyed class.
func (c *Class) KeyName() string {
	if c.Key == "" {
		return "Idempotency-Key"
	}
	return c.Key
}

// Tenant is one of several users that share a pool.
type Tenant struct {
	Name  string  `toml:"name"`
	Quota float64 `toml:"quota"` // requests per second over all replicas; 0 for no quota
}

// Source says where the servers of a pool are listed.
type Source struct {
	Type    string   `toml:"type"` // SourceStatic, SourceFile or SourceDiscovery
	Path    string   `toml:"path"`
	Address string   `toml:"address"`
	Every   Duration `toml:"every"` // time between two reads of a file
}

// The types of a source.
const (
	SourceStatic    = "static" // the servers are listed in the operator file
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
	ID      string  `toml:"id"` // the address if absent
	Address string  `toml:"address"`
	Zone    string  `toml:"zone"`
	Cell    int     `toml:"cell"`
	State   string  `toml:"state"` // ServerReady or ServerDraining
	Weight  float64 `toml:"weight"`
	Backup  bool    `toml:"backup"`  // gets requests only while no other server can take them
	Started string  `toml:"started"` // time of the last start, RFC 3339; "" for long ago
}

// Route sends requests to a pool with a class, or answers them with a fixed status.
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

// Condition is a condition on a header or a query parameter.
type Condition struct {
	Name    string `toml:"name"`
	Value   string `toml:"value"`
	Present *bool  `toml:"present"` // instead of a value
}
