package ledger_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"apricotrouter/ledger"
	"apricotrouter/replica"
	"apricotrouter/standin/statelog"
	"apricotrouter/state"
	"apricotrouter/transport"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

var key = ledger.Key{Service: "receipts", RequestID: "gift-1"}

// group is a set of three instances that may replicate the bucket of key.
type group struct {
	t   *testing.T
	g   *WithT
	log *statelog.Log
	net *transport.FakeNetwork
	// clock is used for retention only; calls use real time.
	clock clockwork.Clock
	opts  ledger.Options
	nodes map[string]*node
}

type node struct {
	ledger *ledger.Ledger
	log    *nodeLog
	stop   func()
}

// nodeLog is the shared log, or an older one that simulates a node that lags
// behind.
type nodeLog struct {
	source atomic.Pointer[statelog.Log]
}

func (l *nodeLog) Propose(ctx context.Context, c state.Command) (state.Result, error) {
	return l.source.Load().Propose(ctx, c)
}
func (l *nodeLog) State() *state.State            { return l.source.Load().State() }
func (l *nodeLog) Fresh() bool                    { return true }
func (l *nodeLog) Changed() <-chan struct{}       { return l.source.Load().Changed() }
func (l *nodeLog) Leadership() replica.Leadership { return l.source.Load().Leadership() }

func newGroup(t *testing.T, opts ledger.Options) *group {
	gr := &group{
		t: t, g: NewWithT(t), log: statelog.New(), net: transport.NewFakeNetwork(),
		clock: clockwork.NewRealClock(), opts: opts, nodes: make(map[string]*node),
	}
	t.Cleanup(func() {
		for _, n := range gr.nodes {
			n.stop()
		}
	})
	for _, id := range []string{"a", "b", "c"} {
		gr.start(id)
	}
	return gr
}

// start starts or restarts the process of an instance and registers it.
func (gr *group) start(id string) {
	if old := gr.nodes[id]; old != nil {
		old.stop()
	}
	mux := transport.NewMux()
	opts := gr.opts
	n := &node{log: new(nodeLog)}
	n.log.source.Store(gr.log)
	opts.Self, opts.Log, opts.Mux, opts.Clock = id, n.log, mux, gr.clock
	opts.Peers = gr.net.Join(id, mux)
	n.ledger = ledger.New(opts)
	gr.log.Update(func(s *state.State) {
		s.Instances = s.Instances.Put(id, &state.Instance{ID: id})
		n.ledger.SetRegistrationIndex(s.Index)
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = n.ledger.Run(ctx) })
	n.stop = sync.OnceFunc(func() { cancel(); wg.Wait() })
	gr.nodes[id] = n
}

// setHolders assigns the primary and backup of the bucket by the command that
// the leader uses.
func (gr *group) setHolders(primary, backup string) {
	gr.log.Update(func(s *state.State) {
		b := state.LedgerBucket{Number: key.Bucket(), Primary: primary, Backup: backup}
		if old, ok := s.Buckets.Get(state.BucketKey(b.Number)); ok {
			b.Epoch = old.Epoch
		}
		next, result := s.Apply(s.Index, state.NewCommand(state.SetLedgerBuckets{Buckets: []state.LedgerBucket{b}}))
		gr.g.Expect(result.Code).To(Equal(state.CodeOK))
		*s = *next
	})
}

func (gr *group) claim(through string) (*ledger.Claim, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	return gr.nodes[through].ledger.Claim(ctx, key, 1)
}

// verdict returns the verdict of a claim, or VerdictRefused after an error.
func (gr *group) verdict(through string) ledger.Verdict {
	c, err := gr.claim(through)
	if err != nil {
		return ledger.VerdictRefused
	}
	return c.Verdict
}

// granted claims the key until the claim is granted and returns it.
func (gr *group) granted(through string) *ledger.Claim {
	var c *ledger.Claim
	gr.g.Eventually(func() bool {
		var err error
		c, err = gr.claim(through)
		return err == nil && c.Verdict == ledger.VerdictGranted
	}, 5*time.Second).Should(BeTrue())
	return c
}

// expectVerdict waits until the bucket is served and checks the first verdict.
// Later verdicts prove nothing: after a claim that was granted by mistake, the
// next one would be unknown.
func (gr *group) expectVerdict(through string, want ledger.Verdict) {
	gr.t.Helper()
	got := ledger.VerdictRefused
	gr.g.Eventually(func() ledger.Verdict {
		got = gr.verdict(through)
		return got
	}, 8*time.Second).ShouldNot(Equal(ledger.VerdictRefused))
	gr.g.Expect(got).To(Equal(want))
}

// Guards against granting one request twice.
func TestOneOfManyClaimsIsGranted(t *testing.T) {
	gr := newGroup(t, ledger.Options{})
	gr.setHolders("a", "b")
	gr.granted("c")
	var granted atomic.Int64
	var wg sync.WaitGroup
	for i := range 30 {
		wg.Go(func() {
			if gr.verdict([]string{"a", "b", "c"}[i%3]) == ledger.VerdictGranted {
				granted.Add(1)
			}
		})
	}
	wg.Wait()
	gr.g.Expect(granted.Load()).To(BeZero())
}

// Guards against a request that can't run after its claim was released.
func TestReleasedRequestMayRun(t *testing.T) {
	gr := newGroup(t, ledger.Options{})
	gr.setHolders("a", "b")
	c := gr.granted("c")
	gr.g.Expect(c.Release(context.Background())).To(Succeed())
	again := gr.granted("b")
	gr.g.Expect(c.Record(context.Background(), &ledger.Response{Status: 200})).To(Succeed())
	gr.g.Expect(gr.verdict("c")).To(Equal(ledger.VerdictUnknown), "a record for a released claim is ignored")
	gr.g.Expect(again.Record(context.Background(), &ledger.Response{Status: 200})).To(Succeed())
	gr.g.Expect(gr.verdict("c")).To(Equal(ledger.VerdictRecorded))
}

// Guards against a second grant after the loss of the primary, and again after
// the loss of its successor.
func TestBackupTakesOverTwice(t *testing.T) {
	gr := newGroup(t, ledger.Options{})
	gr.setHolders("a", "b")
	c := gr.granted("c")
	gr.g.Expect(c.Record(context.Background(), &ledger.Response{Status: 201, Body: []byte("receipt")})).To(Succeed())
	gr.nodes["a"].stop()
	gr.setHolders("b", "c")
	gr.expectVerdict("c", ledger.VerdictRecorded)
	gr.nodes["b"].stop()
	gr.setHolders("c", "")
	gr.expectVerdict("c", ledger.VerdictRecorded)
	last, err := gr.claim("c")
	gr.g.Expect(err).NotTo(HaveOccurred())
	gr.g.Expect(string(last.Response.Body)).To(Equal("receipt"))
}

// Guards against grants by a primary that was replaced and has not yet applied
// the change.
func TestReplacedPrimaryCannotGrant(t *testing.T) {
	gr := newGroup(t, ledger.Options{})
	gr.setHolders("a", "b")
	first := gr.granted("c")
	gr.g.Expect(first.Release(context.Background())).To(Succeed())
	// Instance a and the claiming instance c still have the old epoch; b has
	// the new one.
	old := statelog.New()
	old.Update(func(s *state.State) { *s = *gr.log.State() })
	gr.nodes["a"].log.source.Store(old)
	gr.setHolders("b", "c")
	gr.granted("c")
	gr.nodes["c"].log.source.Store(old)
	gr.g.Expect(gr.verdict("c")).NotTo(Equal(ledger.VerdictGranted))
}

// Guards against a restarted primary that serves the bucket without its earlier
// claims.
func TestRestartedPrimaryTakesTheCopyOfItsBackup(t *testing.T) {
	gr := newGroup(t, ledger.Options{})
	gr.setHolders("a", "b")
	gr.granted("c")
	gr.start("a")
	gr.expectVerdict("c", ledger.VerdictUnknown)
}

// Guards against a restarted backup that becomes primary with an incomplete
// copy.
func TestRestartedBackupIsFilledAgain(t *testing.T) {
	gr := newGroup(t, ledger.Options{})
	gr.setHolders("a", "b")
	c := gr.granted("c")
	gr.g.Expect(c.Record(context.Background(), &ledger.Response{Status: 200})).To(Succeed())
	gr.start("b")
	other := ledger.Key{Service: key.Service}
	for n := 0; other.Bucket() != key.Bucket() || other.RequestID == ""; n++ {
		other.RequestID = fmt.Sprint(n)
	}
	gr.g.Eventually(func() error {
		_, err := gr.nodes["a"].ledger.Claim(context.Background(), other, 1)
		return err
	}, 5*time.Second).Should(Succeed())
	gr.nodes["a"].stop()
	gr.setHolders("b", "c")
	gr.expectVerdict("c", ledger.VerdictRecorded)
}

// Guards against a backup that was replaced, was assigned again, and becomes
// primary with its outdated copy.
func TestReturningBackupDoesNotUseItsOldCopy(t *testing.T) {
	gr := newGroup(t, ledger.Options{})
	gr.setHolders("a", "b")
	c := gr.granted("c")
	gr.g.Expect(c.Release(context.Background())).To(Succeed())
	behind := statelog.New()
	behind.Update(func(s *state.State) { *s = *gr.log.State() })
	gr.nodes["b"].log.source.Store(behind)
	gr.setHolders("a", "c")
	gr.granted("c")
	// Instance b applies both changes at once, and a is lost before it has sent
	// a copy.
	gr.nodes["a"].stop()
	gr.net.SetFaultRule(func(_, to string, kind transport.Kind) transport.Fault {
		return transport.Fault{Drop: kind == transport.KindLedgerReplicate && to == "b"}
	})
	gr.setHolders("a", "b")
	gr.setHolders("b", "")
	gr.nodes["b"].log.source.Store(gr.log)
	behind.Update(func(*state.State) {})
	gr.expectVerdict("c", ledger.VerdictUnknown)
}

// Guards against a second grant after both copies were lost, and against a
// bucket that is never served again.
func TestBothCopiesLost(t *testing.T) {
	gr := newGroup(t, ledger.Options{Retention: 3 * time.Second})
	gr.setHolders("a", "b")
	gr.granted("c")
	gr.nodes["a"].stop()
	gr.nodes["b"].stop()
	gr.setHolders("c", "")
	gr.expectVerdict("c", ledger.VerdictUnknown)
	gr.granted("c")
}

// Guards against a new bucket whose first primary and backup apply several
// changes at once and treat its missing entries as lost.
func TestFirstHoldersServeAtOnce(t *testing.T) {
	gr := newGroup(t, ledger.Options{})
	ahead := gr.log
	behind := statelog.New()
	for _, n := range gr.nodes {
		n.log.source.Store(behind)
	}
	gr.setHolders("a", "")
	gr.setHolders("a", "b")
	gr.setHolders("a", "c")
	for _, n := range gr.nodes {
		n.log.source.Store(ahead)
	}
	behind.Update(func(*state.State) {})
	gr.g.Expect(gr.granted("b")).NotTo(BeNil())
}

// Guards against unbounded memory.
func TestLedgerIsBounded(t *testing.T) {
	gr := newGroup(t, ledger.Options{MaxEntries: 10, MaxResponseBytes: 1000})
	for i := range state.LedgerBuckets {
		gr.log.Update(func(s *state.State) {
			s.Buckets = s.Buckets.Put(state.BucketKey(i), &state.LedgerBucket{Number: i, Primary: "a", Epoch: s.Index, FirstEpoch: s.Index})
		})
	}
	ctx := context.Background()
	gr.granted("a")
	refused := 0
	for i := range 20 {
		c, err := gr.nodes["a"].ledger.Claim(ctx, ledger.Key{Service: "receipts", RequestID: fmt.Sprint(i)}, 1)
		if err != nil {
			refused++
			continue
		}
		gr.g.Expect(c.Record(ctx, &ledger.Response{Status: 200, Body: make([]byte, 900)})).To(Succeed())
	}
	gr.g.Expect(refused).To(Equal(11))
	gr.g.Expect(gr.nodes["a"].ledger.ResponseBytes()).To(BeNumerically("<=", 1000))
}
