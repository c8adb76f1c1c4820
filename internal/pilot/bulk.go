package pilot

import (
	"net/http"
	"sync/atomic"
	"time"

	"whinknot/internal/sidecar"
)

const (
	bulkPart  = 0.25      // of the memory, for large bodies together
	smallBody = 256 << 10 // bodies up to this are not counted
	bulkPause = time.Second
)

// bulk bounds the large bodies that a pilot holds together.
type bulk struct{ left atomic.Int64 }

// take makes room for the body of an errand, until that is over. It gives the bytes that the body may have, or the answer if
// there is no room now: nothing of the request has been read then.
func (b *bulk) take(e *sidecar.Errand, most int64) (int64, *sidecar.Reply) {
	if e.Length >= 0 && e.Length <= smallBody {
		return most, nil
	}
	n := e.Length
	if n < 0 { // in chunks: what it will be is not told
		n = min(most, max(b.left.Load()/8, smallBody))
		most = n
	}
	if b.left.Add(-n) < 0 {
		b.left.Add(n)
		return 0, &sidecar.Reply{Status: http.StatusServiceUnavailable, RetryAfter: bulkPause, Body: []byte("too many large bodies are under way\n")}
	}
	e.Release = func() { b.left.Add(n) }
	return most, nil
}
