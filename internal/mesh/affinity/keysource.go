package affinity

import (
	"net/http"
	"strconv"
	"strings"
)

// KeySource is the part of a request by which a route identifies a client.
type KeySource struct {
	kind    string // header, cookie, path or address; empty for none
	name    string // of the header or cookie
	segment int    // of the path, from 1
}

// ParseKeySource parses header:NAME, cookie:NAME, path:N (the Nth segment of the path, from 1) or
// address. The empty text means no key source.
func ParseKeySource(text string) (KeySource, error) {
	from, rest, _ := strings.Cut(text, ":")
	switch {
	case text == "":
		return KeySource{}, nil
	case from == "address" && rest == "":
		return KeySource{kind: from}, nil
	case (from == "header" || from == "cookie") && rest != "":
		return KeySource{kind: from, name: rest}, nil
	case from == "path":
		if n, err := strconv.Atoi(rest); err == nil && n > 0 {
			return KeySource{kind: from, segment: n}, nil
		}
	}
	return KeySource{}, InvalidKey.New("key source %q: want header:NAME, cookie:NAME, path:N or address", text)
}

// Extract returns the key that identifies the client of a request; ok is false if the request has none.
func (k KeySource) Extract(h http.Header, path, address string) (client string, ok bool) {
	switch k.kind {
	case "header":
		client = h.Get(k.name)
	case "cookie":
		if c, err := (&http.Request{Header: h}).Cookie(k.name); err == nil {
			client = c.Value
		}
	case "path":
		if parts := strings.Split(strings.Trim(path, "/"), "/"); k.segment <= len(parts) {
			client = parts[k.segment-1]
		}
	case "address":
		client = address
	}
	return client, client != ""
}
