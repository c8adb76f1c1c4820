package sidecar

import (
	"fmt"
	"net/http"
	"strings"

	"whinknot"
)

// platform takes a request of the platform's protocol: one pool, and each request names its class.
func (f *front) platform(_ *caller, m *message) taken {
	k, status, complaint := f.parse(*m)
	return taken{call: k, loop: f.loop, status: status, complaint: complaint}
}

// single are the headers that a request is understood by; with two of one kind it could be read in two ways.
var single = []string{"Host", "X-Request-Id", "X-Class", "X-Tenant", "X-Deadline", "Idempotency-Key", "Expect"}

// parse checks the head of a request; of one that cannot be taken it tells why.
func (f *front) parse(m message) (k *call, status int, complaint string) {
	method, rest, _ := strings.Cut(m.first, " ")
	uri, version, _ := strings.Cut(rest, " ")
	path, _, _ := strings.Cut(strings.TrimPrefix(uri, "/"), "?")
	first, _, _ := strings.Cut(path, "/")
	if version != "HTTP/1.1" && version != "HTTP/1.0" || !strings.HasPrefix(uri, "/") || hasControl(uri) {
		return nil, http.StatusBadRequest, "the request line cannot be read"
	}
	h := m.header
	for _, name := range single {
		if len(h[name]) > 1 {
			return nil, http.StatusBadRequest, name + " comes twice"
		}
	}
	name := h.Get("X-Class")
	index, ok := f.classes[name]
	if !ok || first != name {
		return nil, http.StatusNotFound, "X-Class and the path name no class"
	}
	class := &f.set.Classes[index]
	want := http.MethodPost
	if class.Effect == whinknot.Safe {
		want = http.MethodGet
	}
	switch {
	case method != want:
		return nil, http.StatusMethodNotAllowed, "requests of this class are " + want
	case class.Effect == whinknot.Keyed && h.Get("Idempotency-Key") == "":
		return nil, http.StatusBadRequest, "Idempotency-Key is missing"
	case h.Get("X-Request-Id") == "":
		return nil, http.StatusBadRequest, "X-Request-Id is missing"
	case m.length > maxBody:
		return nil, http.StatusRequestEntityTooLarge, "the body is over 64 KiB"
	}
	wait := class.GiveUp / 1000
	left, told, ok := deadline(h)
	if !ok {
		return nil, http.StatusBadRequest, badDeadline
	} else if told {
		wait = min(wait, left)
	}
	k = &call{event: describe(index, h, f.tenants), wait: lessMargin(wait), id: h.Get("X-Request-Id")}
	k.out = outgoing{start: fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n", method, uri, h.Get("Host")), header: endToEnd(h)}
	h.Del("Host")
	return k, 0, ""
}
