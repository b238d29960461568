package operator

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"time"

	goa "goa.design/goa/v3/pkg"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"

	"apricotrouter/event"
	operatorpb "apricotrouter/gen/grpc/operator/pb"
	"apricotrouter/gen/grpc/operator/server"
	gen "apricotrouter/gen/operator"
	"apricotrouter/steperr"
)

// stopTimeout bounds the wait for running calls when the server stops. It
// exceeds ProposeTimeout, so that each gets its answer.
const stopTimeout = ProposeTimeout + time.Second

// NewServer returns a gRPC server that serves s, with TLS unless tlsConfig is
// nil.
func NewServer(s *Service, tlsConfig *tls.Config) *grpc.Server {
	var opts []grpc.ServerOption
	if tlsConfig != nil {
		opts = append(opts, grpc.Creds(credentials.NewTLS(tlsConfig)))
	}
	endpoints := gen.NewEndpoints(s)
	endpoints.Use(s.metrics.observe)
	g := grpc.NewServer(opts...)
	operatorpb.RegisterOperatorServer(g, server.New(endpoints, nil))
	return g
}

// Serve serves s on lis until ctx ends, then lets running calls finish. It
// closes lis. The error is nil after an end by ctx.
func Serve(ctx context.Context, lis net.Listener, s *Service, tlsConfig *tls.Config) error {
	g := NewServer(s, tlsConfig)
	event.Log(s.logger, event.OperatorListening, slog.String("address", lis.Addr().String()), slog.Bool("tls", tlsConfig != nil))
	served := make(chan error, 1)
	go func() { served <- g.Serve(lis) }()
	select {
	case err := <-served:
		return steperr.Wrap(err, "serve operator port", lis.Addr().String())
	case <-ctx.Done():
	}
	stop(g)
	<-served
	return nil
}

// stop ends the server gracefully, but not later than after stopTimeout.
func stop(g *grpc.Server) {
	timer := time.AfterFunc(stopTimeout, g.Stop)
	defer timer.Stop()
	g.GracefulStop()
}

// actorOf returns who asks. A verified client certificate takes precedence
// over the name that the request states, which is kept beside it.
func actorOf(ctx context.Context, stated string) string {
	name := certificateName(ctx)
	switch {
	case name == "":
		return stated
	case stated == "" || stated == name:
		return name
	}
	return name + " as " + stated
}

func certificateName(ctx context.Context) string {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return ""
	}
	info, ok := p.AuthInfo.(credentials.TLSInfo)
	if !ok || len(info.State.VerifiedChains) == 0 {
		return ""
	}
	return info.State.VerifiedChains[0][0].Subject.CommonName
}

// outcome names the result of a call for metrics.
func outcome(err error) string {
	if err == nil {
		return "ok"
	}
	var named goa.GoaErrorNamer
	if errors.As(err, &named) {
		return named.GoaErrorName()
	}
	return "error"
}
