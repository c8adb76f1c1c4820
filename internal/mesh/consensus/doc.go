// Package consensus implements replicated registers with CASPaxos: D. Rystsov, "CASPaxos: Replicated State Machines without
// logs" (2018). Each key is a register of its own. A proposer has a quorum of voters promise a ballot (prepare), applies a
// change to the accepted value with the highest ballot, and has a quorum accept the result (accept). There is no log and no
// leader, so the work after a restart is bounded by the registers, not by their history.
//
// The set of voters is a register too, under an epoch. It changes by joint consensus (D. Ongaro and J. Ousterhout, "In Search
// of an Understandable Consensus Algorithm", section 6): while a configuration is joint, each decision needs a majority of the
// old voters and one of the new.
//
// The package does no I/O: an Acceptor is the state of one disk, a Replica is one process. The inputs are requests, responses and
// the time; each returns an Output with records to persist, requests to send and results. Requests and results may only be sent
// once the records of the same Output are on disk.
//
// Invariants:
//   - A ballot is used by one proposer for one value. Its own promise is persisted before it is sent.
//   - An acceptor never accepts a ballot below one that it has promised.
//   - A value is committed once a quorum has accepted it at one ballot. A later ballot can only commit a successor of it.
//   - A request has no effect unless its epoch equals that of the receiver.
//   - A read lease counts from the moment at which the quorum read was sent.
package consensus
