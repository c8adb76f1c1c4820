package consensus

import "time"

// HandleRequest handles a request of another replica and returns the response. The response may
// only be sent once the records of the output are on disk.
func (r *Replica) HandleRequest(now time.Time, req *Request) (Response, Output) {
	r.recordSender(now, req)
	if req.Voters != nil {
		r.adoptVoters(now, req.Voters)
	}
	if req.Type == MsgBody || req.Type == MsgFetchBody {
		return r.handleBodyRequest(now, req), r.takeOutput()
	}
	resp := Response{ID: req.ID, From: r.self, DetachedBodies: true, Leaving: r.leaving, Epoch: r.voters.Epoch}
	if req.Epoch != r.voters.Epoch {
		resp.StaleEpoch = true
		if req.Epoch < r.voters.Epoch {
			voters := r.voters
			resp.Voters = &voters
		}
		return resp, r.takeOutput()
	}
	switch req.Type {
	case MsgStates:
		r.handleQuorumRead(now, req, &resp)
	case MsgRead, MsgPrepare:
		r.handlePrepare(req, &resp)
	case MsgAccept:
		r.handleAccept(now, req, &resp)
	case MsgCommit:
		r.handleCommit(now, req)
	case MsgFetch:
		r.handleFetch(req, &resp)
	}
	return resp, r.takeOutput()
}

// recordSender updates the state of the peer that sent a request.
func (r *Replica) recordSender(now time.Time, req *Request) {
	r.AddPeer(req.From.Addr)
	p := r.peers[req.From.Addr]
	if p == nil {
		return
	}
	p.member, p.lastReceived, p.epoch = req.From, now, max(p.epoch, req.Epoch)
	p.detachedBodies, p.leaving = req.DetachedBodies, req.Leaving
}

// handleQuorumRead returns the states of all registers, unless those of the sender are equal.
func (r *Replica) handleQuorumRead(now time.Time, req *Request, resp *Response) {
	resp.CoordinatorAlive = r.coordinatorReachable(now)
	states := r.acceptor.States()
	if resp.SameStates = digestStates(states) == req.Digest; !resp.SameStates {
		resp.States = states
	}
}

// handlePrepare promises the ballot of a MsgPrepare, and returns the accepted value.
func (r *Replica) handlePrepare(req *Request, resp *Response) {
	resp.Granted = true
	if req.Type == MsgPrepare {
		resp.Granted, _ = r.acceptor.Prepare(req.Key, req.Ballot)
		if resp.Granted {
			r.persist(req.Key)
		}
	}
	register := r.acceptor.Get(req.Key)
	resp.State = register.RegisterState
	if register.Accepted.Compare(req.Accepted) > 0 {
		resp.Value = r.detachBody(&register.Value, req.DetachedBodies)
	}
}

// handleAccept accepts a value, if this replica holds the value and its body.
func (r *Replica) handleAccept(now time.Time, req *Request, resp *Response) {
	v := req.Value
	if resp.State = r.acceptor.Get(req.Key).RegisterState; req.Ballot.Compare(resp.State.Promised) < 0 {
		return
	}
	if v == nil {
		own := r.acceptor.Get(req.Key)
		if own.Accepted != req.SameAs && own.Accepted != req.Ballot {
			resp.MissingValue = true
			return
		}
		v = &own.Value
	}
	v, ok := r.attachBody(v)
	if !ok {
		if r.shouldRequestBody(now, req.From.Addr, req.Value.BodyDigest) {
			resp.MissingBody = req.Value.BodyDigest
		}
		return
	}
	var changed bool
	if resp.Granted, changed = r.acceptor.Accept(req.Key, req.Ballot, *v); changed {
		r.persist(req.Key)
	}
	resp.State = r.acceptor.Get(req.Key).RegisterState
}

// handleCommit commits the registers that this replica has accepted, and fetches newer ones.
func (r *Replica) handleCommit(now time.Time, req *Request) {
	for _, state := range req.States {
		r.learnCommitted(now, state.Key, state.Accepted)
		if r.acceptor.Get(state.Key).Accepted.Compare(state.Accepted) < 0 {
			r.fetchRegisters(req.From.Addr, state.Key)
		}
	}
}

// handleFetch returns the registers of some keys.
func (r *Replica) handleFetch(req *Request, resp *Response) {
	for _, key := range req.Keys {
		if x := r.acceptor.Get(key); x.Accepted != (Ballot{}) {
			x.Value = *r.detachBody(&x.Value, req.DetachedBodies)
			resp.Registers = append(resp.Registers, x)
		}
	}
}

// HandleResponse handles the response of another replica to a request.
func (r *Replica) HandleResponse(now time.Time, resp *Response) Output {
	p := r.peers[resp.From.Addr]
	if p == nil {
		return r.takeOutput()
	}
	p.member, p.lastReceived, p.epoch, p.detachedBodies = resp.From, now, resp.Epoch, resp.DetachedBodies
	p.leaving = resp.Leaving
	if resp.Voters != nil {
		r.adoptVoters(now, resp.Voters)
	}
	if len(resp.Body) > 0 {
		r.bodyArrived(now, resp.Body)
	}
	if resp.StaleEpoch || resp.Epoch != r.voters.Epoch {
		return r.takeOutput()
	}
	for _, x := range resp.Registers {
		v, ok := r.attachBody(&x.Value)
		if !ok {
			r.requestBody(now, p, x.Value.BodyDigest)
			continue
		}
		x.Value = *v
		if r.repair(x) && r.LeaseRemaining(now) == 0 {
			r.lastReadAt = time.Time{} // read again at once: the lease may depend on this register
		}
	}
	if r.read != nil && r.read.id == resp.ID {
		r.handleStates(now, p, resp)
	}
	for _, round := range r.rounds {
		if round.id == resp.ID {
			r.handleVote(now, round, p, resp)
			break
		}
	}
	return r.takeOutput()
}

// send queues a request to a peer.
func (r *Replica) send(p *peer, req Request) {
	req.To, req.From, req.Epoch, req.DetachedBodies = p.addr, r.self, r.voters.Epoch, true
	req.Leaving = r.leaving
	if p.epoch < r.voters.Epoch {
		voters := r.voters
		req.Voters = &voters
	}
	r.output.Requests = append(r.output.Requests, req)
}
