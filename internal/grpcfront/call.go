package grpcfront

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"milletmast/internal/h2"
)

// Call is the header list of a call, as its caller sent it.
type Call struct {
	Method     string // POST, as gRPC requires
	Path       string // /package.Service/Method
	Authority  string
	Metadata   []h2.Field    // all but pseudo-headers, te and grpc-timeout, in their order
	Header     http.Header   // the same, by name
	Timeout    time.Duration // time that the caller waits, if HasTimeout
	HasTimeout bool
	RemoteHost string // the host of the caller
}

// maxTimeout replaces longer timeouts.
const maxTimeout = math.MaxInt64

// parseCall parses a header list. If the call is invalid, status is the HTTP status of
// the response, with the reason; otherwise it is 0.
func parseCall(head []h2.Field) (c *Call, status int, reason string) {
	c = &Call{Metadata: make([]h2.Field, 0, len(head)+3), Header: make(http.Header, len(head))}
	for _, f := range head {
		switch f.Name {
		case ":method":
			c.Method = f.Value
		case ":path":
			c.Path = f.Value
		case ":authority":
			c.Authority = f.Value
		case ":scheme", "te":
		case "grpc-timeout":
			var err error
			if c.HasTimeout {
				return c, http.StatusBadRequest, "grpc-timeout comes twice"
			}
			if c.Timeout, err = parseTimeout(f.Value); err != nil {
				return c, http.StatusBadRequest, err.Error()
			}
			c.HasTimeout = true
		default:
			c.Metadata = append(c.Metadata, f)
			name := http.CanonicalHeaderKey(f.Name)
			c.Header[name] = append(c.Header[name], f.Value)
		}
	}
	return c, 0, ""
}

// isGRPC reports whether a content type is one of gRPC: application/grpc, alone or followed by "+" or ";".
func isGRPC(contentType string) bool {
	rest, ok := strings.CutPrefix(contentType, "application/grpc")
	return ok && (rest == "" || rest[0] == '+' || rest[0] == ';')
}

var errBadTimeout = errors.New("grpc-timeout cannot be read")

// parseTimeout parses the "Timeout" of gRPC: up to 8 digits and a unit. A timeout over maxTimeout is maxTimeout.
func parseTimeout(text string) (time.Duration, error) {
	if len(text) < 2 || len(text) > maxTimeoutDigits+1 {
		return 0, errBadTimeout
	}
	digits, unit := text[:len(text)-1], text[len(text)-1]
	n, err := strconv.ParseUint(digits, 10, 32)
	if err != nil || digits[0] == '+' {
		return 0, errBadTimeout
	}
	unitTime, ok := timeoutUnits[unit]
	if !ok {
		return 0, errBadTimeout
	}
	if n > uint64(maxTimeout/unitTime) {
		return maxTimeout, nil
	}
	return time.Duration(n) * unitTime, nil
}

// maxTimeoutDigits is the maximum number of digits of a timeout.
const maxTimeoutDigits = 8

// timeoutUnits maps the units of a timeout to their durations.
var timeoutUnits = map[byte]time.Duration{
	'H': time.Hour, 'M': time.Minute, 'S': time.Second, 'm': time.Millisecond, 'u': time.Microsecond, 'n': time.Nanosecond,
}

// TimeoutField returns the header field of a timeout. It is rounded down to 8 digits, so that a server never gets more time than
// is left.
func TimeoutField(d time.Duration) h2.Field {
	text := ""
	switch d = max(d, 0); {
	case d < 1e8*time.Nanosecond:
		text = strconv.FormatInt(int64(d), 10) + "n"
	case d < 1e8*time.Microsecond:
		text = strconv.FormatInt(d.Microseconds(), 10) + "u"
	case d < 1e8*time.Millisecond:
		text = strconv.FormatInt(d.Milliseconds(), 10) + "m"
	default:
		text = strconv.FormatInt(min(int64(d/time.Second), 99_999_999), 10) + "S"
	}
	return h2.Field{Name: "grpc-timeout", Value: text}
}

// MessageFraming tracks the message framing of gRPC (Length-Prefixed-Message) in a body that is received in pieces.
type MessageFraming struct {
	MaxBytes  int64 // of a message; 0 for no limit
	Started   int   // messages of which a byte has been received
	Completed int   // messages that have been received completely

	prefix      [prefixLength]byte
	prefixBytes int   // number of prefix bytes that have been received
	remaining   int64 // bytes of the current message that have not been received
}

// prefixLength is the length of the prefix of a message: a compression flag and the length of the message.
const prefixLength = 5

// Errors of a request body.
var (
	// ErrBadMessage means that the body is not a sequence of messages.
	ErrBadMessage = errors.New("the message cannot be read")
	// ErrMessageTooLong means that a message is longer than MaxBytes.
	ErrMessageTooLong = errors.New("the message is over the limit")
)

// Add processes the next piece of the body.
func (m *MessageFraming) Add(p []byte) error {
	for len(p) > 0 {
		if m.remaining > 0 {
			n := min(int64(len(p)), m.remaining)
			p = p[n:]
			if m.remaining -= n; m.remaining == 0 {
				m.Completed++
				m.prefixBytes = 0
			}
			continue
		}
		if m.prefixBytes == 0 {
			m.Started++
		}
		n := copy(m.prefix[m.prefixBytes:], p)
		m.prefixBytes += n
		if p = p[n:]; m.prefixBytes < len(m.prefix) {
			return nil
		}
		if m.prefix[0] > 1 {
			return fmt.Errorf("%w: its compression flag is %d", ErrBadMessage, m.prefix[0])
		}
		m.remaining = int64(m.prefix[1])<<24 | int64(m.prefix[2])<<16 | int64(m.prefix[3])<<8 | int64(m.prefix[4])
		if m.MaxBytes > 0 && m.remaining > m.MaxBytes {
			return ErrMessageTooLong
		}
		if m.remaining == 0 {
			m.Completed++
			m.prefixBytes = 0
		}
	}
	return nil
}

// AtBoundary reports whether what has been received ends with a complete message.
func (m *MessageFraming) AtBoundary() bool { return m.prefixBytes == 0 && m.remaining == 0 }
