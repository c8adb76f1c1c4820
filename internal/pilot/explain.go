package pilot

import (
	"context"
	"fmt"
	"io"
	"net"
	"text/tabwriter"
	"time"

	"whinknot/internal/shore"
	"whinknot/internal/signal"
	"whinknot/internal/story"
)

const (
	storyEvents = 4096 // remembered; a request makes two to six
	talkSilence = 4 * time.Second
)

// Talk is what is said to a pilot: a question of operators, or what another pilot goes by.
type Talk struct {
	Question *Question
	Gossip   *Gossip
}

// Question is what a pilot is asked: how things are, and the story of a request if one is named.
type Question struct{ Request string }

// Status is how things are at a pilot.
type Status struct {
	Node, Zone      string
	Version         uint64
	Ready           bool
	Standing        string   // by whose word it goes by what was ordered: waiting, uncertain or certain
	Lighthouses     []string // that it is connected to
	Endpoint        string
	EndpointState   string
	Inside, Waiting int // requests at the endpoint and at its gate
	Slots           int
	Services        []ServiceStatus
	Story           []story.Event
}

// ServiceStatus is one service, as this pilot sends to it.
type ServiceStatus struct {
	Name  string
	Lives []LifeStatus
}

// LifeStatus is one endpoint.
type LifeStatus struct {
	ID, Zone string
	Takes    bool
}

// answerTalk answers on one connection: other pilots, or a question of operators.
func (p *Pilot) answerTalk(raw net.Conn) {
	conn, err := signal.New(p.ctx, raw, talkSilence)
	if err != nil {
		return
	}
	defer conn.Close()
	for {
		var t Talk
		if conn.Receive(&t) != nil {
			return
		}
		switch {
		case t.Question != nil:
			p.answer(conn, t.Question)
			return
		case t.Gossip != nil:
			g, ok := shore.Ask(p.loop, func() *Gossip { return p.reply(t.Gossip) })
			if !ok || conn.Send(g) != nil {
				return
			}
		default:
			return
		}
	}
}

// answer answers a question.
func (p *Pilot) answer(conn *signal.Conn, q *Question) {
	s, ok := shore.Ask(p.loop, p.status)
	if !ok {
		return
	}
	if q.Request != "" {
		s.Story = p.story.Of(q.Request)
	}
	conn.Send(s)
}

// status tells how things are. It runs in the loop.
func (p *Pilot) status() *Status {
	_, version := p.room.Config()
	s := &Status{Node: p.s.Node, Zone: p.s.Zone, Version: version, Ready: !p.leaving.Load() && p.view.Load().chart != nil, Standing: p.room.Standing().String()}
	for ip, k := range p.links.active {
		if k.conn != nil {
			s.Lighthouses = append(s.Lighthouses, ip)
		}
	}
	p.quay.mu.Lock()
	state, life := p.quay.gate.State()
	s.Endpoint, s.EndpointState = life, state.String()
	s.Inside, s.Waiting, s.Slots = p.quay.gate.Inside(), p.quay.gate.Waiting(), p.quay.gate.Capacity()
	p.quay.mu.Unlock()
	for name, f := range p.fairway {
		v := ServiceStatus{Name: name}
		f.mu.Lock()
		for _, b := range f.berths {
			v.Lives = append(v.Lives, LifeStatus{b.Name, b.Zone, !b.Draining})
		}
		f.mu.Unlock()
		s.Services = append(s.Services, v)
	}
	return s
}

// Ask asks a pilot.
func Ask(addr string, q Question, within time.Duration) (*Status, error) {
	var s Status
	return &s, signal.Query(context.Background(), addr, within, &Talk{Question: &q}, &s)
}

// Print writes a status for people.
func (s *Status) Print(w io.Writer) {
	fmt.Fprintf(w, "pilot %s  zone %s  version=r%d  ready=%v  orders=%s  lighthouses=%v\n", s.Node, s.Zone, s.Version, s.Ready, s.Standing, s.Lighthouses)
	fmt.Fprintf(w, "endpoint %s  %s  inside=%d of %d  waiting=%d\n", s.Endpoint, s.EndpointState, s.Inside, s.Slots, s.Waiting)
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	for _, v := range s.Services {
		for _, l := range v.Lives {
			fmt.Fprintf(t, "%s\t%s\t%s\ttakes=%v\n", v.Name, l.ID, l.Zone, l.Takes)
		}
	}
	t.Flush()
}

// PrintStory writes the story of a request for people.
func (s *Status) PrintStory(w io.Writer) {
	if len(s.Story) == 0 {
		fmt.Fprintf(w, "pilot %s remembers nothing of it\n", s.Node)
	}
	for _, e := range s.Story {
		fmt.Fprintf(w, "%s pilot=%s %s\n", e.At.UTC().Format(time.RFC3339Nano), s.Node, e.What)
	}
}

// note remembers what happened to a request.
func (p *Pilot) note(id, what string) {
	if id != "" {
		p.story.Add(story.Event{At: time.Now(), ID: id, What: what})
	}
}
