package cli

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"
	goa "goa.design/goa/v3/pkg"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"apricotrouter/config"
	grpcclient "apricotrouter/gen/grpc/operator/client"
	gen "apricotrouter/gen/operator"
)

const (
	// attemptTimeout bounds the wait for one instance. It exceeds the time
	// after which an instance reports an unknown outcome by itself.
	attemptTimeout = 7 * time.Second
	// roundPause is the pause after all servers were tried.
	roundPause = 250 * time.Millisecond
)

// connection calls the operator service of the servers in turn.
type connection struct {
	servers []string
	creds   credentials.TransportCredentials
	timeout time.Duration
}

// connect checks the flags. It sends nothing.
func (o *options) connect() (*connection, error) {
	if err := checkOutput(o.output); err != nil {
		return nil, err
	}
	for _, s := range o.servers {
		if _, err := netip.ParseAddrPort(s); err != nil {
			return nil, usageError("--server %q is no IP:port", s)
		}
	}
	creds, err := o.credentials()
	if err != nil {
		return nil, err
	}
	return &connection{servers: o.servers, creds: creds, timeout: o.timeout}, nil
}

func (o *options) credentials() (credentials.TransportCredentials, error) {
	if o.tlsCertificate == "" && o.tlsKey == "" && o.tlsCA == "" {
		return insecure.NewCredentials(), nil
	}
	if o.tlsCertificate == "" || o.tlsKey == "" || o.tlsCA == "" {
		return nil, usageError("--tls-certificate, --tls-key and --tls-ca are needed together")
	}
	c, err := config.ClientTLS(o.tlsCertificate, o.tlsKey, o.tlsCA)
	if err != nil {
		return nil, &exitError{ExitUsage, err}
	}
	return credentials.NewTLS(c), nil
}

// call runs f against one server after the other until one gives a confirmed
// answer or the timeout has passed. f must send the same request each time.
func (c *connection) call(ctx context.Context, f func(context.Context, *gen.Client) error) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	for {
		var err error
		for _, server := range c.servers {
			if err = c.attempt(ctx, server, f); confirmed(err) {
				return typed(err)
			}
			if ctx.Err() != nil {
				return typed(err)
			}
		}
		select {
		case <-ctx.Done():
			return typed(err)
		case <-time.After(roundPause):
		}
	}
}

func (c *connection) attempt(ctx context.Context, server string, f func(context.Context, *gen.Client) error) error {
	conn, err := grpc.NewClient("passthrough:///"+server, grpc.WithTransportCredentials(c.creds))
	if err != nil {
		return fmt.Errorf("dial %s: %w", server, err)
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	if err := f(ctx, newClient(conn)); err != nil {
		return &serverError{server, err}
	}
	return nil
}

// serverError is an error with the server from which it came.
type serverError struct {
	server string
	err    error
}

// Error implements error.
func (e *serverError) Error() string { return fmt.Sprintf("%s: %v", e.server, e.err) }

// Unwrap returns the cause.
func (e *serverError) Unwrap() error { return e.err }

// confirmed reports whether an instance gave an answer that will not change
// when another one is asked.
func confirmed(err error) bool {
	if err == nil {
		return true
	}
	var named goa.GoaErrorNamer
	if !errors.As(err, &named) {
		return false
	}
	switch named.GoaErrorName() {
	case "unavailable", "fault":
		return false
	}
	return true
}

// typed gives an error its exit code.
func typed(err error) error {
	if err == nil {
		return nil
	}
	if !confirmed(err) {
		return &exitError{ExitUnavailable, err}
	}
	var conflict *gen.Conflict
	if errors.As(err, &conflict) {
		return &exitError{ExitConflict, fmt.Errorf("conflict on %s, version now %d: %s", conflict.Object, conflict.CurrentVersion, conflict.Message)}
	}
	return &exitError{ExitRefused, fmt.Errorf("refused by %w", err)}
}

func newClient(conn *grpc.ClientConn) *gen.Client {
	c := grpcclient.NewClient(conn)
	return gen.NewClient(c.Init(), c.SetZone(), c.ListZones(), c.ApplyService(), c.DeleteService(),
		c.ListServices(), c.ApplyTeam(), c.ListTeams(), c.SubmitJob(), c.CancelJobs(), c.ListJobs(),
		c.ShowJob(), c.EvictTask(), c.RegisterWorker(), c.ListWorkers(), c.ShowWorker(),
		c.ListEndpoints(), c.Status(), c.Audit(), c.Explain())
}

// request is the part of a change that all changes have.
type request struct {
	id      string
	actor   *string
	version *uint64
}

// versionFlag adds --expected-version to a command that changes an object.
func versionFlag(cmd *cobra.Command) {
	cmd.Flags().Uint64("expected-version", 0, "version on which the change is based; 0 to create (default the version read just before)")
}

// newRequest returns id, actor and version of a change. current reads the
// version of the object for the case that the flag is not given; it is nil for
// changes without a version.
func (o *options) newRequest(cmd *cobra.Command, current func() (uint64, error)) (request, error) {
	r := request{id: o.requestID}
	if o.actor != "" {
		r.actor = &o.actor
	}
	explicit := r.id != ""
	if !explicit {
		r.id = uuid.NewString()
	}
	if current == nil {
		return r, nil
	}
	version, err := cmd.Flags().GetUint64("expected-version")
	if err != nil {
		return r, err
	}
	if !cmd.Flags().Changed("expected-version") {
		if explicit {
			return r, usageError("--request-id needs --expected-version, so that a resend has the content of the first request")
		}
		if version, err = current(); err != nil {
			return r, err
		}
	}
	r.version = &version
	return r, nil
}

// resend adds to an unknown outcome how to resend the request.
func (r request) resend(err error) error {
	if ExitCode(err) != ExitUnavailable {
		return err
	}
	flags := "--request-id " + r.id
	if r.version != nil {
		flags += fmt.Sprintf(" --expected-version %d", *r.version)
	}
	return &exitError{ExitUnavailable, fmt.Errorf("no instance confirmed the request, its outcome is unknown; resend the same command with %s: %w", flags, err)}
}
