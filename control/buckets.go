package control

import (
	"cmp"
	"log/slog"
	"slices"

	"apricotrouter/event"
	"apricotrouter/state"
)

// bucketLoad is the number of ledger bucket copies on a live instance.
type bucketLoad struct {
	id        string
	zone      string
	copies    int // primaries and backups
	primaries int
}

// bucketPlan collects the ledger bucket changes of one control step.
type bucketPlan struct {
	c     *Control
	s     *state.State
	now   int64
	loads []*bucketLoad
	// changes and lostBuckets are keyed by the instance whose lease must have
	// expired; "" if there is no such condition.
	changes     map[string][]state.LedgerBucket
	lostBuckets map[string]int
}

// planBuckets plans the changes needed to have a primary and a backup of each
// ledger bucket on different instances. A primary is replaced only after its
// lease has expired.
func (c *Control) planBuckets(s *state.State, live []*state.Instance, now int64) []proposal {
	if len(live) == 0 {
		return nil
	}
	p := &bucketPlan{c: c, s: s, now: now, changes: make(map[string][]state.LedgerBucket), lostBuckets: make(map[string]int)}
	p.countLoads(live)
	for n := range state.LedgerBuckets {
		p.planBucket(n)
	}
	var out []proposal
	for _, leaseExpiredOf := range sortedKeys(p.changes) {
		pr := proposal{body: state.SetLedgerBuckets{Buckets: p.changes[leaseExpiredOf]}, lostBuckets: p.lostBuckets[leaseExpiredOf]}
		if leaseExpiredOf != "" {
			pr.leaseExpiredOf = []string{leaseExpiredOf}
		}
		out = append(out, pr)
	}
	return out
}

func (p *bucketPlan) countLoads(live []*state.Instance) {
	byID := make(map[string]*bucketLoad, len(live))
	for _, in := range live {
		l := &bucketLoad{id: in.ID, zone: in.Zone}
		p.loads = append(p.loads, l)
		byID[in.ID] = l
	}
	for _, b := range p.s.Buckets.All() {
		if l := byID[b.Primary]; l != nil {
			l.copies++
			l.primaries++
		}
		if l := byID[b.Backup]; l != nil {
			l.copies++
		}
	}
}

func (p *bucketPlan) planBucket(number int) {
	old, ok := p.s.Buckets.Get(state.BucketKey(number))
	if !ok {
		primary := p.leastLoaded("", "")
		b := state.LedgerBucket{Number: number, Primary: primary.id}
		p.addChange("", b, primary.zone)
		return
	}
	b := *old
	if !p.leaseExpired(b.Primary) {
		if b.Backup == "" || p.unavailable(b.Backup) {
			b.Backup = ""
			p.addChange("", b, p.zone(b.Primary))
		}
		return
	}
	ended := b.Primary
	if b.Backup != "" && !p.leaseExpired(b.Backup) {
		b.Primary, b.Backup = b.Backup, ""
	} else {
		b.Primary, b.Backup, b.LostAt = p.leastLoaded("", "").id, "", p.now
		p.lostBuckets[ended]++
	}
	p.addChange(ended, b, p.zone(b.Primary))
}

// addChange selects a backup if an instance is available and adds the bucket to
// the changes, unless the bucket is unchanged.
func (p *bucketPlan) addChange(ended string, b state.LedgerBucket, zone string) {
	if backup := p.leastLoaded(b.Primary, zone); backup != nil {
		b.Backup = backup.id
		backup.copies++
	}
	if old, ok := p.s.Buckets.Get(state.BucketKey(b.Number)); ok && *old == b {
		return
	}
	if ended != "" || b.Epoch == 0 {
		p.countPrimary(b.Primary)
	}
	p.changes[ended] = append(p.changes[ended], b)
}

func (p *bucketPlan) countPrimary(instance string) {
	for _, l := range p.loads {
		if l.id == instance {
			l.copies++
			l.primaries++
		}
	}
}

// leastLoaded returns the live instance with the lowest load, or nil if there is
// none. With exclude set it selects a backup: another instance than exclude,
// preferably outside the zone. Without exclude it selects a primary.
func (p *bucketPlan) leastLoaded(exclude, zone string) *bucketLoad {
	var best *bucketLoad
	for _, l := range p.loads {
		if l.id != exclude && (best == nil || p.isBetter(l, best, exclude, zone)) {
			best = l
		}
	}
	return best
}

func (p *bucketPlan) isBetter(a, b *bucketLoad, exclude, zone string) bool {
	if exclude == "" {
		return cmp.Or(cmp.Compare(a.primaries, b.primaries), cmp.Compare(a.copies, b.copies)) < 0
	}
	if (a.zone == zone) != (b.zone == zone) {
		return b.zone == zone
	}
	return a.copies < b.copies
}

// leaseExpired reports whether the instance's lease has expired and its copy can no
// longer be used.
func (p *bucketPlan) leaseExpired(instance string) bool {
	return p.c.Leases.LeaseExpired(instance)
}

// unavailable reports whether the instance is not live, so its backup copies
// must be replaced.
func (p *bucketPlan) unavailable(instance string) bool {
	return !slices.ContainsFunc(p.loads, func(l *bucketLoad) bool { return l.id == instance })
}

func (p *bucketPlan) zone(instance string) string {
	in, ok := p.s.Instances.Get(instance)
	if !ok {
		return ""
	}
	return in.Zone
}

func (c *Control) logBuckets(changed, lost int) {
	event.Log(c.Logger, event.ControlBucketsChanged, slog.Int("count", changed))
	if lost > 0 {
		event.Log(c.Logger, event.ControlBucketsLost, slog.Int("count", lost))
	}
}
