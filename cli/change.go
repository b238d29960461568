package cli

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	gen "apricotrouter/gen/operator"
)

// send makes a change and prints its result. object is KIND/ID for the output.
func (o *options) send(cmd *cobra.Command, object string, current func(*connection) (uint64, error), f func(context.Context, *gen.Client, request) (*gen.ChangeResult, error)) error {
	conn, err := o.connect()
	if err != nil {
		return err
	}
	var read func() (uint64, error)
	if current != nil {
		read = func() (uint64, error) { return current(conn) }
	}
	r, err := o.newRequest(cmd, read)
	if err != nil {
		return err
	}
	var res *gen.ChangeResult
	err = conn.call(cmd.Context(), func(ctx context.Context, c *gen.Client) (err error) {
		res, err = f(ctx, c, r)
		return err
	})
	if err != nil {
		return r.resend(err)
	}
	return o.printChange(cmd, object, r, res)
}

// changeOutput is the result of a change with what it named.
type changeOutput struct {
	Object    string
	Version   uint64
	Index     uint64
	RequestID string
}

func (o *options) printChange(cmd *cobra.Command, object string, r request, res *gen.ChangeResult) error {
	out := changeOutput{object, res.Version, res.Index, r.id}
	return o.print(cmd.OutOrStdout(), out, func() *table {
		t := &table{columns: []string{"object", "version", "index", "request id"}}
		t.add(out.Object, out.Version, out.Index, out.RequestID)
		return t
	})
}

// query reads a result of type R and prints it.
func query[R any](o *options, cmd *cobra.Command, f func(context.Context, *gen.Client) (R, error), build func(R) *table) error {
	conn, err := o.connect()
	if err != nil {
		return err
	}
	res, err := read(cmd.Context(), conn, f)
	if err != nil {
		return err
	}
	return o.print(cmd.OutOrStdout(), res, func() *table { return build(res) })
}

func read[R any](ctx context.Context, conn *connection, f func(context.Context, *gen.Client) (R, error)) (R, error) {
	var res R
	err := conn.call(ctx, func(ctx context.Context, c *gen.Client) (err error) {
		res, err = f(ctx, c)
		return err
	})
	return res, err
}

// resourceFlags adds flags for amounts of resources.
func resourceFlags(cmd *cobra.Command, r *gen.Resources) {
	f := cmd.Flags()
	f.Int64Var(&r.MilliCPU, "milli-cpu", 0, "processors in thousandths of a core")
	f.Int64Var(&r.MemoryMib, "memory-mib", 0, "memory in MiB")
	f.Int64Var(&r.Accelerators, "accelerators", 0, "number of accelerators")
}

// amounts formats resources for a table cell.
func amounts(r *gen.Resources) string {
	return fmt.Sprintf("%dm/%dMi/%d", r.MilliCPU, r.MemoryMib, r.Accelerators)
}
