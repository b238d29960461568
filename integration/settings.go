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
	Voter bool   // initial voter; has a data folder
	Disk  string // data folder; empty for none

	Entry, Operator, Peer, Admin string // IP:port
}

// Settings returns the settings file of m. dial returns the address under
// which m reaches another member.
func Settings(m Member, members []Member, dial func(to string) string) string {
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
			address = dial(p.ID)
		}
		fmt.Fprintf(&b, "  - {id: %s, availability_zone: %s, address: %q, initial_voter: %t}\n", p.ID, p.Zone, address, p.Voter)
	}
	b.WriteString("dispatch:\n  shutdown_grace: 500ms\n")
	fmt.Fprintf(&b, "timing:\n  repair_after: %s\n", RepairAfter)
	b.WriteString("log:\n  format: text\n")
	return b.String()
}

// RepairAfter is how long a voter of a cluster under test is silent before it
// is replaced. It is longer than an election and shorter than in operation.
const RepairAfter = "4s"

// Ports of daemons under test lie below the range from which Linux takes the
// ports of outgoing connections: a port of that range that was free a moment
// ago can be in use when the daemon opens it.
const (
	lowestPort  = 12000
	highestPort = 32000
	// maxAttempts bounds the search for free ports.
	maxAttempts = 10000
)

// FreeAddresses returns n loopback addresses whose ports were free just now.
func FreeAddresses(n int) ([]string, error) {
	var all []string
	for range maxAttempts {
		if len(all) == n {
			return all, nil
		}
		port := lowestPort + rand.IntN(highestPort-lowestPort)
		l, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(port))
		if err != nil {
			continue
		}
		// Closed only at the end, so that no port comes twice.
		defer l.Close()
		all = append(all, l.Addr().String())
	}
	return nil, fmt.Errorf("found %d of %d free ports", len(all), n)
}
