package clusterview

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Confidence is how far a replica trusts its own view.
type Confidence uint8

// The levels of confidence.
const (
	Alone     Confidence = iota + 1 // no other member was seen since the start: the configured position applies
	Agreed                          // the members have stayed the same for Config.SettleTime
	Changing                        // a member came or went recently
	Uncertain                       // too many are unreachable at once: this replica may be partitioned off
)

func (c Confidence) String() string {
	return [...]string{"unknown", "alone", "agreed", "changing", "unsure"}[c]
}

// Position is the place of a replica among all: it takes one of Replicas shares.
type Position struct {
	Replicas int
	Rank     int // from 0
	Reason   string
}

// View is the view that a replica has of its fleet.
type View struct {
	Epoch      uint64 // counts the changes of confidence and position of this replica
	Hash       uint64 // of the counted members, by name and incarnation: equal at replicas that see the same
	Confidence Confidence
	Since      time.Time // of Confidence
	Members    []Member  // by name
	Position
}

// View returns the present view.
func (t *Tracker) View() View {
	v := View{Epoch: t.epoch, Confidence: t.confidence, Since: t.since, Position: t.position}
	for _, member := range t.members {
		v.Members = append(v.Members, member.Member)
	}
	slices.SortFunc(v.Members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	sum := xxhash.New()
	for i := range v.Members {
		member := &v.Members[i]
		if !t.members[member.Name].isCounted() {
			continue
		}
		sum.WriteString(member.Name)
		var incarnation [9]byte // a zero byte that ends the name, and the number
		binary.LittleEndian.PutUint64(incarnation[1:], member.Incarnation)
		sum.Write(incarnation[:])
	}
	v.Hash = sum.Sum64()
	return v
}
