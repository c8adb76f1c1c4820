package ctl

import (
	"cmp"
	"path"
	"slices"
	"strings"

	"milletmast/internal/control/agentpb"
)

// Selector selects instances. An instance has to match each field that is set.
type Selector struct {
	Names  []string // patterns for path.Match, one of which has to match; none selects all names
	Site   string
	Labels []string // key=value; all of them have to match
}

// Matches reports whether the selector selects an instance.
func (s *Selector) Matches(m *agentpb.Member) bool {
	if s.Site != "" && s.Site != m.Site {
		return false
	}
	for _, l := range s.Labels {
		key, value, _ := strings.Cut(l, "=")
		if m.Labels[key] != value {
			return false
		}
	}
	return len(s.Names) == 0 || slices.ContainsFunc(s.Names, func(p string) bool {
		ok, err := path.Match(p, m.Name)
		return ok && err == nil
	})
}

// SelectInstances returns the selected instances of the agents' replies, ordered by site and name, the agent of each, and
// the replies of the agents that did not respond.
func SelectInstances(replies []AgentReply, s *Selector) (members []*agentpb.Member, agentOf map[string]*Agent, unreachable []AgentReply) {
	agentOf = map[string]*Agent{}
	for _, reply := range replies {
		if reply.Err != nil {
			unreachable = append(unreachable, reply)
			continue
		}
		for _, m := range reply.Reply.Members {
			if s.Matches(m) {
				members = append(members, m)
				agentOf[m.Name] = reply.Agent
			}
		}
	}
	slices.SortFunc(members, func(a, b *agentpb.Member) int {
		return cmp.Or(cmp.Compare(a.Site, b.Site), cmp.Compare(a.Name, b.Name))
	})
	return members, agentOf, unreachable
}
