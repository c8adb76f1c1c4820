package consensus

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Large bodies are sent separately from the ballots. Requests and responses carry the digest of a
// large body, and a replica that does not hold it requests it from one peer at a time. So a round
// that is preempted or resent costs little, a body that has arrived is used by any later ballot,
// and a slow link is not congested.

const (
	defaultInlineLimit = 64 << 10 // maximum size of a body that is sent inline, if the settings give none
	maxHeldBodies      = 4        // maximum number of stored bodies that no ballot has accepted yet
	bodyRetryAfter     = 2 * time.Second
	bodyOtherPeerAfter = 400 * time.Millisecond // before the same body is requested from another peer
	maxWantedBodies    = 16                     // maximum number of bodies requested at once, as a peer can send any digest
)

// bodies holds the large bodies that have arrived and are not accepted yet, and the requests for
// missing ones.
type bodies struct {
	inlineLimit int
	held        []heldBody // oldest first
	wanted      map[uint64]*bodyRequest
}

type heldBody struct {
	digest  uint64
	content []byte
}

// bodyRequest holds the state of the requests for one missing body.
type bodyRequest struct {
	lastSent time.Time            // last request, to any peer
	nextAt   map[string]time.Time // by address: the earliest time of the next request
	backoff  map[string]time.Duration
}

// detachBody returns a value in the form in which it is sent: a large body is replaced by its digest,
// if the peer supports detached bodies. Earlier versions of the program do not.
func (r *Replica) detachBody(v *Value, supported bool) *Value {
	if !supported || len(v.Body) <= r.bodies.inlineLimit {
		return v
	}
	stripped := *v
	stripped.Body, stripped.BodyDigest = nil, Digest(v.Body)
	return &stripped
}

// attachBody returns a received value with its body. It returns false if the body is not held here.
func (r *Replica) attachBody(v *Value) (*Value, bool) {
	if v.BodyDigest == 0 {
		return v, true
	}
	body, ok := r.findBody(v.BodyDigest)
	if !ok {
		return nil, false
	}
	attached := *v
	attached.Body, attached.BodyDigest = body, 0
	return &attached, true
}

// findBody returns a large body that is held here, by its digest.
func (r *Replica) findBody(digest uint64) ([]byte, bool) {
	if i := slices.IndexFunc(r.bodies.held, func(b heldBody) bool { return b.digest == digest }); i >= 0 {
		return r.bodies.held[i].content, true
	}
	matches := func(body []byte) bool { return len(body) > r.bodies.inlineLimit && Digest(body) == digest }
	for _, x := range r.acceptor.registers {
		if matches(x.Value.Body) {
			return x.Value.Body, true
		}
	}
	for _, o := range r.rounds {
		if o.value != nil && matches(o.value.Body) {
			return o.value.Body, true
		}
	}
	return nil, false
}

// shouldRequestBody reports whether a body is to be requested from a peer now, and records the
// request. Requests to the same peer back off exponentially, as the body may still be in transit.
func (r *Replica) shouldRequestBody(now time.Time, addr string, digest uint64) bool {
	req := r.bodies.wanted[digest]
	if req == nil {
		if len(r.bodies.wanted) >= maxWantedBodies { // drop the oldest request: its body may be superseded and never arrive
			oldest := slices.MinFunc(slices.Collect(maps.Keys(r.bodies.wanted)), func(a, b uint64) int {
				return cmp.Or(r.bodies.wanted[a].lastSent.Compare(r.bodies.wanted[b].lastSent), cmp.Compare(a, b))
			})
			delete(r.bodies.wanted, oldest)
		}
		req = &bodyRequest{nextAt: map[string]time.Time{}, backoff: map[string]time.Duration{}}
		r.bodies.wanted[digest] = req
	}
	if now.Before(req.nextAt[addr]) || !req.lastSent.IsZero() && now.Sub(req.lastSent) < bodyOtherPeerAfter {
		return false
	}
	req.backoff[addr] = max(2*req.backoff[addr], bodyRetryAfter)
	req.lastSent, req.nextAt[addr] = now, now.Add(req.backoff[addr])
	return true
}

// requestBody requests a body from a peer, if a request is due.
func (r *Replica) requestBody(now time.Time, p *peer, digest uint64) {
	if r.shouldRequestBody(now, p.addr, digest) {
		r.send(p, Request{Type: MsgFetchBody, Digest: digest})
	}
}

// handleBodyRequest stores a body or returns one. Bodies do not depend on the epoch.
func (r *Replica) handleBodyRequest(now time.Time, req *Request) Response {
	resp := Response{ID: req.ID, From: r.self, Epoch: r.voters.Epoch, DetachedBodies: true, Leaving: r.leaving}
	if req.Type == MsgBody {
		r.bodyArrived(now, req.Body)
	} else {
		resp.Body, _ = r.findBody(req.Digest)
	}
	return resp
}

// bodyArrived stores a body and resumes the rounds that wait for it.
func (r *Replica) bodyArrived(now time.Time, body []byte) {
	digest := Digest(body)
	if _, ok := r.bodies.wanted[digest]; !ok {
		return // it was not requested
	}
	delete(r.bodies.wanted, digest)
	if len(r.bodies.held) == maxHeldBodies {
		r.bodies.held = slices.Delete(r.bodies.held, 0, 1)
	}
	r.bodies.held = append(r.bodies.held, heldBody{digest, body})
	for _, key := range slices.Sorted(maps.Keys(r.rounds)) {
		if o := r.rounds[key]; o.phase == reading || o.phase == preparing {
			r.sendRound(now, o)
		}
	}
	r.lastReadAt = time.Time{}
}

// resetBodyRequests resets the requests to a peer whose connection was replaced, as their responses
// are lost.
func (r *Replica) resetBodyRequests(addr string) {
	for _, req := range r.bodies.wanted {
		delete(req.nextAt, addr)
		delete(req.backoff, addr)
		req.lastSent = time.Time{}
	}
}
