// Package integration tests the real daemons as separate processes, with a
// fault-injecting TCP proxy between every two of them. The tests check the
// records of simulated workers, endpoints and callers in the test process, not
// log lines.
package integration

import (
	"context"
	"fmt"
	"strings"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
)

// silenceToxic is the name prefix of the toxics that drop all data in one
// direction and keep the connections open.
const silenceToxic = "silence"

// Network has a TCP proxy for each ordered pair of instances and one for each
// worker.
type Network struct {
	server  *toxiproxy.ApiServer
	proxies map[string]*toxiproxy.Proxy
}

// NewNetwork returns a network without proxies.
func NewNetwork() *Network {
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	return &Network{server: server, proxies: make(map[string]*toxiproxy.Proxy)}
}

// Link starts a proxy for connections from one peer to another and returns its
// address. upstream is the address of the target.
func (n *Network) Link(from, to, upstream string) (string, error) {
	p := toxiproxy.NewProxy(n.server, from+">"+to, "127.0.0.1:0", upstream)
	if err := p.Start(); err != nil {
		return "", fmt.Errorf("start proxy %s: %w", p.Name, err)
	}
	n.proxies[p.Name] = p
	return p.Listen, nil
}

// Blackhole drops all data between a and b in both directions without closing
// the connections. New connections are accepted and transfer no data either.
func (n *Network) Blackhole(a, b string) error {
	for _, p := range n.between(a, b) {
		for _, stream := range []string{"upstream", "downstream"} {
			body := fmt.Sprintf(`{"name": %q, "type": "timeout", "stream": %q, "attributes": {"timeout": 0}}`,
				silenceToxic+"-"+stream, stream)
			if _, err := p.Toxics.AddToxicJson(strings.NewReader(body)); err != nil {
				return fmt.Errorf("drop data of proxy %s: %w", p.Name, err)
			}
		}
	}
	return nil
}

// Heal reverts Blackhole and closes the affected connections.
func (n *Network) Heal(a, b string) error {
	for _, p := range n.between(a, b) {
		for _, stream := range []string{"upstream", "downstream"} {
			if err := p.Toxics.RemoveToxic(context.Background(), silenceToxic+"-"+stream); err != nil {
				return fmt.Errorf("restore proxy %s: %w", p.Name, err)
			}
		}
	}
	return nil
}

// between returns the proxies between a and b in both directions.
func (n *Network) between(a, b string) []*toxiproxy.Proxy {
	var found []*toxiproxy.Proxy
	for _, name := range []string{a + ">" + b, b + ">" + a} {
		if p, ok := n.proxies[name]; ok {
			found = append(found, p)
		}
	}
	return found
}

// Close closes all proxies.
func (n *Network) Close() {
	for _, p := range n.proxies {
		p.Stop()
	}
}
