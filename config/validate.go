package config

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Accepted ranges. The heartbeat must be lost several times in a row before
// an election starts, hence the factor.
const (
	maxBodyBytes         = 1 << 30
	heartbeatsInTimeout  = 3
	maxPeers             = 64
	acceptedAddress      = "IP:port, such as 10.0.1.1:7400"
	acceptedID           = "1 to 63 letters, digits, dots, dashes and underscores that start with a letter or digit"
	acceptedInitialVoter = "1, 3 or 5 peers with initial_voter: true"
)

var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// durationRange bounds one setting.
type durationRange struct {
	key      string
	value    time.Duration
	min, max time.Duration
}

// validate checks the values of c and records what it refuses.
func (p *reader) validate(c *Config) {
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

func (p *reader) checkID(key, id string) {
	if id == "" {
		p.fail(key, acceptedID, "is missing")
		return
	}
	if !idPattern.MatchString(id) {
		p.fail(key, acceptedID, "%q is no valid name", id)
	}
}

func (p *reader) checkOneOf(key, value string, accepted ...string) {
	if !slices.Contains(accepted, value) {
		p.fail(key, strings.Join(accepted, " or "), "%q is not known", value)
	}
}

// address parses an IP:port and records an error if it is none.
func (p *reader) address(key, value string) (netip.AddrPort, bool) {
	if value == "" {
		p.fail(key, acceptedAddress, "is missing")
		return netip.AddrPort{}, false
	}
	a, err := netip.ParseAddrPort(value)
	if err != nil {
		p.fail(key, acceptedAddress, "%q is no IP address with a port", value)
		return netip.AddrPort{}, false
	}
	return a, true
}

// named is an address with the key that sets it.
type named struct {
	key  string
	addr netip.AddrPort
}

// overlap reports whether two listeners would compete for one port.
func overlap(a, b netip.AddrPort) bool {
	if a.Port() != b.Port() || a.Port() == 0 {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

// listeners returns the valid listen addresses.
func (p *reader) listeners(c *Config) []named {
	var all []named
	for _, l := range []struct{ key, value string }{
		{"listen.entry", c.Listen.Entry},
		{"listen.operator", c.Listen.Operator},
		{"listen.peer", c.Listen.Peer},
		{"listen.admin", c.Listen.Admin},
	} {
		if a, ok := p.address(l.key, l.value); ok {
			all = append(all, named{l.key, a})
		}
	}
	return all
}

func (p *reader) checkListen(c *Config) {
	all := p.listeners(c)
	for i, a := range all {
		for _, b := range all[:i] {
			if overlap(a.addr, b.addr) {
				p.fail(a.key, "a different port or IP for each listener", "%s overlaps %s (%s)", a.addr, b.key, b.addr)
			}
		}
		for j, peer := range c.Peers {
			if peer.ID != c.Instance.ID && peer.Address == a.addr.String() {
				p.fail(a.key, "an address that no other instance has", "%s is the address of peers[%d] (%s)", a.addr, j, peer.ID)
			}
		}
	}
}

func (p *reader) checkPeers(c *Config) {
	if len(c.Peers) == 0 || len(c.Peers) > maxPeers {
		p.fail("peers", fmt.Sprintf("1 to %d entry instances, this one included", maxPeers), "has %d entries", len(c.Peers))
	}
	ids := map[string]int{}
	addresses := map[netip.AddrPort]int{}
	for i, peer := range c.Peers {
		key := fmt.Sprintf("peers[%d]", i)
		p.checkID(key+".id", peer.ID)
		p.checkID(key+".availability_zone", peer.AvailabilityZone)
		if first, ok := ids[peer.ID]; ok {
			p.fail(key+".id", "a different id for each peer", "%q is also the id of peers[%d]", peer.ID, first)
		}
		ids[peer.ID] = i
		a, ok := p.address(key+".address", peer.Address)
		if !ok {
			continue
		}
		if a.Port() == 0 || a.Addr().IsUnspecified() {
			p.fail(key+".address", acceptedAddress, "%s can't be dialled", a)
		}
		if first, ok := addresses[a]; ok {
			p.fail(key+".address", "a different address for each peer", "%s is also the address of peers[%d]", a, first)
		}
		addresses[a] = i
	}
}

func (p *reader) checkSelf(c *Config) {
	if c.Instance.ID == "" {
		return
	}
	i := slices.IndexFunc(c.Peers, func(peer Peer) bool { return peer.ID == c.Instance.ID })
	if i < 0 {
		p.fail("instance.id", "the id of one of peers", "%q is not among peers", c.Instance.ID)
		return
	}
	self := c.Peers[i]
	if self.AvailabilityZone != c.Instance.AvailabilityZone {
		p.fail("instance.availability_zone", fmt.Sprintf("%q as in peers[%d]", self.AvailabilityZone, i), "%q differs from this instance's entry in peers", c.Instance.AvailabilityZone)
	}
	if self.InitialVoter && c.Instance.DataFolder == "" {
		p.fail("instance.data_folder", "a folder on a disk that survives a restart", "is missing, but peers[%d] makes this instance an initial voter", i)
	}
}

func (p *reader) checkVoters(c *Config) {
	n := len(c.Voters())
	if n != 1 && n != 3 && n != 5 {
		p.fail("peers", acceptedInitialVoter, "has %d initial voters", n)
	}
}

func (p *reader) checkDispatch(c *Config) {
	d := c.Dispatch
	if d.MaxBodyBytes < 1 || d.MaxBodyBytes > maxBodyBytes {
		p.fail("dispatch.max_body_bytes", fmt.Sprintf("1 to %d bytes", maxBodyBytes), "%d is out of range", d.MaxBodyBytes)
	}
	p.checkDurations(
		durationRange{"dispatch.default_timeout", d.DefaultTimeout, 10 * time.Millisecond, 5 * time.Minute},
		durationRange{"dispatch.shutdown_grace", d.ShutdownGrace, 0, 10 * time.Minute},
	)
}

func (p *reader) checkTiming(c *Config) {
	t := c.Timing
	p.checkDurations(
		durationRange{"timing.heartbeat", t.Heartbeat, 50 * time.Millisecond, 10 * time.Second},
		durationRange{"timing.election_timeout", t.ElectionTimeout, 150 * time.Millisecond, time.Minute},
		durationRange{"timing.repair_after", t.RepairAfter, time.Second, 24 * time.Hour},
	)
	if least := heartbeatsInTimeout * t.Heartbeat; t.ElectionTimeout < least {
		p.fail("timing.election_timeout", fmt.Sprintf("at least %s, %d times timing.heartbeat", least, heartbeatsInTimeout), "%s is too short", t.ElectionTimeout)
	}
	if least := 2 * t.ElectionTimeout; t.RepairAfter < least {
		p.fail("timing.repair_after", fmt.Sprintf("at least %s, the longest election timeout", least), "%s is too short", t.RepairAfter)
	}
}

func (p *reader) checkDurations(ranges ...durationRange) {
	for _, r := range ranges {
		if r.value < r.min || r.value > r.max {
			p.fail(r.key, fmt.Sprintf("%s to %s", r.min, r.max), "%s is out of range", r.value)
		}
	}
}

func (p *reader) checkTLS(c *Config) {
	t := c.TLS
	set := t.Certificate != "" || t.Key != "" || t.ClientCA != "" || t.PeerCA != ""
	for _, f := range []struct{ key, value string }{
		{"tls.certificate", t.Certificate},
		{"tls.key", t.Key},
		{"tls.client_ca", t.ClientCA},
	} {
		if set && f.value == "" {
			p.fail(f.key, "certificate, key and client_ca together, or none of them", "is missing")
		}
	}
	a, err := netip.ParseAddrPort(c.Listen.Operator)
	if err != nil || set || t.AllowPlainOperatorPort || a.Addr().IsLoopback() {
		return
	}
	p.fail("listen.operator", "a loopback address, or tls with certificate, key and client_ca, or tls.allow_plain_operator_port: true",
		"%s is not a loopback address and has no TLS", a)
}
