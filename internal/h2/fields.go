package h2

import (
	"strings"

	"golang.org/x/net/http/httpguts"
	"golang.org/x/net/http2"
)

// areFieldsValid checks a header list by RFC 9113, sections 8.2 and 8.3: names in lower case, pseudo-header fields first
// and known, and no connection-specific field. A list that fails makes its message malformed.
func areFieldsValid(fields []Field, request, trailers bool) bool {
	regular := false
	seen := 0
	for i := range fields {
		f := &fields[i]
		if !httpguts.ValidHeaderFieldValue(f.Value) {
			return false
		}
		if strings.HasPrefix(f.Name, ":") {
			bit := pseudoHeader(f.Name, request)
			if regular || trailers || bit == 0 || seen&bit != 0 {
				return false
			}
			seen |= bit
			continue
		}
		regular = true
		if !isValidName(f.Name) {
			return false
		}
		switch f.Name {
		case "connection", "proxy-connection", "keep-alive", "transfer-encoding", "upgrade":
			return false
		case "te":
			if f.Value != "trailers" {
				return false
			}
		}
	}
	switch {
	case trailers:
		return true
	case request:
		return seen&(isMethod|isScheme|isPath) == isMethod|isScheme|isPath
	}
	return seen == isStatus && isStatusCode(FieldValue(fields, ":status"))
}

// isStatusCode reports whether a status has three digits and a known class (RFC 9110, section 15).
func isStatusCode(v string) bool {
	return len(v) == 3 && v[0] >= '1' && v[0] <= '9' && v[1] >= '0' && v[1] <= '9' && v[2] >= '0' && v[2] <= '9'
}

// The pseudo-header fields, as bits of a set.
const (
	isMethod = 1 << iota
	isScheme
	isPath
	isAuthority
	isStatus
)

// pseudoHeader returns the bit of a pseudo-header field; 0 if it is unknown.
func pseudoHeader(name string, request bool) int {
	switch {
	case !request && name == ":status":
		return isStatus
	case !request:
		return 0
	}
	switch name {
	case ":method":
		return isMethod
	case ":scheme":
		return isScheme
	case ":path":
		return isPath
	case ":authority":
		return isAuthority
	}
	return 0
}

// isValidName reports whether a field name is a token in lower case.
func isValidName(name string) bool {
	if name == "" {
		return false
	}
	for i := range len(name) {
		if c := name[i]; c >= 'A' && c <= 'Z' || !httpguts.IsTokenRune(rune(c)) {
			return false
		}
	}
	return true
}

// FieldValue returns the first value of a name in a list; "" for none.
func FieldValue(fields []Field, name string) string {
	for i := range fields {
		if fields[i].Name == name {
			return fields[i].Value
		}
	}
	return ""
}

// readHeaderBlock reads a header block to its end (RFC 9113, section 4.3) and decodes it. The list is nil if it is longer than
// MaxHeaderListSize, which is an error of its stream only. The dynamic table of the compression is updated in any case.
func (c *Conn) readHeaderBlock(f *http2.HeadersFrame) (fields []Field, err error) {
	size, valid := uint32(0), true
	c.decoder.SetEmitFunc(func(f Field) {
		if size += f.Size(); size > c.cfg.MaxHeaderListSize {
			valid = false
			return
		}
		fields = append(fields, f)
	})
	part, ended := f.HeaderBlockFragment(), f.HeadersEnded()
	// An encoded list is shorter than its size by RFC 9113, section 6.5.2: a block over twice the limit is not read further.
	for total, n := len(part), 0; ; n++ {
		if total > 2*int(c.cfg.MaxHeaderListSize) || n > maxContinuationFrames {
			return nil, newConnError(http2.ErrCodeEnhanceYourCalm, "the header block does not end")
		}
		if _, err := c.decoder.Write(part); err != nil {
			return nil, newConnError(http2.ErrCodeCompression, "the header block cannot be read")
		}
		if ended {
			break
		}
		nextFrame, err := c.framer.ReadFrame()
		if err != nil {
			return nil, err
		}
		more, ok := nextFrame.(*http2.ContinuationFrame) // ensured by the Framer
		if !ok {
			return nil, newConnError(http2.ErrCodeProtocol, "a header block was interrupted")
		}
		part, ended = more.HeaderBlockFragment(), more.HeadersEnded()
		total += len(part)
	}
	if c.decoder.Close() != nil {
		return nil, newConnError(http2.ErrCodeCompression, "the header block ends within a field")
	}
	if !valid {
		return nil, nil
	}
	if fields == nil {
		fields = []Field{}
	}
	return fields, nil
}
