package daemon

import (
	"net"

	"apricotrouter/config"
	"apricotrouter/steperr"
)

// ports contains the listeners of an instance.
type ports struct {
	entry    net.Listener
	operator net.Listener
	peer     net.Listener
	admin    net.Listener
}

// openPorts opens the listeners, except that of the peer port if peer is not nil.
// If one fails, it closes all of them, peer included.
func openPorts(c *config.Config, peer net.Listener) (*ports, error) {
	p := &ports{peer: peer}
	for _, open := range []struct {
		step string
		addr string
		to   *net.Listener
	}{
		{"open entry port", c.Listen.Entry, &p.entry},
		{"open operator port", c.Listen.Operator, &p.operator},
		{"open peer port", c.Listen.Peer, &p.peer},
		{"open admin port", c.Listen.Admin, &p.admin},
	} {
		if *open.to != nil {
			continue
		}
		l, err := net.Listen("tcp", open.addr)
		if err != nil {
			p.close()
			return nil, steperr.Wrap(err, open.step, open.addr)
		}
		*open.to = l
	}
	return p, nil
}

func (p *ports) close() {
	for _, l := range []net.Listener{p.entry, p.operator, p.peer, p.admin} {
		if l != nil {
			_ = l.Close()
		}
	}
}

func (p *ports) addresses() Addresses {
	return Addresses{
		Entry:    p.entry.Addr().String(),
		Operator: p.operator.Addr().String(),
		Peer:     p.peer.Addr().String(),
		Admin:    p.admin.Addr().String(),
	}
}
