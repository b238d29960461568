package replica

import (
	"context"

	"apricotrouter/raft"
	"apricotrouter/steperr"
)

// Confirm returns once this replica leads for certain and has applied every
// entry that was in the log when the call began: a majority has answered a
// heartbeat round that began after the call. A replica that does not lead
// returns raft.ErrNotLeader.
func (r *Replica) Confirm(ctx context.Context) error {
	v := r.view.Load()
	resp, err := r.onFreshness(ctx, r.opts.Self, &freshnessRequest{Replica: v.replica, Group: v.group})
	if err != nil {
		return steperr.Wrap(err, "confirm leadership", r.opts.Self)
	}
	if !resp.Confirmed {
		return raft.ErrNotLeader
	}
	return r.waitApplied(ctx, resp.Index)
}

// Members returns the instances of the voters, as this replica knows them.
func (r *Replica) Members() []string {
	voters := r.view.Load().voters
	all := make([]string, 0, len(voters))
	for _, m := range voters {
		all = append(all, m.Instance)
	}
	return all
}
