package modelcheck

import (
	"bytes"
	"strconv"

	"milletmast/internal/mesh/consensus"
)

const (
	messageBytes = 200 // approximate size of a message without values
	stateBytes   = 40  // approximate size of one register state
)

// bodySize returns how many bytes a body stands for: one that ends in "*1000000" stands for a
// megabyte, so that large bodies cost the model nothing.
func bodySize(body []byte) int {
	if i := bytes.LastIndexByte(body, '*'); i >= 0 {
		if n, err := strconv.Atoi(string(body[i+1:])); err == nil {
			return n
		}
	}
	return len(body)
}

func valueBytes(v *consensus.Value) int {
	if v == nil {
		return 0
	}
	return messageBytes + bodySize(v.Body)
}

// requestBytes returns the approximate size of an encoded request.
func requestBytes(a *consensus.Request) int {
	return messageBytes + stateBytes*len(a.States) + valueBytes(a.Value) + bodySize(a.Body)
}

// responseBytes returns the approximate size of an encoded response.
func responseBytes(t *consensus.Response) int {
	n := messageBytes + stateBytes*len(t.States) + valueBytes(t.Value) + bodySize(t.Body)
	for i := range t.Registers {
		n += stateBytes + valueBytes(&t.Registers[i].Value)
	}
	return n
}
