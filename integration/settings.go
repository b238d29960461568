package integration

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
)

// Member is one entry instance of a cluster under test.
type Member struct {
	ID    string
	Zone  string
	Voter bool   // initial voter; needs a data directory
	Disk  string // data directory; empty for an instance without one

	Entry, Operator, Peer, Admin string // IP:port
}

// Settings returns the content of the settings file of m. addressOf returns the
// address that m dials to reach another member.
func Settings(m Member, members []Member, addressOf func(to string) string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "instance:\n  id: %s\n  availability_zone: %s\n", m.ID, m.Zone)
	if m.Disk != "" {
		fmt.Fprintf(&b, "  data_folder: %s\n", m.Disk)
	}
	fmt.Fprintf(&b, "listen:\n  entry: %q\n  operator: %q\n  peer: %q\n  admin: %q\n", m.Entry, m.Operator, m.Peer, m.Admin)
	b.WriteString("peers:\n")
	for _, p := range members {
		address := p.Peer
		if p.ID != m.ID {
			address = addressOf(p.ID)
		}
		fmt.Fprintf(&b, "  - {id: %s, availability_zone: %s, address: %q, initial_voter: %t}\n", p.ID, p.Zone, address, p.Voter)
	}
	b.WriteString("dispatch:\n  shutdown_grace: 500ms\n")
	fmt.Fprintf(&b, "timing:\n  repair_after: %s\n", RepairAfter)
	b.WriteString("log:\n  format: text\n")
	return b.String()
}

// RepairAfter is how long a voter of a cluster under test must be unresponsive
// before it is replaced. It is longer than an election and shorter than in
// production.
const RepairAfter = "4s"

// Daemons under test use ports below the ephemeral range of Linux. A free port
// of the ephemeral range could be taken by an outgoing connection before the
// daemon opens it.
const (
	minPort = 12000
	maxPort = 32000
	// maxAttempts is the maximum number of ports that are tried.
	maxAttempts = 10000
)

// FreeAddresses returns n loopback addresses (IP:port) whose ports were free at
// the time of the call.
func FreeAddresses(n int) ([]string, error) {
	var all []string
	for range maxAttempts {
		if len(all) == n {
			return all, nil
		}
		port := minPort + rand.IntN(maxPort-minPort)
		l, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(port))
		if err != nil {
			continue
		}
		// Closed on return, so that no port is returned twice.
		defer l.Close()
		all = append(all, l.Addr().String())
	}
	return nil, fmt.Errorf("found %d of %d free ports", len(all), n)
}
