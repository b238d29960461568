package transport

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Fault is what happens to one message on a Local network.
type Fault struct {
	Drop  bool
	Delay time.Duration
	// Duplicate delivers the message a second time.
	Duplicate bool
}

// Local is an in-process network for tests. Messages are encoded and decoded
// as on the wire.
type Local struct {
	mu    sync.Mutex
	nodes map[string]*Mux
	rule  func(from, to string, kind Kind) Fault
}

// NewLocal returns an empty network that delivers everything.
func NewLocal() *Local {
	return &Local{nodes: make(map[string]*Mux)}
}

// Join adds an instance and returns its sender. A nil mux removes it.
func (l *Local) Join(id string, mux *Mux) Peers {
	l.mu.Lock()
	defer l.mu.Unlock()
	if mux == nil {
		delete(l.nodes, id)
	} else {
		l.nodes[id] = mux
	}
	return &localPeer{net: l, self: id}
}

// SetFaultRule sets what happens to each message; nil delivers everything. An
// answer to a call is subject to the rule with from and to exchanged.
func (l *Local) SetFaultRule(rule func(from, to string, kind Kind) Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rule = rule
}

func (l *Local) route(from, to string, kind Kind) (*Mux, Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var f Fault
	if l.rule != nil {
		f = l.rule(from, to, kind)
	}
	return l.nodes[to], f
}

type localPeer struct {
	net  *Local
	self string
}

func (p *localPeer) Self() string { return p.self }

func (p *localPeer) Connected(to string) bool {
	mux, fate := p.net.route(p.self, to, 0)
	return mux != nil && !fate.Drop
}

func (p *localPeer) SendOneWay(to string, kind Kind, msg any) error {
	body, err := cbor.Marshal(msg)
	if err != nil {
		return err
	}
	mux, fate := p.net.route(p.self, to, kind)
	if mux == nil {
		return ErrNotConnected
	}
	if fate.Drop {
		return nil
	}
	times := 1
	if fate.Duplicate {
		times = 2
	}
	for range times {
		time.AfterFunc(fate.Delay, func() {
			_, _ = mux.dispatch(context.Background(), p.self, kind, body)
		})
	}
	return nil
}

func (p *localPeer) Call(ctx context.Context, to string, kind Kind, req, resp any) error {
	body, err := cbor.Marshal(req)
	if err != nil {
		return err
	}
	mux, fate := p.net.route(p.self, to, kind)
	if mux == nil {
		return ErrNotConnected
	}
	if fate.Drop {
		<-ctx.Done()
		return ctx.Err()
	}
	if err := sleep(ctx, fate.Delay); err != nil {
		return err
	}
	if fate.Duplicate {
		go func() { _, _ = mux.dispatch(context.WithoutCancel(ctx), p.self, kind, body) }()
	}
	out, err := mux.dispatch(ctx, p.self, kind, body)
	if _, back := p.net.route(to, p.self, kind); back.Drop {
		<-ctx.Done()
		return ctx.Err()
	} else if serr := sleep(ctx, back.Delay); serr != nil {
		return serr
	}
	if err != nil {
		return &RemoteError{Peer: to, Message: err.Error()}
	}
	data, err := cbor.Marshal(out)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(data, resp)
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
