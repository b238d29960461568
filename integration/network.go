// Package integration tests real daemons, each a process of its own, with a
// fault-injecting TCP proxy between every two of them. Its tests judge by the
// records of stand-ins in the test process, not by log lines.
package integration

import (
	"context"
	"fmt"
	"strings"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
)

// silence is the name of the toxic that drops all data of one direction and
// keeps the connections open.
const silence = "silence"

// Network holds a proxy for each ordered pair of instances and one for each
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

// Link opens a proxy for connections of from to to and returns its address.
func (n *Network) Link(from, to, upstream string) (string, error) {
	p := toxiproxy.NewProxy(n.server, from+">"+to, "127.0.0.1:0", upstream)
	if err := p.Start(); err != nil {
		return "", fmt.Errorf("start proxy %s: %w", p.Name, err)
	}
	n.proxies[p.Name] = p
	return p.Listen, nil
}

// Silence lets the connections between the two carry nothing in either
// direction, without closing them. New ones are accepted and silent too.
func (n *Network) Silence(a, b string) error {
	for _, p := range n.between(a, b) {
		for _, stream := range []string{"upstream", "downstream"} {
			body := fmt.Sprintf(`{"name": %q, "type": "timeout", "stream": %q, "attributes": {"timeout": 0}}`,
				silence+"-"+stream, stream)
			if _, err := p.Toxics.AddToxicJson(strings.NewReader(body)); err != nil {
				return fmt.Errorf("silence %s: %w", p.Name, err)
			}
		}
	}
	return nil
}

// Heal ends Silence. Connections that were silent are closed.
func (n *Network) Heal(a, b string) error {
	for _, p := range n.between(a, b) {
		for _, stream := range []string{"upstream", "downstream"} {
			if err := p.Toxics.RemoveToxic(context.Background(), silence+"-"+stream); err != nil {
				return fmt.Errorf("heal %s: %w", p.Name, err)
			}
		}
	}
	return nil
}

// between returns the proxies between the two in both directions.
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
