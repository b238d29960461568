package replica

import (
	"log/slog"

	"apricotrouter/event"
	"apricotrouter/raft"
	"apricotrouter/transport"
)

// packetBytes is the target size of the entry data in one packet, well below
// the transport's frame limit.
const packetBytes = 1 << 20

// packet carries raft messages between two replicas of a group. A packet for a
// different replica id is rejected: the receiver's data directory is not the
// one that the sender addresses.
type packet struct {
	Group    string         `cbor:"1,keyasint"`
	From     raft.ID        `cbor:"2,keyasint"`
	To       raft.ID        `cbor:"3,keyasint"`
	Messages []raft.Message `cbor:"4,keyasint"`
}

// registerHandlers registers the message handlers with the transport.
func (r *Replica) registerHandlers() {
	m := r.opts.Mux
	transport.OnOneWay(m, transport.KindRaft, func(from string, p *packet) {
		r.inbox.postDroppable(func() { r.receive(from, p) })
	})
	transport.OnCall(m, transport.KindRaftSnapshot, r.onChunk)
	transport.OnCall(m, transport.KindPropose, r.onPropose)
	transport.OnCall(m, transport.KindFreshness, r.onFreshness)
	transport.OnCall(m, transport.KindFormation, r.onFormation)
}

// receive runs on the loop goroutine.
func (r *Replica) receive(from string, p *packet) {
	if !r.acceptsMessage(from, p.Group, p.To) {
		return
	}
	r.members.byID[p.From] = from
	for _, m := range p.Messages {
		m.From, m.To = p.From, p.To
		r.core.Step(m)
	}
}

// acceptsMessage reports whether a message is addressed to this replica. A
// replica without a group joins the group that addresses it by its replica id.
func (r *Replica) acceptsMessage(from, group string, to raft.ID) bool {
	if to == r.id.Replica && r.id.Group == "" && group != "" {
		r.setGroup(group)
	}
	if to == r.id.Replica && group == r.id.Group && group != "" {
		return true
	}
	r.metrics.refused.Inc()
	event.Log(r.opts.Logger, event.ReplicaMessageRefused, slog.String("peer", from),
		slog.Uint64("replica", uint64(to)), slog.String("group", group))
	return false
}

func (r *Replica) setGroup(group string) {
	id := r.id
	id.Group = group
	if err := r.store.saveIdentity(id); err != nil {
		r.detachStorage(err)
		return
	}
	r.id = id
	event.Log(r.opts.Logger, event.ReplicaFormed, slog.String("group", group))
}

// send sends messages in order, in one packet per receiver unless they exceed
// packetBytes.
func (r *Replica) send(msgs []raft.Message) {
	var order []raft.ID
	byTarget := make(map[raft.ID][]raft.Message)
	for _, m := range msgs {
		if m.Type == raft.MsgSnapshot {
			r.startSnapshotTransfer(m.To)
			continue
		}
		if byTarget[m.To] == nil {
			order = append(order, m.To)
		}
		byTarget[m.To] = append(byTarget[m.To], m)
	}
	for _, to := range order {
		r.sendTo(to, byTarget[to])
	}
}

func (r *Replica) sendTo(to raft.ID, msgs []raft.Message) {
	instance := r.instanceOf(to)
	if instance == "" {
		return
	}
	for len(msgs) > 0 {
		n, size := 0, 0
		for n < len(msgs) && (n == 0 || size < packetBytes) {
			for i := range msgs[n].Entries {
				size += len(msgs[n].Entries[i].Data)
			}
			n++
		}
		p := packet{Group: r.id.Group, From: r.id.Replica, To: to, Messages: msgs[:n]}
		// The core retransmits lost messages.
		_ = r.opts.Peers.SendOneWay(instance, transport.KindRaft, p)
		msgs = msgs[n:]
	}
}

// instanceOf returns the instance on which a replica runs, or "" if unknown.
func (r *Replica) instanceOf(id raft.ID) string {
	if id == r.id.Replica {
		return r.opts.Self
	}
	members := r.core.Status().Members
	if v := members.Voter(id); v != nil {
		return v.Instance
	}
	return r.members.byID[id]
}
