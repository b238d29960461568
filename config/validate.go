package config

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Accepted ranges. The election timeout spans at least minHeartbeatsPerTimeout
// heartbeats, because an election must start only after several consecutive
// heartbeats are lost.
const (
	maxBodyBytes            = 1 << 30
	minHeartbeatsPerTimeout = 3
	maxPeers                = 64
	acceptedAddress         = "IP:port, such as 10.0.1.1:7400"
	acceptedID              = "1 to 63 letters, digits, dots, dashes and underscores that start with a letter or digit"
	acceptedInitialVoter    = "1, 3 or 5 peers with initial_voter: true"
)

var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// durationRange is the accepted range of a setting, and its value.
type durationRange struct {
	key      string
	value    time.Duration
	min, max time.Duration
}

// validate checks the values in c and records an error for each invalid one.
func (p *parseState) validate(c *Config) {
	p.checkID("instance.id", c.Instance.ID)
	p.checkID("instance.availability_zone", c.Instance.AvailabilityZone)
	p.checkListen(c)
	p.checkPeers(c)
	p.checkSelf(c)
	p.checkVoters(c)
	p.checkDispatch(c)
	p.checkTiming(c)
	p.checkTLS(c)
	p.checkOneOf("log.format", c.Log.Format, "json", "text")
	p.checkOneOf("log.level", c.Log.Level, "debug", "info", "warn", "error")
}

func (p *parseState) checkID(key, id string) {
	if id == "" {
		p.addError(key, acceptedID, "is missing")
		return
	}
	if !idPattern.MatchString(id) {
		p.addError(key, acceptedID, "%q is no valid name", id)
	}
}

func (p *parseState) checkOneOf(key, value string, accepted ...string) {
	if !slices.Contains(accepted, value) {
		p.addError(key, strings.Join(accepted, " or "), "%q is not known", value)
	}
}

// parseAddress parses an IP:port and records an error if value is not one.
func (p *parseState) parseAddress(key, value string) (netip.AddrPort, bool) {
	if value == "" {
		p.addError(key, acceptedAddress, "is missing")
		return netip.AddrPort{}, false
	}
	a, err := netip.ParseAddrPort(value)
	if err != nil {
		p.addError(key, acceptedAddress, "%q is no IP address with a port", value)
		return netip.AddrPort{}, false
	}
	return a, true
}

// listenAddress is a listen address with the key of its setting.
type listenAddress struct {
	key  string
	addr netip.AddrPort
}

// overlap reports whether two listeners would use the same port of an address.
func overlap(a, b netip.AddrPort) bool {
	if a.Port() != b.Port() || a.Port() == 0 {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

// listenAddresses returns the valid listen addresses and records an error for
// each invalid one.
func (p *parseState) listenAddresses(c *Config) []listenAddress {
	var addresses []listenAddress
	for _, l := range []struct{ key, value string }{
		{"listen.entry", c.Listen.Entry},
		{"listen.operator", c.Listen.Operator},
		{"listen.peer", c.Listen.Peer},
		{"listen.admin", c.Listen.Admin},
	} {
		if a, ok := p.parseAddress(l.key, l.value); ok {
			addresses = append(addresses, listenAddress{l.key, a})
		}
	}
	return addresses
}

func (p *parseState) checkListen(c *Config) {
	addresses := p.listenAddresses(c)
	for i, a := range addresses {
		for _, b := range addresses[:i] {
			if overlap(a.addr, b.addr) {
				p.addError(a.key, "a different port or IP for each listener", "%s overlaps %s (%s)", a.addr, b.key, b.addr)
			}
		}
		for j, peer := range c.Peers {
			if peer.ID != c.Instance.ID && peer.Address == a.addr.String() {
				p.addError(a.key, "an address that no other instance has", "%s is the address of peers[%d] (%s)", a.addr, j, peer.ID)
			}
		}
	}
}

func (p *parseState) checkPeers(c *Config) {
	if len(c.Peers) == 0 || len(c.Peers) > maxPeers {
		p.addError("peers", fmt.Sprintf("1 to %d entry instances, this one included", maxPeers), "has %d entries", len(c.Peers))
	}
	ids := map[string]int{}
	addresses := map[netip.AddrPort]int{}
	for i, peer := range c.Peers {
		key := fmt.Sprintf("peers[%d]", i)
		p.checkID(key+".id", peer.ID)
		p.checkID(key+".availability_zone", peer.AvailabilityZone)
		if first, ok := ids[peer.ID]; ok {
			p.addError(key+".id", "a different id for each peer", "%q is also the id of peers[%d]", peer.ID, first)
		}
		ids[peer.ID] = i
		a, ok := p.parseAddress(key+".address", peer.Address)
		if !ok {
			continue
		}
		if a.Port() == 0 || a.Addr().IsUnspecified() {
			p.addError(key+".address", acceptedAddress, "%s can't be dialled", a)
		}
		if first, ok := addresses[a]; ok {
			p.addError(key+".address", "a different address for each peer", "%s is also the address of peers[%d]", a, first)
		}
		addresses[a] = i
	}
}

func (p *parseState) checkSelf(c *Config) {
	if c.Instance.ID == "" {
		return
	}
	i := slices.IndexFunc(c.Peers, func(peer Peer) bool { return peer.ID == c.Instance.ID })
	if i < 0 {
		p.addError("instance.id", "the id of one of peers", "%q is not among peers", c.Instance.ID)
		return
	}
	self := c.Peers[i]
	if self.AvailabilityZone != c.Instance.AvailabilityZone {
		p.addError("instance.availability_zone", fmt.Sprintf("%q as in peers[%d]", self.AvailabilityZone, i), "%q differs from this instance's entry in peers", c.Instance.AvailabilityZone)
	}
	if self.InitialVoter && c.Instance.DataFolder == "" {
		p.addError("instance.data_folder", "a folder on a disk that survives a restart", "is missing, but peers[%d] makes this instance an initial voter", i)
	}
}

func (p *parseState) checkVoters(c *Config) {
	n := len(c.Voters())
	if n != 1 && n != 3 && n != 5 {
		p.addError("peers", acceptedInitialVoter, "has %d initial voters", n)
	}
}

func (p *parseState) checkDispatch(c *Config) {
	d := c.Dispatch
	if d.MaxBodyBytes < 1 || d.MaxBodyBytes > maxBodyBytes {
		p.addError("dispatch.max_body_bytes", fmt.Sprintf("1 to %d bytes", maxBodyBytes), "%d is out of range", d.MaxBodyBytes)
	}
	p.checkDurations(
		durationRange{"dispatch.default_timeout", d.DefaultTimeout, 10 * time.Millisecond, 5 * time.Minute},
		durationRange{"dispatch.shutdown_grace", d.ShutdownGrace, 0, 10 * time.Minute},
	)
}

func (p *parseState) checkTiming(c *Config) {
	t := c.Timing
	p.checkDurations(
		durationRange{"timing.heartbeat", t.Heartbeat, 50 * time.Millisecond, 10 * time.Second},
		durationRange{"timing.election_timeout", t.ElectionTimeout, 150 * time.Millisecond, time.Minute},
		durationRange{"timing.repair_after", t.RepairAfter, time.Second, 24 * time.Hour},
	)
	if minimum := minHeartbeatsPerTimeout * t.Heartbeat; t.ElectionTimeout < minimum {
		p.addError("timing.election_timeout", fmt.Sprintf("at least %s, %d times timing.heartbeat", minimum, minHeartbeatsPerTimeout), "%s is too short", t.ElectionTimeout)
	}
	if minimum := 2 * t.ElectionTimeout; t.RepairAfter < minimum {
		p.addError("timing.repair_after", fmt.Sprintf("at least %s, the longest election timeout", minimum), "%s is too short", t.RepairAfter)
	}
}

func (p *parseState) checkDurations(ranges ...durationRange) {
	for _, r := range ranges {
		if r.value < r.min || r.value > r.max {
			p.addError(r.key, fmt.Sprintf("%s to %s", r.min, r.max), "%s is out of range", r.value)
		}
	}
}

func (p *parseState) checkTLS(c *Config) {
	t := c.TLS
	configured := t.Certificate != "" || t.Key != "" || t.ClientCA != "" || t.PeerCA != ""
	for _, f := range []struct{ key, value string }{
		{"tls.certificate", t.Certificate},
		{"tls.key", t.Key},
		{"tls.client_ca", t.ClientCA},
	} {
		if configured && f.value == "" {
			p.addError(f.key, "certificate, key and client_ca together, or none of them", "is missing")
		}
	}
	a, err := netip.ParseAddrPort(c.Listen.Operator)
	if err != nil || configured || t.AllowPlainOperatorPort || a.Addr().IsLoopback() {
		return
	}
	p.addError("listen.operator", "a loopback address, or tls with certificate, key and client_ca, or tls.allow_plain_operator_port: true",
		"%s is not a loopback address and has no TLS", a)
}
