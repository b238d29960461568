package soak

// NewNetwork reserves the loopback network of a seed.
func NewNetwork(seed uint64) (*network, error) {
	n, err := newNetwork(&Options{Seed: seed})
	return &n, err
}

// Prefix returns the first three octets of the network's addresses.
func (n *network) Prefix() string { return n.prefix }

// Close releases the network.
func (n *network) Close() { _ = n.reservation.Close() }
