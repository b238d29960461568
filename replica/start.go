package replica

// Start returns the random number of this start of the process, the
// InstanceStart under which the instance registers itself.
func (r *Replica) Start() uint64 { return r.start }
