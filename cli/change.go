package cli

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	gen "apricotrouter/gen/operator"
)

// sendChange sends a change and prints its result. object is the changed object,
// as KIND/ID, for the output. currentVersion reads the current version of the
// object, or is nil for changes without a version.
func (o *options) sendChange(cmd *cobra.Command, object string, currentVersion func(*failoverClient) (uint64, error), call func(context.Context, *gen.Client, changeRequest) (*gen.ChangeResult, error)) error {
	client, err := o.newFailoverClient()
	if err != nil {
		return err
	}
	var readVersion func() (uint64, error)
	if currentVersion != nil {
		readVersion = func() (uint64, error) { return currentVersion(client) }
	}
	request, err := o.newChangeRequest(cmd, readVersion)
	if err != nil {
		return err
	}
	var res *gen.ChangeResult
	err = client.callWithFailover(cmd.Context(), func(ctx context.Context, c *gen.Client) (err error) {
		res, err = call(ctx, c, request)
		return err
	})
	if err != nil {
		return request.withResendHint(err)
	}
	return o.printChange(cmd, object, request, res)
}

// changeOutput is the printed result of a change.
type changeOutput struct {
	Object    string
	Version   uint64
	Index     uint64
	RequestID string
}

func (o *options) printChange(cmd *cobra.Command, object string, request changeRequest, res *gen.ChangeResult) error {
	out := changeOutput{object, res.Version, res.Index, request.id}
	return o.printResult(cmd.OutOrStdout(), out, func() *table {
		t := &table{columns: []string{"object", "version", "index", "request id"}}
		t.add(out.Object, out.Version, out.Index, out.RequestID)
		return t
	})
}

// query calls the operator service for a result of type R and prints it.
func query[R any](o *options, cmd *cobra.Command, call func(context.Context, *gen.Client) (R, error), buildTable func(R) *table) error {
	client, err := o.newFailoverClient()
	if err != nil {
		return err
	}
	res, err := fetch(cmd.Context(), client, call)
	if err != nil {
		return err
	}
	return o.printResult(cmd.OutOrStdout(), res, func() *table { return buildTable(res) })
}

func fetch[R any](ctx context.Context, client *failoverClient, call func(context.Context, *gen.Client) (R, error)) (R, error) {
	var res R
	err := client.callWithFailover(ctx, func(ctx context.Context, c *gen.Client) (err error) {
		res, err = call(ctx, c)
		return err
	})
	return res, err
}

// addResourceFlags adds the flags that set r.
func addResourceFlags(cmd *cobra.Command, r *gen.Resources) {
	f := cmd.Flags()
	f.Int64Var(&r.MilliCPU, "milli-cpu", 0, "processors in thousandths of a core")
	f.Int64Var(&r.MemoryMib, "memory-mib", 0, "memory in MiB")
	f.Int64Var(&r.Accelerators, "accelerators", 0, "number of accelerators")
}

// formatResources formats resources for a table cell.
func formatResources(r *gen.Resources) string {
	return fmt.Sprintf("%dm/%dMi/%d", r.MilliCPU, r.MemoryMib, r.Accelerators)
}
