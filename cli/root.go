// Package cli implements the command line for operators. It sends typed requests
// to the operator service of an entry instance. If a response is lost, it sends
// the same request with the same request id to the next instance.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"
)

// Exit codes.
const (
	ExitOK          = 0
	ExitRefused     = 1 // the request was refused; nothing was changed
	ExitUsage       = 2 // the command line or a file named on it is invalid; nothing was sent
	ExitConflict    = 3 // the object's version is not the expected one; nothing was changed
	ExitUnavailable = 4 // no instance confirmed the request; its outcome is unknown
)

// Default values of flags.
const (
	defaultServer  = "127.0.0.1:7400"
	defaultTimeout = 20 * time.Second
)

// exitError is an error with the exit code that it causes.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

func usageError(format string, args ...any) error {
	return &exitError{ExitUsage, fmt.Errorf(format, args...)}
}

// ExitCode returns the exit code for the error of a command. The code of an error
// without one is ExitRefused.
func ExitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	var e *exitError
	if errors.As(err, &e) {
		return e.code
	}
	return ExitRefused
}

// Run executes root with args and returns the exit code. SIGINT and SIGTERM
// cancel the context of the command.
func Run(root *cobra.Command, args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err != nil {
		fmt.Fprintf(stderr, "error: %v\n", err)
	}
	return ExitCode(err)
}

// NewRoot returns the root command with all commands for operators. The caller
// may add further commands.
func NewRoot() *cobra.Command {
	o := &options{}
	root := &cobra.Command{
		Use:   "apricotrouter",
		Short: "Operate an apricotrouter cluster",
		Long: `Operate an apricotrouter cluster.

Each command sends one typed request to the operator port of an entry instance.
When an instance gives no confirmed answer, the next --server gets the same
request with the same request id, so that a change is made at most once.

Flags that stay the same can be set in the environment: APRICOTROUTER_SERVERS
(addresses with spaces between them), APRICOTROUTER_TLS_CERTIFICATE,
APRICOTROUTER_TLS_KEY, APRICOTROUTER_TLS_CA.

Exit codes:
  0  accepted
  1  refused, nothing was changed
  2  wrong command line or file, nothing was sent
  3  the object has another version than expected, nothing was changed
  4  no instance confirmed the request; its outcome is unknown, resend it as printed`,
		SilenceErrors: true,
		SilenceUsage:  true,
		Args:          noArgs,
		RunE:          func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	root.SetFlagErrorFunc(func(cmd *cobra.Command, err error) error {
		return usageError("%w; see '%s --help'", err, cmd.CommandPath())
	})
	o.addFlags(root)
	root.AddCommand(
		o.initCommand(), o.statusCommand(), o.auditCommand(), o.explainCommand(),
		o.zoneCommand(), o.serviceCommand(), o.teamCommand(), o.jobCommand(),
		o.taskCommand(), o.workerCommand(), o.endpointCommand(),
		o.queuesCommand(), configCommand(), versionCommand(),
	)
	return root
}

// options holds the values of the flags that all commands share.
type options struct {
	servers   []string
	output    string
	requestID string
	actor     string
	timeout   time.Duration

	tlsCertificate, tlsKey, tlsCA string
}

func (o *options) addFlags(root *cobra.Command) {
	f := root.PersistentFlags()
	f.StringArrayVar(&o.servers, "server", serversFromEnvironment(), "operator port `IP:port` of an entry instance; may be repeated, the next one is tried when one gives no answer")
	f.StringVarP(&o.output, "output", "o", outputTable, "output format: table, json or yaml")
	f.StringVar(&o.requestID, "request-id", "", "id of the request; a resend with the same id returns the first result (default a new UUID)")
	f.StringVar(&o.actor, "actor", os.Getenv("USER"), "name for the audit trail")
	f.DurationVar(&o.timeout, "timeout", defaultTimeout, "how long to try before giving up")
	f.StringVar(&o.tlsCertificate, "tls-certificate", os.Getenv("APRICOTROUTER_TLS_CERTIFICATE"), "client certificate `file` (PEM) for operator ports with TLS")
	f.StringVar(&o.tlsKey, "tls-key", os.Getenv("APRICOTROUTER_TLS_KEY"), "private key `file` (PEM) of the client certificate")
	f.StringVar(&o.tlsCA, "tls-ca", os.Getenv("APRICOTROUTER_TLS_CA"), "`file` (PEM) of the authorities of the servers' certificates")
	_ = root.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{outputTable, outputJSON, outputYAML}, cobra.ShellCompDirectiveNoFileComp))
}

// serversFromEnvironment returns the default of --server: the addresses in
// APRICOTROUTER_SERVERS, or defaultServer if there are none.
func serversFromEnvironment() []string {
	if servers := strings.Fields(os.Getenv("APRICOTROUTER_SERVERS")); len(servers) > 0 {
		return servers
	}
	return []string{defaultServer}
}

// commandGroup returns a command that consists of subcommands only.
func commandGroup(use, short string, commands ...*cobra.Command) *cobra.Command {
	var names []string
	for _, c := range commands {
		names = append(names, c.Name())
	}
	slices.Sort(names)
	cmd := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.ArbitraryArgs,
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 0 {
				return usageError("%s needs a command: %s", cmd.CommandPath(), strings.Join(names, ", "))
			}
			return usageError("%s has no command %q: it has %s", cmd.CommandPath(), args[0], strings.Join(names, ", "))
		},
	}
	cmd.AddCommand(commands...)
	return cmd
}

func noArgs(cmd *cobra.Command, args []string) error {
	if len(args) > 0 {
		return usageError("unknown argument %q; see '%s --help'", args[0], cmd.CommandPath())
	}
	return nil
}

// exactlyOne returns a check that there is one positional argument; the usage
// error calls it by the given name.
func exactlyOne(argument string) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if len(args) != 1 {
			return usageError("%s needs exactly one %s, got %d", cmd.CommandPath(), argument, len(args))
		}
		return nil
	}
}
