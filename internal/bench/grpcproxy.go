package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
)

// runGRPCProxy runs the minimal proxy. The first argument is its address, the others are those of servers. It sends each call to a random
// server, without retries and draining.
func runGRPCProxy(args []string) error {
	if len(args) < 2 {
		return fmt.Errorf("rpcproxy needs its address and at least one server: %d arguments are given", len(args))
	}
	var list []*grpc.ClientConn
	for _, s := range args[1:] {
		cc, err := grpc.NewClient("passthrough:///"+s, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithDisableRetry())
		if err != nil {
			return err
		}
		list = append(list, cc)
	}
	ln, err := net.Listen("tcp", args[0])
	if err != nil {
		return err
	}
	handler := func(_ any, in grpc.ServerStream) error { return forwardStream(in, list[rand.IntN(len(list))]) }
	return grpc.NewServer(grpc.ForceServerCodec(rawCodec{}), grpc.MaxConcurrentStreams(100_000), grpc.UnknownServiceHandler(handler)).Serve(ln)
}

// forwardStream forwards a stream to a server, both ways.
func forwardStream(in grpc.ServerStream, server *grpc.ClientConn) error {
	method, _ := grpc.MethodFromServerStream(in)
	md, _ := metadata.FromIncomingContext(in.Context())
	ctx, cancel := context.WithCancel(metadata.NewOutgoingContext(in.Context(), md))
	defer cancel()
	desc := &grpc.StreamDesc{ClientStreams: true, ServerStreams: true}
	out, err := server.NewStream(ctx, desc, method, grpc.ForceCodec(rawCodec{}))
	if err != nil {
		return err
	}
	go forwardRequests(in, out)
	head, err := out.Header()
	if err != nil {
		return err
	}
	if err := in.SendHeader(head); err != nil {
		return err
	}
	for {
		var m []byte
		if err := out.RecvMsg(&m); err != nil {
			in.SetTrailer(out.Trailer())
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		if err := in.SendMsg(&m); err != nil {
			return err
		}
	}
}

// forwardRequests forwards the messages of the caller until one of the sides ends. An error is that of the stream to the server, which
// forwardStream returns.
func forwardRequests(in grpc.ServerStream, out grpc.ClientStream) {
	for {
		var m []byte
		err := in.RecvMsg(&m)
		if errors.Is(err, io.EOF) {
			_ = out.CloseSend() // a failure also ends RecvMsg
			return
		}
		if err != nil || out.SendMsg(&m) != nil {
			return
		}
	}
}
