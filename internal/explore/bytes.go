package explore

import (
	"bytes"
	"strconv"

	"whinknot/internal/tide"
)

const (
	wordBytes = 200 // of a message without values, about
	headBytes = 40  // of a head in it
)

// weigh is how many bytes a body stands for: one that ends in "*1000000" stands for a megabyte, so that large ones cost the model nothing.
func weigh(body []byte) int {
	if i := bytes.LastIndexByte(body, '*'); i >= 0 {
		if n, err := strconv.Atoi(string(body[i+1:])); err == nil {
			return n
		}
	}
	return len(body)
}

func valueBytes(v *tide.Value) int {
	if v == nil {
		return 0
	}
	return wordBytes + weigh(v.Body)
}

// askBytes is how many bytes an ask has on the wire, about.
func askBytes(a *tide.Ask) int {
	return wordBytes + headBytes*len(a.Heads) + valueBytes(a.Value) + weigh(a.Body)
}

// tellBytes is how many bytes an answer has on the wire, about.
func tellBytes(t *tide.Tell) int {
	n := wordBytes + headBytes*len(t.Heads) + valueBytes(t.Value) + weigh(t.Body)
	for i := range t.Register {
		n += headBytes + valueBytes(&t.Register[i].Value)
	}
	return n
}
