package sidecar

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"milletmast/balancer"
)

const badDeadlineMessage = "X-Deadline is no time"

// parseDeadline returns how many seconds the client waits, if the header X-Deadline is given. It returns ok = false if the header is
// invalid.
func parseDeadline(h http.Header) (left float64, given, ok bool) {
	text := h.Get("X-Deadline")
	if text == "" {
		return 0, false, true
	}
	left, err := strconv.ParseFloat(text, 64)
	return left, true, err == nil && left > 0 && !math.IsInf(left, 0)
}

// newRequestEvent returns the event of a request for the decision module, with the tenant, the cost hint and the key from its head.
func newRequestEvent(class uint16, h http.Header, tenants map[string]uint16) balancer.Event {
	hint, err := strconv.ParseFloat(h.Get("X-Cost-Hint"), 64)
	if err != nil {
		hint = 0
	}
	tenant, ok := tenants[h.Get("X-Tenant")]
	if !ok {
		tenant = uint16(len(tenants)) // a tenant without a quota
	}
	ev := balancer.Event{Class: class, Tenant: tenant, WorkHint: hint / 1000}
	if cookie, err := (&http.Request{Header: h}).Cookie("obj"); err == nil {
		sum := fnv.New64a()
		sum.Write([]byte(cookie.Value))
		ev.Key = sum.Sum64()
	}
	return ev
}

// keyError describes what is wrong with the key that a request of a class needs; "" if it is valid. Noun is the word for requests in
// the text.
func (p *pool) keyError(class uint16, h http.Header, noun string) string {
	spec := &p.settings.Classes[class]
	if spec.Effect != balancer.Keyed {
		return ""
	}
	name := p.spec.Classes[class].KeyName()
	switch values := h[http.CanonicalHeaderKey(name)]; {
	case len(values) == 0 || values[0] == "":
		return name + " is missing: " + noun + " of class " + spec.Name + " need one"
	case len(values) > 1:
		return name + " comes twice"
	}
	return ""
}

// times returns the timeouts of a request of a class: in seconds until its response, the same if its body is streamed, and for a
// response that is streamed. The remaining time of the client, if it is given, bounds all of them.
func (p *pool) times(class uint16, left float64, given bool) (timeout, streamTimeout float64, responseTime time.Duration) {
	timeout, responseTime = p.settings.Classes[class].Timeout/1000, p.bounds.totalTime
	streamTimeout = timeout + responseTime.Seconds()
	if given {
		timeout, streamTimeout, responseTime = min(timeout, left), min(streamTimeout, left), min(responseTime, seconds(left))
	}
	return timeout, streamTimeout, responseTime
}

// newID returns the id of a request that has none.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// inMillis returns a duration in ms, as the decision module counts it.
func inMillis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// nameIndexes returns the indexes of classes and tenants in the settings, by name.
func nameIndexes(set *balancer.Settings) (classes, tenants map[string]uint16) {
	classes, tenants = map[string]uint16{}, map[string]uint16{}
	for i, c := range set.Classes {
		classes[c.Name] = uint16(i)
	}
	for i, t := range set.Tenants {
		tenants[t.Name] = uint16(i)
	}
	return classes, tenants
}
