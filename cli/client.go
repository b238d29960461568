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
	// attemptTimeout limits a call to one instance. It exceeds
	// operator.ProposeTimeout, after which the instance itself reports an unknown
	// outcome.
	attemptTimeout = 7 * time.Second
	// retryInterval is the pause after all servers have been tried.
	retryInterval = 250 * time.Millisecond
)

// failoverClient calls the operator service on the servers in turn, until one
// gives a confirmed response.
type failoverClient struct {
	servers []string
	creds   credentials.TransportCredentials
	timeout time.Duration
}

// newFailoverClient validates the shared flags and returns a client for the
// servers. It opens no connection.
func (o *options) newFailoverClient() (*failoverClient, error) {
	if err := validateOutput(o.output); err != nil {
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
	return &failoverClient{servers: o.servers, creds: creds, timeout: o.timeout}, nil
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

// callWithFailover runs call against one server after the other until one gives
// a confirmed response or the timeout expires. call must send the same request
// each time.
func (c *failoverClient) callWithFailover(ctx context.Context, call func(context.Context, *gen.Client) error) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	for {
		var err error
		for _, server := range c.servers {
			if err = c.tryServer(ctx, server, call); isConfirmed(err) {
				return withExitCode(err)
			}
			if ctx.Err() != nil {
				return withExitCode(err)
			}
		}
		select {
		case <-ctx.Done():
			return withExitCode(err)
		case <-time.After(retryInterval):
		}
	}
}

func (c *failoverClient) tryServer(ctx context.Context, server string, call func(context.Context, *gen.Client) error) error {
	conn, err := grpc.NewClient("passthrough:///"+server, grpc.WithTransportCredentials(c.creds))
	if err != nil {
		return fmt.Errorf("dial %s: %w", server, err)
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	if err := call(ctx, newServiceClient(conn)); err != nil {
		return &serverError{server, err}
	}
	return nil
}

// serverError is an error with the address of the server that returned it.
type serverError struct {
	server string
	err    error
}

// Error implements error.
func (e *serverError) Error() string { return fmt.Sprintf("%s: %v", e.server, e.err) }

// Unwrap returns the cause.
func (e *serverError) Unwrap() error { return e.err }

// isConfirmed reports whether the result of a call is final, so that another
// instance would return the same result.
func isConfirmed(err error) bool {
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

// withExitCode converts the error of a call to an exitError.
func withExitCode(err error) error {
	if err == nil {
		return nil
	}
	if !isConfirmed(err) {
		return &exitError{ExitUnavailable, err}
	}
	var conflict *gen.Conflict
	if errors.As(err, &conflict) {
		return &exitError{ExitConflict, fmt.Errorf("conflict on %s, version now %d: %s", conflict.Object, conflict.CurrentVersion, conflict.Message)}
	}
	return &exitError{ExitRefused, fmt.Errorf("refused by %w", err)}
}

func newServiceClient(conn *grpc.ClientConn) *gen.Client {
	c := grpcclient.NewClient(conn)
	return gen.NewClient(c.Init(), c.SetZone(), c.ListZones(), c.ApplyService(), c.DeleteService(),
		c.ListServices(), c.ApplyTeam(), c.ListTeams(), c.SubmitJob(), c.CancelJobs(), c.ListJobs(),
		c.ShowJob(), c.EvictTask(), c.RegisterWorker(), c.ListWorkers(), c.ShowWorker(),
		c.ListEndpoints(), c.Status(), c.Audit(), c.Explain())
}

// changeRequest holds the parameters that all changes share.
type changeRequest struct {
	id      string
	actor   *string
	version *uint64
}

// addVersionFlag adds --expected-version to a command that changes an object.
func addVersionFlag(cmd *cobra.Command) {
	cmd.Flags().Uint64("expected-version", 0, "version on which the change is based; 0 to create (default the version read just before)")
}

// newChangeRequest returns the id, actor and expected version of a change. It
// calls currentVersion for the version of the object if --expected-version is not
// set. currentVersion is nil for changes without a version.
func (o *options) newChangeRequest(cmd *cobra.Command, currentVersion func() (uint64, error)) (changeRequest, error) {
	r := changeRequest{id: o.requestID}
	if o.actor != "" {
		r.actor = &o.actor
	}
	explicit := r.id != ""
	if !explicit {
		r.id = uuid.NewString()
	}
	if currentVersion == nil {
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
		if version, err = currentVersion(); err != nil {
			return r, err
		}
	}
	r.version = &version
	return r, nil
}

// withResendHint adds the flags for a resend to an error with an unknown outcome.
// It returns other errors unchanged.
func (r changeRequest) withResendHint(err error) error {
	if ExitCode(err) != ExitUnavailable {
		return err
	}
	flags := "--request-id " + r.id
	if r.version != nil {
		flags += fmt.Sprintf(" --expected-version %d", *r.version)
	}
	return &exitError{ExitUnavailable, fmt.Errorf("no instance confirmed the request, its outcome is unknown; resend the same command with %s: %w", flags, err)}
}
