// Command wirehost hosts balancer instances on the bench's wire: batches come in
// on standard input, one reply a batch goes out on standard output.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"whinknot"
	"whinknot/internal/wire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}

// host holds the instances of this process; they share nothing but the buffers.
type host struct {
	instances map[uint16]*whinknot.Balancer
	reply     wire.Reply
	actions   []whinknot.Action
}

func run(in io.Reader, out io.Writer) error {
	r, w := bufio.NewReaderSize(in, 1<<16), bufio.NewWriterSize(out, 1<<16)
	h := &host{instances: map[uint16]*whinknot.Balancer{}}
	var dec wire.Decoder
	for {
		batch, err := dec.Read(r)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		h.reply.Reset()
		if err := dec.Deliver(batch, h); err != nil {
			return err
		}
		if err := h.reply.WriteTo(w, batch.Number); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("reply %d: %w", batch.Number, err)
		}
	}
}

// Start creates the balancer of an instance; settings that it refuses are the
// instance's own failure and are told as such.
func (h *host) Start(instance uint16, seed uint64, settings []byte, now float64) error {
	set, err := wire.ParseSettings(settings)
	if err != nil {
		return fmt.Errorf("instance %d: %w", instance, err)
	}
	b, err := whinknot.New(set, seed, now)
	if err != nil {
		delete(h.instances, instance)
		h.reply.AddFault(instance, err.Error())
		return nil
	}
	h.instances[instance] = b
	return nil
}

// Stop discards all that an instance held.
func (h *host) Stop(instance uint16) { delete(h.instances, instance) }

// Event lets an instance handle one event; events for stopped ones are passed over.
func (h *host) Event(instance uint16, now float64, ev *whinknot.Event) error {
	b := h.instances[instance]
	if b == nil {
		return nil
	}
	h.actions = b.Handle(now, ev, h.actions[:0])
	for i := range h.actions {
		h.reply.Add(instance, &h.actions[i])
	}
	return nil
}
