package sidecar

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"milletmast/internal/route"
)

// FuzzTarget checks that the standard library parses the normalized request line of a listener as the same request, and that
// normalizing it again changes nothing.
func FuzzTarget(f *testing.F) {
	for _, s := range [][2]string{
		{"GET /a/../b?c=d HTTP/1.1", "h:80"}, {"PUT http://x.org/%7e;p/ HTTP/1.1", "h"}, {"GET /%2e%2E//x%20y HTTP/1.0", ""},
		{"GET https://X.org?q HTTP/1.1", "[::1]:8"}, {"OPTIONS * HTTP/1.1", "h"}, {"GET /a?b c HTTP/1.1", "h"}, {"GET /é#f HTTP/1.1", "h"},
		{"GET //x.org/a HTTP/1.1", "h"}, {"GET /?\x7f HTTP/1.1", "h"}, {"GET http:///a HTTP/1.1", "h"},
	} {
		f.Add(s[0], s[1])
	}
	f.Fuzz(func(t *testing.T, line, host string) {
		h := http.Header{}
		if host != "" {
			if hasControl(host) || strings.TrimSpace(host) != host {
				return // readMessage rejects such a header
			}
			h["Host"] = []string{host}
		}
		if strings.ContainsAny(line, "\r\n") {
			return
		}
		req, target, status, _ := readTarget(&message{startLine: line, header: h})
		if status != 0 {
			return
		}
		uri := (&route.Rule{}).Rewritten(req.Path)
		if target.query != "" {
			uri += "?" + target.query
		}
		sent := req.Method + " " + uri + " HTTP/1.1\r\nHost: " + target.host + "\r\n\r\n"
		read, err := http.ReadRequest(bufio.NewReader(strings.NewReader(sent)))
		if err != nil {
			t.Fatalf("%q with host %q is forwarded as %q: %v", line, host, sent, err)
		}
		if read.Method != req.Method || read.RequestURI != uri || read.URL.Path != "" && !strings.HasPrefix(read.URL.Path, "/") {
			t.Fatalf("%q is forwarded as %q and parsed as %s %s", line, sent, read.Method, read.RequestURI)
		}
		again, _, status, reason := readTarget(&message{startLine: req.Method + " " + uri + " HTTP/1.1", header: http.Header{"Host": {target.host}}})
		if status != 0 || *again.Path != *req.Path || again.Host != req.Host || again.Query != req.Query {
			t.Fatalf("%q is forwarded as %q, which is read as %+v (%d %s)", line, sent, again, status, reason)
		}
	})
}
