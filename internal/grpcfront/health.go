package grpcfront

import (
	"context"
	"encoding/binary"
	"net/http"
	"strings"

	"google.golang.org/protobuf/encoding/protowire"

	"milletmast/internal/h2"
)

const healthPrefix = "/grpc.health.v1.Health/"

func isHealthMethod(path string) bool { return strings.HasPrefix(path, healthPrefix) }

// The values of HealthCheckResponse.ServingStatus.
const (
	healthServing        = 1
	healthNotServing     = 2
	healthServiceUnknown = 3
)

// maxHealthRequestBytes is the maximum length of a HealthCheckRequest.
const maxHealthRequestBytes = 1 << 10

// handleHealth responds to a call of grpc.health.v1. The service "" is the sidecar; there are no others.
func (s *Server) handleHealth(ctx context.Context, stream *h2.Stream, call *Call) {
	method := call.Path[len(healthPrefix):]
	if method != "Check" && method != "Watch" {
		s.respond(ctx, stream, &Response{Status: http.StatusNotFound, Message: "no such method"})
		return
	}
	requestContext, cancel := context.WithTimeout(ctx, s.options.StreamStallTimeout)
	defer cancel()
	service, err := readHealthRequest(requestContext, stream)
	if err != nil {
		if ctx.Err() == nil {
			s.respond(ctx, stream, requestError(err))
		}
		return
	}
	switch {
	case method == "Watch":
		_ = stream.SendHeader(okHeader(), false)
		_ = s.abortResponse(stream, s.watchHealth(ctx, stream, service))
	case service != "":
		s.respond(ctx, stream, &Response{Header: append(okHeader(), statusTrailers(NotFound, "unknown service", 0, false)...)})
	default:
		s.respond(ctx, stream, &Response{
			Header:   okHeader(),
			Body:     [][]byte{healthMessage(s.healthStatus())},
			Trailers: statusTrailers(OK, "", 0, false),
		})
	}
}

// watchHealth sends the serving status and each change of it, until the caller disconnects or the server shuts down. It returns
// why it ended.
func (s *Server) watchHealth(ctx context.Context, stream *h2.Stream, service string) error {
	changed := make(chan struct{}, 1)
	s.mu.Lock()
	s.watchers[changed] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.watchers, changed)
	}()
	for last := -1; ; {
		status := healthServiceUnknown
		if service == "" {
			status = s.healthStatus()
		}
		if status != last {
			last = status
			if err := sendChunk(ctx, stream, healthMessage(status), s.options.StreamStallTimeout); err != nil {
				return err
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// healthStatus returns the serving status of the sidecar.
func (s *Server) healthStatus() int {
	s.mu.Lock()
	draining := s.draining
	s.mu.Unlock()
	if draining || !s.router.IsServing() {
		return healthNotServing
	}
	return healthServing
}

// notifyWatchers makes the open Watch calls read the serving status again. The mutex is held.
func (s *Server) notifyWatchers() {
	for watcher := range s.watchers {
		select {
		case watcher <- struct{}{}:
		default:
		}
	}
}

// readHealthRequest reads a HealthCheckRequest and returns the name of its service.
func readHealthRequest(ctx context.Context, stream *h2.Stream) (service string, err error) {
	request := &RequestStream{stream: stream, framing: MessageFraming{MaxBytes: maxHealthRequestBytes}}
	var body []byte
	for request.framing.Completed == 0 {
		chunk, err := request.Recv(ctx)
		if err != nil {
			return "", err
		}
		if body = append(body, chunk...); len(body) > maxHealthRequestBytes+prefixLength {
			return "", ErrMessageTooLong
		}
	}
	if body[0] != 0 { // compressed, although no compression was negotiated
		return "", ErrBadMessage
	}
	length := binary.BigEndian.Uint32(body[1:prefixLength])
	return decodeHealthRequest(body[prefixLength : prefixLength+length])
}

// decodeHealthRequest returns the name of the service, which is field 1 of the message.
func decodeHealthRequest(message []byte) (service string, err error) {
	for len(message) > 0 {
		number, kind, n := protowire.ConsumeTag(message)
		if n < 0 {
			return "", ErrBadMessage
		}
		message = message[n:]
		if number == 1 && kind == protowire.BytesType {
			value, n := protowire.ConsumeBytes(message)
			if n < 0 {
				return "", ErrBadMessage
			}
			service, message = string(value), message[n:]
			continue
		}
		if n = protowire.ConsumeFieldValue(number, kind, message); n < 0 {
			return "", ErrBadMessage
		}
		message = message[n:]
	}
	return service, nil
}

// healthMessage encodes and frames a HealthCheckResponse, whose field 1 is the status.
func healthMessage(status int) []byte {
	message := protowire.AppendVarint(protowire.AppendTag(nil, 1, protowire.VarintType), uint64(status))
	return append(binary.BigEndian.AppendUint32([]byte{0}, uint32(len(message))), message...)
}
