package control

import (
	"cmp"
	"log/slog"
	"slices"

	"apricotrouter/event"
	"apricotrouter/state"
)

// bucketLoad is a live instance and how many bucket copies it holds.
type bucketLoad struct {
	id     string
	zone   string
	count  int // copies of any kind
	serves int // primaries
}

// bucketPlan collects the changes of ledger buckets of one step.
type bucketPlan struct {
	c     *Control
	s     *state.State
	now   int64
	loads []*bucketLoad
	// changes are grouped by the instance whose lease must have ended.
	changes     map[string][]state.LedgerBucket
	lostBuckets map[string]int
}

// buckets keeps a primary and a backup of each ledger bucket on different
// instances. A primary is replaced only after its lease has ended.
func (c *Control) buckets(s *state.State, live []*state.Instance, now int64) []proposal {
	if len(live) == 0 {
		return nil
	}
	p := &bucketPlan{c: c, s: s, now: now, changes: make(map[string][]state.LedgerBucket), lostBuckets: make(map[string]int)}
	p.countLoads(live)
	for n := range state.LedgerBuckets {
		p.visit(n)
	}
	var out []proposal
	for _, ended := range sortedKeys(p.changes) {
		pr := proposal{body: state.SetLedgerBuckets{Buckets: p.changes[ended]}, lostBuckets: p.lostBuckets[ended]}
		if ended != "" {
			pr.ended = []string{ended}
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
			l.count++
			l.serves++
		}
		if l := byID[b.Backup]; l != nil {
			l.count++
		}
	}
}

func (p *bucketPlan) visit(number int) {
	old, ok := p.s.Buckets.Get(state.BucketKey(number))
	if !ok {
		primary := p.pick("", "")
		b := state.LedgerBucket{Number: number, Primary: primary.id}
		p.change("", b, primary.zone)
		return
	}
	b := *old
	if !p.lost(b.Primary) {
		if b.Backup == "" || p.unfit(b.Backup) {
			b.Backup = ""
			p.change("", b, p.zone(b.Primary))
		}
		return
	}
	ended := b.Primary
	if b.Backup != "" && !p.lost(b.Backup) {
		b.Primary, b.Backup = b.Backup, ""
	} else {
		b.Primary, b.Backup, b.LostAt = p.pick("", "").id, "", p.now
		p.lostBuckets[ended]++
	}
	p.change(ended, b, p.zone(b.Primary))
}

// change adds a backup where there is an instance for it, and records the
// bucket unless it stays as it is.
func (p *bucketPlan) change(ended string, b state.LedgerBucket, zone string) {
	if backup := p.pick(b.Primary, zone); backup != nil {
		b.Backup = backup.id
		backup.count++
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
			l.count++
			l.serves++
		}
	}
}

// pick returns the least loaded live instance other than not, outside the zone
// if there is one, or nil. Without an instance to avoid it picks a primary.
func (p *bucketPlan) pick(not, zone string) *bucketLoad {
	var best *bucketLoad
	for _, l := range p.loads {
		if l.id != not && (best == nil || p.better(l, best, not, zone)) {
			best = l
		}
	}
	return best
}

func (p *bucketPlan) better(a, b *bucketLoad, not, zone string) bool {
	if not == "" {
		return cmp.Or(cmp.Compare(a.serves, b.serves), cmp.Compare(a.count, b.count)) < 0
	}
	if (a.zone == zone) != (b.zone == zone) {
		return b.zone == zone
	}
	return a.count < b.count
}

// lost reports whether the instance's copy is gone for certain.
func (p *bucketPlan) lost(instance string) bool {
	return p.c.Leases.LeaseEnded(instance)
}

// unfit reports whether a backup is to be replaced.
func (p *bucketPlan) unfit(instance string) bool {
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
