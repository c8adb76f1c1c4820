package compat

import (
	"bytes"
	"context"
	"encoding/binary"
	"flag"
	"io"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	configstorewire "milletmast/internal/mesh/configstore/wire"
	consensuswire "milletmast/internal/mesh/consensus/wire"
	controlplanewire "milletmast/internal/mesh/controlplane/wire"
	controlstatewire "milletmast/internal/mesh/controlstate/wire"
	discoverywire "milletmast/internal/mesh/discovery/wire"
	proxywire "milletmast/internal/mesh/proxy/wire"
	"milletmast/internal/mesh/transport"
)

var update = flag.Bool("update", false, "write the golden files that are missing")

// frames are the messages, with one golden file each: all bytes of a new connection up to the end of the message.
var frames = []struct {
	name string
	make func() any
}{
	{"store-hello", func() any { return new(configstorewire.Hello) }},
	{"store-member", func() any { return new(consensuswire.Member) }},
	{"store-ask", func() any { return new(consensuswire.Ask) }},
	{"store-tell", func() any { return new(consensuswire.Tell) }},
	{"store-order", func() any { return new(controlstatewire.Order) }},
	{"store-word", func() any { return new(controlstatewire.Word) }},
	{"store-status", func() any { return new(configstorewire.Status) }},
	{"control-hello", func() any { return new(discoverywire.Hello) }},
	{"control-up", func() any { return new(discoverywire.Up) }},
	{"control-down", func() any { return new(discoverywire.Down) }},
	{"control-across", func() any { return new(discoverywire.Across) }},
	{"control-status", func() any { return new(controlplanewire.Status) }},
	{"proxy-talk", func() any { return new(proxywire.Talk) }},
	{"proxy-gossip", func() any { return new(proxywire.Gossip) }},
	{"proxy-status", func() any { return new(proxywire.Status) }},
}

// TestEncodedMessages checks each message against its golden file in both directions. It is one test, not one for each message: gob numbers
// types in the order in which a process first encodes them, and that number is part of the bytes.
func TestEncodedMessages(t *testing.T) {
	for _, f := range frames {
		path := filepath.Join("testdata", f.name+".frame")
		want := f.make()
		filler := &filler{}
		filler.fill(reflect.ValueOf(want).Elem())
		sent := send(t, want)
		golden, err := os.ReadFile(path)
		if os.IsNotExist(err) && *update {
			if err := os.WriteFile(path, sent, 0o644); err != nil {
				t.Fatal(err)
			}
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		if got, want := describeFrame(t, sent), describeFrame(t, golden); got != want {
			t.Errorf("%s: the encoded form has changed:\n%s\nwant\n%s", f.name, got, want)
		}
		got := f.make()
		receive(t, golden, got)
		if !reflect.DeepEqual(got, want) {
			t.Errorf("%s: the golden frame decodes to\n%+v\nwant\n%+v", f.name, got, want)
		}
	}
}

// describeFrame describes a greeting and one frame of a connection.
func describeFrame(t *testing.T, raw []byte) string {
	t.Helper()
	greeting, rest, ok := bytes.Cut(raw, []byte("\n"))
	if !ok || len(rest) < 4 || int(binary.BigEndian.Uint32(rest)) != len(rest)-4 {
		t.Fatalf("not a greeting and one frame: %q", raw)
	}
	text, err := Describe(rest[4:])
	if err != nil {
		t.Fatal(err)
	}
	return string(greeting) + "\n" + text
}

// send returns the bytes that are written to a new connection when a message is sent over it.
func send(t *testing.T, message any) []byte {
	t.Helper()
	near, far := net.Pipe()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	raw := make(chan []byte, 1)
	go func() {
		var got bytes.Buffer
		greeting := make([]byte, len("milletmast 2\n"))
		if _, err := io.ReadFull(far, greeting); err == nil {
			got.Write(greeting)
			_, _ = far.Write(greeting)
		}
		_, _ = io.Copy(&got, far) // up to the end of the connection
		raw <- got.Bytes()
	}()
	conn, err := transport.New(ctx, near, 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if err := conn.Send(message); err != nil {
		t.Fatal(err)
	}
	conn.Close()
	return <-raw
}

// receive decodes a message from the bytes of a connection.
func receive(t *testing.T, raw []byte, message any) {
	t.Helper()
	near, far := net.Pipe()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		go func() { _, _ = io.Copy(io.Discard, far) }()
		_, _ = far.Write(raw)
	}()
	conn, err := transport.New(ctx, near, 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if err := conn.Receive(message); err != nil {
		t.Fatal(err)
	}
	conn.Close()
	far.Close()
	<-done
}

// filler sets each exported field to a value that is not zero and depends only on the position of the field.
type filler struct{ next int }

func (f *filler) fill(v reflect.Value) {
	f.next++
	switch {
	case v.Type() == reflect.TypeFor[time.Time]():
		v.Set(reflect.ValueOf(time.Date(2026, 12, 2, 9, 42, f.next%60, f.next, time.UTC)))
		return
	case v.Kind() == reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem())
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				f.fill(v.Field(i))
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range v.Len() {
			f.fill(v.Index(i))
		}
	case reflect.Map: // one entry only, as the encoded order of several is random
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		f.fill(key)
		f.fill(value)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.String:
		v.SetString("text " + string(rune('a'+f.next%26)) + string(rune('a'+f.next/26%26)))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(f.next%120 + 1))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(f.next%120 + 1))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(f.next) / 4)
	default:
		panic("filler: no value for type " + v.Type().String())
	}
}
