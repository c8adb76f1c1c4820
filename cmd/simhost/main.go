// Command simhost runs instances of the decision module for the bench: it reads batches of events from standard input and writes a
// reply to each to standard output. Package wire defines their frames.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"milletmast/balancer"
	"milletmast/internal/wire"
)

// bufferSize is the size of the buffers of input and output, in bytes.
const bufferSize = 1 << 16

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// host holds the instances of this process. They share nothing but the buffers.
type host struct {
	instances map[uint16]*balancer.Balancer
	reply     wire.Reply
	actions   []balancer.Action
}

// run reads batches and writes a reply to each until the input ends.
func run(in io.Reader, out io.Writer) error {
	reader, writer := bufio.NewReaderSize(in, bufferSize), bufio.NewWriterSize(out, bufferSize)
	h := &host{instances: map[uint16]*balancer.Balancer{}}
	var decoder wire.Decoder
	for {
		batch, err := decoder.Read(reader)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		h.reply.Reset()
		if err := decoder.Deliver(batch, h); err != nil {
			return err
		}
		if err := h.reply.WriteTo(writer, batch.Number); err != nil {
			return err
		}
		if err := writer.Flush(); err != nil {
			return fmt.Errorf("reply %d: %w", batch.Number, err)
		}
	}
}

// Start creates an instance. Settings that the decision module rejects are reported as the fault of that instance; settings that
// cannot be parsed end the process.
func (h *host) Start(instance uint16, seed uint64, settings []byte, now float64) error {
	parsed, err := wire.ParseSettings(settings)
	if err != nil {
		return fmt.Errorf("instance %d: %w", instance, err)
	}
	instanceBalancer, err := balancer.New(parsed, seed, now)
	if err != nil {
		delete(h.instances, instance)
		h.reply.AddFault(instance, err.Error())
		return nil
	}
	h.instances[instance] = instanceBalancer
	return nil
}

// Stop discards an instance.
func (h *host) Stop(instance uint16) { delete(h.instances, instance) }

// Event passes an event to an instance and adds its actions to the reply. Events for stopped instances are ignored.
func (h *host) Event(instance uint16, now float64, event *balancer.Event) error {
	target := h.instances[instance]
	if target == nil {
		return nil
	}
	h.actions = target.Handle(now, event, h.actions[:0])
	for i := range h.actions {
		h.reply.Add(instance, &h.actions[i])
	}
	return nil
}
