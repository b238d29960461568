package dispatch_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"apricotrouter/dispatch"
	"apricotrouter/ledger"
	"apricotrouter/registry"
	"apricotrouter/standin/endpoint"
	"apricotrouter/standin/statelog"
	"apricotrouter/state"
	"apricotrouter/transport"
)

const service = "receipts"

// cluster is a set of entry instances in one process that share a state log.
type cluster struct {
	t         testing.TB
	g         *WithT
	log       *statelog.Log
	net       *transport.FakeNetwork
	instances []*instance
	endpoints []*endpoint.Endpoint
	owner     atomic.Pointer[string] // owner of endpoints registered from now on
}

type instance struct {
	id       string
	log      *instanceLog
	registry *registry.Registry
	dispatch *dispatch.Dispatcher
	ledger   *ledger.Ledger
	metrics  *prometheus.Registry
	entry    *httptest.Server
	forward  *httptest.Server
	cancel   context.CancelFunc
	done     chan struct{}
}

// instanceLog is the shared log with a freshness lease of its own for one
// instance.
type instanceLog struct {
	*statelog.Log
	stale atomic.Bool
}

func (l *instanceLog) Fresh() bool { return !l.stale.Load() }

func newCluster(t testing.TB, size int) *cluster {
	c := &cluster{t: t, g: NewWithT(t), log: statelog.New(), net: transport.NewFakeNetwork()}
	c.setOwner("a")
	c.log.OnPropose = c.apply
	c.log.Update(func(s *state.State) {
		spec := state.ServiceSpec{Name: service, PathPrefix: "/receipts"}
		s.Services = s.Services.Put(service, &state.Service{Spec: spec, Version: 1})
		for i := range size {
			id := string(rune('a' + i))
			s.Instances = s.Instances.Put(id, &state.Instance{ID: id, Zone: "zone-" + id})
		}
	})
	for i := range size {
		c.instances = append(c.instances, c.start(string(rune('a'+i))))
	}
	t.Cleanup(c.close)
	c.log.Update(func(s *state.State) {
		for i := range state.LedgerBuckets {
			b := &state.LedgerBucket{Number: i, Primary: c.instances[i%size].id, Epoch: s.Index, FirstEpoch: s.Index}
			if size > 1 {
				b.Backup = c.instances[(i+1)%size].id
			}
			s.Buckets = s.Buckets.Put(state.BucketKey(i), b)
		}
	})
	return c
}

// apply is a fake for applying commands and for the leader's assignment of
// endpoints.
func (c *cluster) apply(s *state.State, cmd state.Command) (*state.State, state.Result) {
	next := *s
	next.Index++
	switch cmd.Kind {
	case state.KindRegisterEndpoint:
		var body state.RegisterEndpoint
		if cbor.Unmarshal(cmd.Body, &body) != nil {
			return s, state.Result{Code: state.CodeInvalid}
		}
		e := body.Endpoint
		next.Endpoints = next.Endpoints.Put(e.ID, &e)
		if next.Assignment(state.AssignEndpoint, e.ID) == nil {
			assign(&next, e.ID, *c.owner.Load())
		}
	case state.KindRemoveEndpoint:
		var body state.RemoveEndpoint
		if cbor.Unmarshal(cmd.Body, &body) != nil {
			return s, state.Result{Code: state.CodeInvalid}
		}
		next.Endpoints = next.Endpoints.Delete(body.ID)
		next.Assignments = next.Assignments.Delete(state.AssignmentKey(state.AssignEndpoint, body.ID))
	}
	return &next, state.Result{Code: state.CodeOK, Index: next.Index}
}

func assign(s *state.State, id, owner string) {
	a := &state.Assignment{Kind: state.AssignEndpoint, ID: id, Owner: owner, Fence: s.Index}
	s.Assignments = s.Assignments.Put(state.AssignmentKey(state.AssignEndpoint, id), a)
}

// setOwner sets the owner of endpoints that register from now on.
func (c *cluster) setOwner(owner string) { c.owner.Store(&owner) }

func (c *cluster) start(id string) *instance {
	in := &instance{id: id, log: &instanceLog{Log: c.log}, done: make(chan struct{}), metrics: prometheus.NewRegistry()}
	mux := transport.NewMux()
	peers := c.net.Join(id, mux)
	in.registry = registry.New(registry.Options{Self: id, Zone: "zone-" + id, Log: in.log, Peers: peers, Mux: mux})
	in.ledger = ledger.New(ledger.Options{Self: id, Log: in.log, Peers: peers, Mux: mux})
	in.ledger.SetRegistrationIndex(1)
	in.dispatch = dispatch.New(dispatch.Options{
		Registry: in.registry, Ledger: in.ledger, Log: in.log,
		ForwardAddress: c.forwardAddress, Registerer: in.metrics,
	})
	entry := http.NewServeMux()
	entry.Handle("POST /v1/announce", in.registry.AnnounceHandler())
	entry.Handle("/", in.dispatch.EntryHandler())
	in.entry = httptest.NewServer(entry)
	in.forward = httptest.NewServer(in.dispatch.ForwardHandler())
	var ctx context.Context
	ctx, in.cancel = context.WithCancel(context.Background())
	go func() {
		defer close(in.done)
		var parts sync.WaitGroup
		parts.Go(func() { _ = in.registry.Run(ctx) })
		parts.Go(func() { _ = in.ledger.Run(ctx) })
		parts.Go(func() { _ = in.dispatch.Run(ctx) })
		parts.Wait()
	}()
	return in
}

func (c *cluster) forwardAddress(id string) string {
	for _, in := range c.instances {
		if in.id == id {
			return strings.TrimPrefix(in.forward.URL, "http://")
		}
	}
	return ""
}

// moveBucket assigns the bucket of a request to another primary and backup, as
// the leader does after the lease of a lost instance has expired.
func (c *cluster) moveBucket(requestID, primary, backup string) {
	number := ledger.Key{Service: service, RequestID: requestID}.Bucket()
	c.log.Update(func(s *state.State) {
		old, _ := s.Buckets.Get(state.BucketKey(number))
		next := &state.LedgerBucket{
			Number: number, Primary: primary, Backup: backup,
			Epoch: s.Index, FirstEpoch: old.FirstEpoch, PreviousEpoch: old.Epoch, InheritedEpoch: old.Epoch,
		}
		s.Buckets = s.Buckets.Put(state.BucketKey(number), next)
	})
}

// idWithPrimary returns a request ID whose bucket has the given instance as its
// primary.
func (c *cluster) idWithPrimary(instance int) string {
	for n := 0; ; n++ {
		id := fmt.Sprintf("request-%d", n)
		if (ledger.Key{Service: service, RequestID: id}).Bucket()%len(c.instances) == instance {
			return id
		}
	}
}

// kill simulates the loss of an instance's machine.
func (c *cluster) kill(instance int) {
	in := c.instances[instance]
	c.net.SetFaultRule(func(from, to string, _ transport.Kind) transport.Fault {
		return transport.Fault{Drop: from == in.id || to == in.id}
	})
	in.log.stale.Store(true)
	in.entry.CloseClientConnections()
	in.forward.CloseClientConnections()
}

func (c *cluster) close() {
	for _, e := range c.endpoints {
		e.Kill()
	}
	for _, in := range c.instances {
		in.entry.CloseClientConnections()
		in.entry.Close()
		in.cancel()
		<-in.done
		in.forward.CloseClientConnections()
		in.forward.Close()
	}
	http.DefaultTransport.(*http.Transport).CloseIdleConnections()
}

// addEndpoint starts an endpoint owned by the given instance and waits until it
// is ready.
func (c *cluster) addEndpoint(owner int, opts endpoint.Options) *endpoint.Endpoint {
	c.setOwner(c.instances[owner].id)
	if opts.ID == "" {
		opts.ID = fmt.Sprintf("endpoint-%d", len(c.endpoints))
	}
	if opts.Zone == "" {
		opts.Zone = "zone-" + c.instances[owner].id
	}
	opts.Service = service
	if opts.Entries == nil {
		for _, in := range c.instances {
			opts.Entries = append(opts.Entries, strings.TrimPrefix(in.entry.URL, "http://"))
		}
	}
	if opts.AnnounceInterval == 0 {
		opts.AnnounceInterval = 50 * time.Millisecond
	}
	e, err := endpoint.Start(opts)
	c.g.Expect(err).NotTo(HaveOccurred())
	c.endpoints = append(c.endpoints, e)
	c.g.Eventually(func() bool { return c.ready(owner, opts.ID) }).Should(BeTrue(), "endpoint is ready")
	return e
}

func (c *cluster) ready(owner int, id string) bool {
	e := c.ownedEndpoint(owner, id)
	return e != nil && e.Ready()
}

func (c *cluster) ownedEndpoint(owner int, id string) *registry.Endpoint {
	pool := c.instances[owner].registry.Pool(service)
	if pool == nil {
		return nil
	}
	for _, e := range pool.Endpoints {
		if e.ID == id {
			return e
		}
	}
	return nil
}

// counter returns the value of a counter or gauge of package dispatch, or -1.
func (in *instance) counter(name string) float64 {
	families, err := in.metrics.Gather()
	if err != nil {
		return -1
	}
	for _, f := range families {
		if f.GetName() == "apricotrouter_dispatch_"+name {
			m := f.GetMetric()[0]
			return m.GetCounter().GetValue() + m.GetGauge().GetValue()
		}
	}
	return -1
}

// call describes one request of a caller.
type call struct {
	method  string
	body    string
	id      string
	headers map[string]string
	timeout time.Duration
}

// result is the response that a caller received.
type result struct {
	status  int
	body    string
	outcome string
	header  http.Header
	err     error // the connection broke before the response was complete
}

func (c *cluster) do(instance int, q call) result {
	return doURL(c.instances[instance].entry.URL+"/receipts/1", q)
}

func doURL(url string, q call) result {
	if q.method == "" {
		q.method = http.MethodGet
	}
	var body io.Reader
	if q.body != "" {
		body = strings.NewReader(q.body)
	}
	req, err := http.NewRequest(q.method, url, body)
	if err != nil {
		return result{err: err}
	}
	if q.id != "" {
		req.Header.Set(dispatch.HeaderRequestID, q.id)
	}
	if q.timeout > 0 {
		req.Header.Set(dispatch.HeaderTimeout, fmt.Sprint(q.timeout.Milliseconds()))
	}
	for k, v := range q.headers {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return result{resp.StatusCode, string(data), resp.Header.Get(dispatch.HeaderOutcome), resp.Header, err}
}

// doAsync runs a request in the background.
func (c *cluster) doAsync(instance int, q call) <-chan result {
	ch := make(chan result, 1)
	go func() { ch <- c.do(instance, q) }()
	return ch
}

// results collects the results of concurrent requests.
type results struct {
	wg  sync.WaitGroup
	mu  sync.Mutex
	all map[string]result
}

func (s *results) run(f func() result, id string) {
	s.wg.Go(func() {
		r := f()
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.all == nil {
			s.all = make(map[string]result)
		}
		s.all[id] = r
	})
}

func (s *results) wait() map[string]result {
	s.wg.Wait()
	return s.all
}

func dropBetween(x, y string) func(from, to string, kind transport.Kind) transport.Fault {
	return func(from, to string, _ transport.Kind) transport.Fault {
		return transport.Fault{Drop: (from == x && to == y) || (from == y && to == x)}
	}
}

// announce announces the address of a raw listener as an endpoint and waits
// until the endpoint is ready.
func (c *cluster) announce(instance int, address string) {
	c.setOwner(c.instances[instance].id)
	a := registry.Announcement{
		ID: "raw", Service: service, Address: address, Zone: "zone-a",
		Slots: 1, ConnectionLimit: 4, Incarnation: 1, TTLMillis: 60_000, Fence: 1 << 40,
	}
	body, err := json.Marshal(a)
	c.g.Expect(err).NotTo(HaveOccurred())
	c.g.Eventually(func() bool {
		doURL(c.instances[instance].entry.URL+"/v1/announce", call{method: http.MethodPost, body: string(body)})
		return c.ready(instance, "raw")
	}).Should(BeTrue())
}
