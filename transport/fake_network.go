package transport

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Fault is the delivery fault of one message on a FakeNetwork. The zero value
// delivers the message normally.
type Fault struct {
	Drop  bool
	Delay time.Duration
	// Duplicate delivers the message a second time.
	Duplicate bool
}

// FakeNetwork is an in-process network with delivery faults, for tests. Messages are
// encoded and decoded as in a real connection.
type FakeNetwork struct {
	mu       sync.Mutex
	nodes    map[string]*Mux
	faultFor func(from, to string, kind Kind) Fault
}

// NewFakeNetwork returns a network without instances that delivers all messages.
func NewFakeNetwork() *FakeNetwork {
	return &FakeNetwork{nodes: make(map[string]*Mux)}
}

// Join attaches an instance to the network and returns its sender. A nil mux
// detaches the instance.
func (l *FakeNetwork) Join(id string, mux *Mux) Peers {
	l.mu.Lock()
	defer l.mu.Unlock()
	if mux == nil {
		delete(l.nodes, id)
	} else {
		l.nodes[id] = mux
	}
	return &localPeer{network: l, self: id}
}

// SetFaultRule sets the function that chooses the delivery fault of each message; nil
// delivers all messages. For the response to a call, the function is called with
// from and to exchanged.
func (l *FakeNetwork) SetFaultRule(faultFor func(from, to string, kind Kind) Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faultFor = faultFor
}

func (l *FakeNetwork) route(from, to string, kind Kind) (*Mux, Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var fault Fault
	if l.faultFor != nil {
		fault = l.faultFor(from, to, kind)
	}
	return l.nodes[to], fault
}

type localPeer struct {
	network *FakeNetwork
	self    string
}

func (p *localPeer) Self() string { return p.self }

func (p *localPeer) Connected(to string) bool {
	mux, fault := p.network.route(p.self, to, 0)
	return mux != nil && !fault.Drop
}

func (p *localPeer) SendOneWay(to string, kind Kind, msg any) error {
	body, err := cbor.Marshal(msg)
	if err != nil {
		return err
	}
	mux, fault := p.network.route(p.self, to, kind)
	if mux == nil {
		return ErrNotConnected
	}
	if fault.Drop {
		return nil
	}
	copies := 1
	if fault.Duplicate {
		copies = 2
	}
	for range copies {
		time.AfterFunc(fault.Delay, func() {
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
	mux, fault := p.network.route(p.self, to, kind)
	if mux == nil {
		return ErrNotConnected
	}
	if fault.Drop {
		<-ctx.Done()
		return ctx.Err()
	}
	if err := sleep(ctx, fault.Delay); err != nil {
		return err
	}
	if fault.Duplicate {
		go func() { _, _ = mux.dispatch(context.WithoutCancel(ctx), p.self, kind, body) }()
	}
	out, err := mux.dispatch(ctx, p.self, kind, body)
	if _, responseFault := p.network.route(to, p.self, kind); responseFault.Drop {
		<-ctx.Done()
		return ctx.Err()
	} else if sleepErr := sleep(ctx, responseFault.Delay); sleepErr != nil {
		return sleepErr
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
