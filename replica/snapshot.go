package replica

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"apricotrouter/event"
	"apricotrouter/raft"
	"apricotrouter/snap"
	"apricotrouter/state"
	"apricotrouter/steperr"
	"apricotrouter/transport"
)

const (
	chunkBytes = 1 << 20
	// chunkTimeout bounds the transfer of one chunk.
	chunkTimeout = 5 * time.Second
	// maxSnapshotBytes bounds the memory that an incoming transfer takes.
	maxSnapshotBytes = 1 << 30
	// compactBytes is the size of applied commands from which the log is
	// compacted before it has SnapshotEntries entries.
	compactBytes = 16 << 20
	// trailingBytes bounds the applied entries that stay in the log.
	trailingBytes = 4 << 20
)

// chunk is a part of an encoded snapshotRecord.
type chunk struct {
	Group  string  `cbor:"1,keyasint"`
	From   raft.ID `cbor:"2,keyasint"`
	To     raft.ID `cbor:"3,keyasint"`
	Term   uint64  `cbor:"4,keyasint"`
	Index  uint64  `cbor:"5,keyasint"`
	Offset int     `cbor:"6,keyasint,omitempty"`
	Total  int     `cbor:"7,keyasint"`
	Sum    uint32  `cbor:"8,keyasint"` // CRC-32C of the whole
	Data   []byte  `cbor:"9,keyasint"`
}

type chunkResponse struct{}

// startTransfer sends the state to a replica that lacks entries which are no
// longer in the log.
func (r *Replica) startTransfer(to raft.ID) {
	instance := r.instanceOf(to)
	s := r.State()
	position, ok := r.core.Position(s.Index)
	if instance == "" || !ok || r.transfers[to] {
		r.core.ReportSnapshot(to, 0)
		return
	}
	r.transfers[to] = true
	head := chunk{Group: r.id.Group, From: r.id.Replica, To: to, Term: r.core.Status().Term, Index: s.Index}
	r.tasks.Add(1)
	go func() {
		defer r.tasks.Done()
		err := r.transfer(instance, head, position, s)
		r.box.post(func() { r.endTransfer(to, instance, s.Index, err) })
	}()
}

func (r *Replica) endTransfer(to raft.ID, instance string, index uint64, err error) {
	delete(r.transfers, to)
	if err != nil {
		event.Log(r.opts.Logger, event.ReplicaSnapshotFailed, slog.String("peer", instance), slog.Any("error", err))
		index = 0
	}
	r.core.ReportSnapshot(to, index)
}

func (r *Replica) transfer(instance string, c chunk, p raft.Position, s *state.State) error {
	data, err := encodeSnapshot(p, s)
	if err != nil {
		return err
	}
	c.Total, c.Sum = len(data), snap.Checksum(data)
	for c.Offset < len(data) {
		c.Data = data[c.Offset:min(c.Offset+chunkBytes, len(data))]
		if err := r.sendChunk(instance, c); err != nil {
			return steperr.Wrap(err, "send snapshot", instance)
		}
		c.Offset += len(c.Data)
	}
	return nil
}

func (r *Replica) sendChunk(instance string, c chunk) error {
	ctx, cancel := context.WithTimeout(r.ctx, chunkTimeout)
	defer cancel()
	return r.opts.Peers.Call(ctx, instance, transport.KindRaftSnapshot, c, &chunkResponse{})
}

func encodeSnapshot(p raft.Position, s *state.State) ([]byte, error) {
	data, err := s.EncodeSnapshot()
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(snapshotRecord{Position: p, State: data})
}

// incoming collects the chunks of one transfer.
type incoming struct {
	mu    sync.Mutex
	from  raft.ID
	index uint64
	sum   uint32
	data  []byte
}

// add returns the whole once its last chunk has come.
func (in *incoming) add(c *chunk) ([]byte, error) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if c.Offset == 0 {
		in.from, in.index, in.sum, in.data = c.From, c.Index, c.Sum, nil
	}
	same := in.from == c.From && in.index == c.Index && in.sum == c.Sum
	if !same || c.Offset != len(in.data) || c.Offset+len(c.Data) > min(c.Total, maxSnapshotBytes) {
		return nil, fmt.Errorf("snapshot chunk at %d does not follow %d received bytes", c.Offset, len(in.data))
	}
	in.data = append(in.data, c.Data...)
	if len(in.data) < c.Total {
		return nil, nil
	}
	data := in.data
	in.data = nil
	if snap.Checksum(data) != c.Sum {
		return nil, fmt.Errorf("snapshot at %d has a wrong checksum", c.Index)
	}
	return data, nil
}

// received is a complete snapshot that the core has yet to accept.
type received struct {
	record snapshotRecord
	state  *state.State
}

func (r *Replica) onChunk(ctx context.Context, from string, c *chunk) (*chunkResponse, error) {
	data, err := r.incoming.add(c)
	if err != nil || data == nil {
		return &chunkResponse{}, err
	}
	got := new(received)
	if err := cbor.Unmarshal(data, &got.record); err != nil {
		return nil, steperr.Wrap(err, "decode snapshot", from)
	}
	if got.state, err = state.DecodeSnapshot(got.record.State); err != nil {
		return nil, steperr.Wrap(err, "decode snapshot", from)
	}
	var accepted bool
	err = r.do(ctx, func() {
		if accepted = r.accepts(from, c.Group, c.To); accepted {
			r.members.byID[c.From] = from
			r.offer(c, got)
		}
	})
	if err == nil && !accepted {
		err = fmt.Errorf("snapshot is for replica %d of group %s", c.To, c.Group)
	}
	return &chunkResponse{}, err
}

// offer gives a received snapshot to the core, and keeps it to be installed if
// the core has taken it.
func (r *Replica) offer(c *chunk, got *received) {
	p := &got.record.Position
	r.core.Step(raft.Message{Type: raft.MsgSnapshot, From: c.From, To: c.To, Term: c.Term, Snapshot: p})
	if base := r.core.Base(); base.Index == p.Index && base.Term == p.Term {
		r.received = got
	}
}

// installSnapshot replaces the state by the received snapshot. The state is
// replaced first: it is committed whether or not this disk can keep it.
func (r *Replica) installSnapshot(p raft.Position) error {
	got := r.received
	r.received = nil
	if got.state.Index > r.State().Index {
		r.state.Store(got.state)
		r.notify()
	}
	r.compact.snapshotAt = p.Index
	event.Log(r.opts.Logger, event.ReplicaSnapshotInstalled, slog.Uint64("index", p.Index))
	if err := r.store.saveSnapshot(&got.record); err != nil {
		return err
	}
	return r.store.rewrite(r.core.Base(), r.core.HardState(), r.core.Status().Commit, r.core.Tail())
}

// compaction is when the log was compacted last.
type compaction struct {
	snapshotAt uint64
	bytes      int // of commands applied since
	running    bool
}

// maybeCompact saves a snapshot and shortens the log when it has grown. The
// state is encoded and written beside the loop.
func (r *Replica) maybeCompact() {
	s := r.State()
	grown := s.Index-r.compact.snapshotAt >= r.opts.SnapshotEntries || r.compact.bytes >= compactBytes
	if r.compact.running || !grown {
		return
	}
	position, ok := r.core.Position(s.Index)
	if !ok {
		return
	}
	r.compact = compaction{snapshotAt: s.Index, running: true}
	store := r.store
	if store == nil {
		r.shortenLog(s.Index)
		return
	}
	r.tasks.Add(1)
	go func() {
		defer r.tasks.Done()
		err := saveState(store, position, s)
		r.box.post(func() {
			if err != nil && store == r.store {
				r.dropStorage(err)
				return
			}
			r.shortenLog(s.Index)
		})
	}()
}

func saveState(store *storage, p raft.Position, s *state.State) error {
	data, err := s.EncodeSnapshot()
	if err != nil {
		return err
	}
	return store.saveSnapshot(&snapshotRecord{Position: p, State: data})
}

// shortenLog forgets what the snapshot at index holds, except for some entries
// for replicas that are a little behind.
func (r *Replica) shortenLog(index uint64) {
	r.compact.running = false
	r.core.Compact(index - r.trailing(index))
	err := r.store.rewrite(r.core.Base(), r.core.HardState(), r.core.Status().Commit, r.core.Tail())
	if err != nil {
		r.dropStorage(err)
	}
}

// trailing returns how many entries up to index stay in the log.
func (r *Replica) trailing(index uint64) uint64 {
	base := r.core.Base().Index
	tail := r.core.Tail()
	n, size := uint64(0), 0
	for i := index; i > base && n < r.opts.TrailingEntries; i-- {
		size += len(tail[i-base-1].Data)
		if size > trailingBytes {
			break
		}
		n++
	}
	return n
}
