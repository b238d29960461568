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

// stopTimeout limits the graceful stop of the server. It exceeds
// ProposeTimeout so that every running call still receives its result.
const stopTimeout = ProposeTimeout + time.Second

// NewServer returns a gRPC server for s. The server uses TLS unless tlsConfig
// is nil.
func NewServer(s *Service, tlsConfig *tls.Config) *grpc.Server {
	var opts []grpc.ServerOption
	if tlsConfig != nil {
		opts = append(opts, grpc.Creds(credentials.NewTLS(tlsConfig)))
	}
	endpoints := gen.NewEndpoints(s)
	endpoints.Use(s.metrics.observe)
	grpcServer := grpc.NewServer(opts...)
	operatorpb.RegisterOperatorServer(grpcServer, server.New(endpoints, nil))
	return grpcServer
}

// Serve serves s on lis until ctx is done, then waits for running calls to
// finish. It closes lis. It returns nil if it stopped because ctx was done.
func Serve(ctx context.Context, lis net.Listener, s *Service, tlsConfig *tls.Config) error {
	grpcServer := NewServer(s, tlsConfig)
	event.Log(s.logger, event.OperatorListening, slog.String("address", lis.Addr().String()), slog.Bool("tls", tlsConfig != nil))
	serveErr := make(chan error, 1)
	go func() { serveErr <- grpcServer.Serve(lis) }()
	select {
	case err := <-serveErr:
		return steperr.Wrap(err, "serve operator port", lis.Addr().String())
	case <-ctx.Done():
	}
	stop(grpcServer)
	<-serveErr
	return nil
}

// stop stops the server gracefully, and forcibly after stopTimeout.
func stop(grpcServer *grpc.Server) {
	timer := time.AfterFunc(stopTimeout, grpcServer.Stop)
	defer timer.Stop()
	grpcServer.GracefulStop()
}

// actorName returns the name of the caller for the audit log. The name in a
// verified client certificate takes precedence; a different name stated in the
// request is appended to it.
func actorName(ctx context.Context, stated string) string {
	name := certificateCommonName(ctx)
	switch {
	case name == "":
		return stated
	case stated == "" || stated == name:
		return name
	}
	return name + " as " + stated
}

func certificateCommonName(ctx context.Context) string {
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

// outcomeLabel returns the value of the outcome label for the result of a call.
func outcomeLabel(err error) string {
	if err == nil {
		return "ok"
	}
	var named goa.GoaErrorNamer
	if errors.As(err, &named) {
		return named.GoaErrorName()
	}
	return "error"
}
