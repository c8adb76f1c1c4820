package sidecar

import (
	"hash/fnv"
	"io"
	"math"
	"net/http"
	"strconv"

	"whinknot"
)

const badDeadline = "X-Deadline is no time"

// deadline reads how many seconds the client will wait, where it is told; ok is false where that is no time.
func deadline(h http.Header) (left float64, told, ok bool) {
	text := h.Get("X-Deadline")
	if text == "" {
		return 0, false, true
	}
	left, err := strconv.ParseFloat(text, 64)
	return left, true, err == nil && left > 0 && !math.IsInf(left, 0)
}

// describe tells the module what a head says of a request of a class: tenant, hint and key.
func describe(class uint16, h http.Header, tenants map[string]uint16) whinknot.Event {
	hint, err := strconv.ParseFloat(h.Get("X-Cost-Hint"), 64)
	if err != nil {
		hint = 0
	}
	tenant, ok := tenants[h.Get("X-Tenant")]
	if !ok {
		tenant = uint16(len(tenants)) // one without a quota
	}
	ev := whinknot.Event{Class: class, Tenant: tenant, Hint: hint / 1000}
	if cookie, err := (&http.Request{Header: h}).Cookie("obj"); err == nil {
		sum := fnv.New64a()
		io.WriteString(sum, cookie.Value)
		ev.Key = sum.Sum64()
	}
	return ev
}

// indexes are the places of classes and tenants in the settings, by name.
func indexes(set *whinknot.Settings) (classes, tenants map[string]uint16) {
	classes, tenants = map[string]uint16{}, map[string]uint16{}
	for i, c := range set.Classes {
		classes[c.Name] = uint16(i)
	}
	for i, t := range set.Tenants {
		tenants[t.Name] = uint16(i)
	}
	return classes, tenants
}
