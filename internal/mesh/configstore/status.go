package configstore

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"milletmast/internal/mesh/configstore/wire"
	"milletmast/internal/mesh/consensus"
	"milletmast/internal/mesh/transport"
)

// Status is the status report of a store.
type Status struct {
	Node, DiskID   string
	IsVoter        bool // its disk is a voter
	Voters         consensus.VoterConfig
	Alive          map[string]bool // by disk, in the view of this store
	Role           string          // following, campaigning, coordinating or reconfiguring
	LeaseRemaining time.Duration   // 0 for no lease
	StorageFailed  bool            // its disk failed
	Registers      []RegisterStatus
}

// RegisterStatus is the status of one register.
type RegisterStatus struct {
	Key       string
	Version   consensus.Version
	Bytes     int
	Ballot    consensus.Ballot // at which the value was accepted
	Committed bool             // this store knows the value to be committed
}

// status returns the status report. It runs in the loop.
func (s *Server) status() *Status {
	now, voters, self := time.Now(), s.replica.Voters(), s.replica.Self()
	status := &Status{
		Node:           self.Node,
		DiskID:         self.DiskID,
		IsVoter:        voters.Contains(self.DiskID),
		Voters:         voters,
		Alive:          map[string]bool{self.DiskID: true},
		Role:           s.coordinator.State().String(),
		LeaseRemaining: s.leaseRemaining(now),
		StorageFailed:  s.storageFailed,
	}
	for _, p := range s.replica.PeerStatuses() {
		if p.Alive(now) {
			status.Alive[p.DiskID] = true
		}
	}
	for _, r := range s.replica.Acceptor().Registers() {
		if r.Key == consensus.VoterConfigKey {
			continue
		}
		v, ok := s.replica.Committed(r.Key)
		status.Registers = append(
			status.Registers,
			RegisterStatus{r.Key, r.Value.Version, len(r.Value.Body), r.Accepted, ok && v.Version == r.Value.Version},
		)
	}
	return status
}

// QueryStatus requests the status report of a store.
func QueryStatus(addr string, timeout time.Duration) (*Status, error) {
	var s wire.Status
	if err := transport.Call(context.Background(), addr, timeout, (&Handshake{StatusQuery: true}).Encode(), &s); err != nil {
		return nil, err
	}
	return decodeStatus(&s), nil
}

// Print writes the report as text.
func (s *Status) Print(w io.Writer) {
	fmt.Fprintf(
		w,
		"configstore %s  disk %s  voter=%v  lease=%v  storage-failed=%v  role=%s  coordinator=%s\n",
		s.Node,
		s.DiskID,
		s.IsVoter,
		s.LeaseRemaining.Round(time.Millisecond),
		s.StorageFailed,
		s.Role,
		s.Voters.Coordinator,
	)
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	members := func(title string, all []consensus.Member) {
		fmt.Fprintf(t, "%s\tzone\taddress\treachable\n", title)
		for _, m := range all {
			fmt.Fprintf(t, "%s\t%s\t%s\t%v\n", m.DiskID, m.Zone, m.Addr, s.Alive[m.DiskID])
		}
	}
	members(fmt.Sprint("epoch ", s.Voters.Epoch), s.Voters.Voters)
	if s.Voters.IsJoint() {
		members("incoming", s.Voters.Incoming)
	}
	fmt.Fprintf(t, "\nkey\tversion\tproposer\tbytes\tballot\tcommitted\n")
	for _, e := range s.Registers {
		fmt.Fprintf(
			t,
			"%s\t%d\t%s\t%d\t%d %s\t%v\n",
			e.Key,
			e.Version.Number,
			e.Version.Proposer,
			e.Bytes,
			e.Ballot.Round,
			e.Ballot.Proposer,
			e.Committed,
		)
	}
	t.Flush()
}
