package proxy

import (
	"net/http"
	"sync/atomic"
	"time"

	"milletmast/internal/sidecar"
)

const (
	bodyMemoryFraction = 0.25      // of the memory limit, for all large bodies together
	smallBodyBytes     = 256 << 10 // bodies up to this size are not counted
	bodyRetryAfter     = time.Second
)

// bodyBudget bounds the memory of the large bodies that a proxy holds.
type bodyBudget struct{ available atomic.Int64 } // in bytes

// reserve reserves memory for the body of a request until the request ends. It returns the largest
// body to accept, or a rejecting reply if too little memory is available; the body is unread then.
func (b *bodyBudget) reserve(req *sidecar.IncomingRequest, limit int64) (int64, *sidecar.Reply) {
	if req.Length >= 0 && req.Length <= smallBodyBytes {
		return limit, nil
	}
	n := req.Length
	if n < 0 { // chunked: the length is unknown
		n = min(limit, max(b.available.Load()/8, smallBodyBytes))
		limit = n
	}
	if b.available.Add(-n) < 0 {
		b.available.Add(n)
		return 0, &sidecar.Reply{
			Status:     http.StatusServiceUnavailable,
			RetryAfter: bodyRetryAfter,
			Body:       []byte("too many large bodies are under way\n"),
		}
	}
	req.Release = func() { b.available.Add(n) }
	return limit, nil
}
