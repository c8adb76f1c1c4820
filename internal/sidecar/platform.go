package sidecar

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"milletmast/balancer"
)

// intakePlatform is the intake function of the platform's protocol, which has one pool and requests that name their class.
func (f *frontend) intakePlatform(_ *clientConn, m *message) intakeResult {
	k, status, reason := f.parsePlatform(*m)
	if k != nil {
		k.streamTimeout = k.timeout + inMillis(f.uploadBounds.totalTime)
		k.http.streamBounds, k.http.responseTimeout = &platformResponseBounds, millis(k.timeout)
		k.http.http10 = strings.HasSuffix(m.startLine, "HTTP/1.0")
	}
	return intakeResult{call: k, loop: f.loop, status: status, reason: reason, streamBounds: &f.uploadBounds}
}

// maxPlatformBody is the longest body of a request or a response of the platform's protocol. A message that announces a longer one
// is corrupt.
const maxPlatformBody = 33 << 20

// platformResponseBounds are the limits of a streamed response. Its endpoint and its client may take seconds between two parts.
var platformResponseBounds = streamLimits{maxBytes: maxPlatformBody, idleTimeout: 8 * time.Second, totalTime: 5 * time.Minute}

// platformSingleHeaders are the headers that must not be repeated, as the request would be ambiguous.
var platformSingleHeaders = []string{"Host", "X-Request-Id", "X-Class", "X-Tenant", "X-Deadline", "Idempotency-Key", "Expect"}

// parsePlatform creates a call from the head of a request, or returns the status and the reason of a rejection.
func (f *frontend) parsePlatform(m message) (k *call, status int, reason string) {
	method, rest, _ := strings.Cut(m.startLine, " ")
	uri, version, _ := strings.Cut(rest, " ")
	host := m.header.Get("Host")
	if scheme, after, ok := strings.Cut(uri, "://"); ok && strings.EqualFold(scheme, "http") { // the absolute form (RFC 9112, section 3.2.2)
		if slash := strings.IndexByte(after, '/'); slash > 0 {
			host, uri = after[:slash], after[slash:]
		}
	}
	path, _, _ := strings.Cut(strings.TrimPrefix(uri, "/"), "?")
	first, _, _ := strings.Cut(path, "/")
	if version != "HTTP/1.1" && version != "HTTP/1.0" || !strings.HasPrefix(uri, "/") || hasControl(uri) {
		return nil, http.StatusBadRequest, "the request line cannot be read"
	}
	h := m.header
	for _, name := range platformSingleHeaders {
		if len(h[name]) > 1 {
			return nil, http.StatusBadRequest, name + " comes twice"
		}
	}
	name := h.Get("X-Class")
	index, ok := f.classes[name]
	if !ok || first != name {
		return nil, http.StatusNotFound, "X-Class and the path name no class"
	}
	class := &f.settings.Classes[index]
	expected := http.MethodPost
	if class.Effect == balancer.Safe {
		expected = http.MethodGet
	}
	switch {
	case method != expected:
		return nil, http.StatusMethodNotAllowed, "requests of this class are " + expected
	case class.Effect == balancer.Keyed && h.Get("Idempotency-Key") == "":
		return nil, http.StatusBadRequest, "Idempotency-Key is missing"
	case h.Get("X-Request-Id") == "":
		return nil, http.StatusBadRequest, "X-Request-Id is missing"
	case m.length > f.uploadBounds.maxBytes:
		return nil, http.StatusRequestEntityTooLarge, errTooLong.Error()
	}
	timeout := class.Timeout / 1000
	left, given, ok := parseDeadline(h)
	if !ok {
		return nil, http.StatusBadRequest, badDeadlineMessage
	} else if given {
		timeout = min(timeout, left)
	}
	k = &call{event: newRequestEvent(index, h, f.tenants), timeout: withoutMargin(timeout), id: h.Get("X-Request-Id")}
	k.http = httpRequest{start: fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n", method, uri, host), header: endToEnd(h)}
	h.Del("Host")
	return k, 0, ""
}
