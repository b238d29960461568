package replica

import (
	"context"

	"apricotrouter/raft"
	"apricotrouter/steperr"
)

// ReadBarrier returns once a majority has acknowledged a heartbeat round that
// began after the call, and this replica has applied every entry that was in
// its log when the leadership was confirmed. It returns raft.ErrNotLeader if
// this replica is not the leader.
func (r *Replica) ReadBarrier(ctx context.Context) error {
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

// Members returns the instance ids of the voters known to this replica.
func (r *Replica) Members() []string {
	voters := r.view.Load().voters
	all := make([]string, 0, len(voters))
	for _, m := range voters {
		all = append(all, m.Instance)
	}
	return all
}
