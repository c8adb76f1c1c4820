package sidecar

import (
	"testing"

	"milletmast/internal/fakeserver"
)

// BenchmarkRPCUnary makes unary calls through an instance. Clients and servers run in the same process and are measured too; to
// measure the sidecar alone, use go run ./internal/bench grpc.
func BenchmarkRPCUnary(b *testing.B) {
	s, err := fakeserver.NewServer("a")
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	i, stop := run(b, parse(b, rpcText, rpcPool("p", "", s), rpcRoutes("p")))
	defer stop()
	cc := dialRPC(b, i.Addresses()["in"])
	defer cc.Close()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := unary(cc, "/read.S/M", "hello"); err != nil {
			b.Fatal(err)
		}
	}
}
