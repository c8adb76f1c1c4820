package operator

import (
	"time"
)

// Defaulter is a table of a file in which some keys have defaults other than the zero value.
type Defaulter interface{ SetDefaults() }

// SetDefaults sets the defaults of the table limits.
func (l *Limits) SetDefaults() {
	*l = Limits{Memory: 128 << 20, Sockets: 1024, Cores: 1, Drain: Duration(5 * time.Second)}
}

// SetDefaults sets the defaults of the table.
func (l *Listener) SetDefaults() {
	*l = Listener{Front: HTTP, MaxBody: 8 << 20, Streams: 100, MaxWorth: 100}
}

// SetDefaults sets the defaults of the table.
func (s *State) SetDefaults() { *s = State{Every: Duration(2 * time.Second)} }

// SetDefaults sets the defaults of the table.
func (c *Context) SetDefaults() { *c = Context{Retries: 2} }

// SetDefaults sets the defaults of the table.
func (m *Members) SetDefaults() {
	*m = Members{Copies: 1, Probe: Duration(time.Second), Bytes: 64 << 10}
}

// SetDefaults sets the defaults of the table.
func (s *Share) SetDefaults() { *s = Share{Least: 16, Weight: 1} }

// SetDefaults sets the defaults of the table.
func (c *Class) SetDefaults() { *c = Class{Worth: 1} }

// SetDefaults sets the defaults of the table.
func (s *Source) SetDefaults() {
	*s = Source{Type: SourceStatic, Every: Duration(250 * time.Millisecond)}
}

// SetDefaults sets the defaults of the table.
func (s *Server) SetDefaults() { *s = Server{State: ServerReady, Weight: 1} }

// SetDefaults sets the defaults of the table, including those of its connections and its source.
func (p *Pool) SetDefaults() {
	*p = Pool{
		Protocol: HTTP,
		Streams:  100,
		// A server of grpc-go closes connections that are pinged more often than every five minutes.
		PingAfter:      Duration(6 * time.Minute),
		Attempts:       3,
		ConnectTimeout: Duration(250 * time.Millisecond),
		IdleTimeout:    Duration(10 * time.Second),
		StreamTime:     Duration(time.Minute),
		StreamIdle:     Duration(10 * time.Second),
		DrainGrace:     Duration(500 * time.Millisecond),
		ColdFrom:       0.3,
		Ramp:           Duration(8 * time.Second),
		Copies:         1,
		LevelWindow:    Duration(time.Second),
		SubsetSpare:    1,
	}
	p.Connections.SetDefaults()
	p.Source.SetDefaults()
}

// SetDefaults sets the defaults of the table.
func (l *Level) SetDefaults() {
	*l = Level{
		For:   Duration(300 * time.Millisecond),
		Calm:  Duration(time.Second),
		Band:  0.3,
		Least: Duration(5 * time.Second),
		Off:   Duration(5 * time.Second),
		Ramp:  Duration(3 * time.Second),
	}
}

// SetDefaults sets the defaults of the table.
func (s *LevelShed) SetDefaults() { *s = LevelShed{Share: 1} }
