package replica

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"apricotrouter/disk"
	"apricotrouter/raft"
	"apricotrouter/state"
)

func entries(term uint64, from, to uint64) []raft.Entry {
	var es []raft.Entry
	for i := from; i <= to; i++ {
		es = append(es, raft.Entry{Index: i, Term: term})
	}
	return es
}

func snapshotAt(g *WithT, index, term uint64) *snapshotRecord {
	s := state.New()
	s.Index = index
	data, err := s.EncodeSnapshot()
	g.Expect(err).NotTo(HaveOccurred())
	return &snapshotRecord{Position: raft.Position{Index: index, Term: term}, State: data}
}

// Guards against an inconsistent log and snapshot after a crash between saving
// a received snapshot and rewriting the log.
func TestCrashBetweenSnapshotAndLog(t *testing.T) {
	for name, tc := range map[string]struct {
		snapshot, term uint64
		base, left     uint64 // expected after the restart
	}{
		"log ends before the snapshot":  {snapshot: 10, term: 2, base: 10, left: 0},
		"log differs from the snapshot": {snapshot: 4, term: 2, base: 4, left: 0},
		"log goes on after it":          {snapshot: 4, term: 1, base: 0, left: 6},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			dir := t.TempDir()
			st, _, _, err := openStorage(disk.OS{}, dir)
			g.Expect(err).NotTo(HaveOccurred())
			_, err = st.write(&raft.HardState{Term: 1, Vote: 7}, entries(1, 1, 6), 3)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(st.sync()).To(Succeed())
			g.Expect(st.saveSnapshot(snapshotAt(g, tc.snapshot, tc.term))).To(Succeed())
			g.Expect(st.close()).To(Succeed())
			_, _, rec, err := openStorage(disk.OS{}, dir)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(rec.base.Index).To(Equal(tc.base))
			g.Expect(rec.entries).To(HaveLen(int(tc.left)))
			g.Expect(rec.state.Index).To(Equal(tc.snapshot))
			g.Expect(rec.hard).To(Equal(raft.HardState{Term: 1, Vote: 7}))
		})
	}
}

// crash stops all operations of a file system after some of them, as if the
// process had been killed there.
type crash struct {
	armed    bool
	after    int // operations until the crash
	happened bool
}

func (c *crash) fs() disk.FS {
	return &disk.Faulty{FS: disk.OS{}, Fail: func(disk.Op, string) error {
		if c.armed {
			c.after--
		}
		if c.after >= 0 {
			return nil
		}
		c.happened = true
		return errFullDisk
	}}
}

// reopenTwice opens the data directory, appends the next entry as a running
// replica does, and opens the directory again.
func reopenTwice(g *WithT, dir, at string) {
	var appended raft.Entry
	for i := range 2 {
		st, _, rec, err := openStorage(disk.OS{}, dir)
		g.Expect(err).NotTo(HaveOccurred(), "%s, start %d", at, i+1)
		last := rec.base.Index + uint64(len(rec.entries))
		g.Expect(last).To(BeNumerically(">=", acknowledged), at)
		if rec.hard.Term == promised.Term {
			g.Expect(rec.hard).To(Equal(promised), at)
		}
		g.Expect(rec.hard.Term).To(BeNumerically(">=", promised.Term), at)
		if i > 0 {
			g.Expect(rec.entries).To(ContainElement(appended), at)
		}
		appended = raft.Entry{Index: last + 1, Term: 9}
		_, err = st.write(nil, []raft.Entry{appended}, last)
		g.Expect(err).NotTo(HaveOccurred(), at)
		g.Expect(st.sync()).To(Succeed(), at)
		g.Expect(st.close()).To(Succeed(), at)
	}
}

// What the replica has acknowledged before the operations of
// TestCrashAtEachStepOfAnOperation.
var (
	promised     = raft.HardState{Term: 1, Vote: 7}
	acknowledged = uint64(6) // last entry
)

// Guards against a data directory that a replica can't open, or that has lost
// what was acknowledged, after a crash between the files of one operation and
// another crash while the directory is opened.
func TestCrashAtEachStepOfAnOperation(t *testing.T) {
	install := func(st *storage, r *snapshotRecord) error {
		if err := st.saveSnapshot(r); err != nil {
			return err
		}
		return st.rewrite(r.Position, raft.HardState{Term: 2}, r.Position.Index, nil)
	}
	for name, operation := range map[string]func(g *WithT, st *storage) error{
		"received snapshot": func(g *WithT, st *storage) error { return install(st, snapshotAt(g, 10, 2)) },
		"compaction": func(g *WithT, st *storage) error {
			if err := st.saveSnapshot(snapshotAt(g, 5, 1)); err != nil {
				return err
			}
			return st.rewrite(raft.Position{Index: 4, Term: 1}, promised, 5, entries(1, 5, 6))
		},
		"return of the disk": func(_ *WithT, st *storage) error {
			s := state.New()
			s.Index = 10
			rec := recoveredState{hard: promised, entries: entries(1, 1, 6), state: state.New()}
			return st.advance(&rec, raft.Position{Index: 10, Term: 2}, s)
		},
		"forming the group": func(g *WithT, st *storage) error {
			id := identity{Replica: 1, FormingGroup: "g"}
			if err := st.saveIdentity(id); err != nil {
				return err
			}
			if err := install(st, snapshotAt(g, 10, 2)); err != nil {
				return err
			}
			id.Group = "g"
			return st.saveIdentity(id)
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			for n, crashed := 0, true; crashed; n++ {
				for m, crashedAgain := 0, true; crashedAgain; m++ {
					at := fmt.Sprintf("crash after %d operations, and after %d of the next start", n, m)
					dir := t.TempDir()
					var first crash
					st, _, _, err := openStorage(first.fs(), dir)
					g.Expect(err).NotTo(HaveOccurred())
					_, err = st.write(&promised, entries(1, 1, acknowledged), 3)
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(st.sync()).To(Succeed())
					first.armed, first.after = true, n
					err = operation(g, st)
					crashed = first.happened
					g.Expect(err != nil).To(Equal(crashed), at)

					second := crash{armed: true, after: m}
					_, _, _, err = openStorage(second.fs(), dir)
					crashedAgain = second.happened
					g.Expect(err != nil).To(Equal(crashedAgain), at)
					reopenTwice(g, dir, at)
				}
			}
		})
	}
}

// Guards against a replica that votes twice in a term, or loses entries that it
// acknowledged, when its disk works again after a failed write.
func TestReopenedStorageKeepsWhatWasAcknowledged(t *testing.T) {
	for name, tc := range map[string]struct {
		applied, term uint64 // position of the state in memory
		base, last    uint64 // expected
	}{
		"state as old as the disk":         {applied: 3, term: 1, base: 0, last: 6},
		"entries after the state are kept": {applied: 5, term: 1, base: 0, last: 6},
		"state conflicts with the entries": {applied: 5, term: 2, base: 5, last: 5},
		"state newer than the entries":     {applied: 9, term: 2, base: 9, last: 9},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var full bool
			fs := &disk.Faulty{FS: disk.OS{}, Fail: func(op disk.Op, _ string) error {
				if full && op == disk.OpSync {
					return errFullDisk
				}
				return nil
			}}
			dir := t.TempDir()
			st, id, _, err := openStorage(fs, dir)
			g.Expect(err).NotTo(HaveOccurred())
			_, err = st.write(&raft.HardState{Term: 3, Vote: 7}, entries(1, 1, 6), 3)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(st.sync()).To(Succeed())
			full = true
			_, err = st.write(&raft.HardState{Term: 4, Vote: 8}, nil, 3) // its message is never sent
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(st.sync()).NotTo(Succeed())
			g.Expect(st.close()).To(Succeed())
			full = false

			s := state.New()
			s.Index = tc.applied
			again, sameID, rec, err := openStorage(fs, dir)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(again.advance(&rec, raft.Position{Index: tc.applied, Term: tc.term}, s)).To(Succeed())
			g.Expect(again.close()).To(Succeed())
			for range 2 {
				g.Expect(sameID).To(Equal(id))
				g.Expect(rec.hard).To(Or(Equal(raft.HardState{Term: 3, Vote: 7}), Equal(raft.HardState{Term: 4, Vote: 8})))
				g.Expect(rec.base.Index).To(Equal(tc.base))
				g.Expect(rec.base.Index + uint64(len(rec.entries))).To(Equal(tc.last))
				g.Expect(rec.state.Index).To(Equal(tc.applied))
				_, _, rec, err = openStorage(disk.OS{}, dir)
				g.Expect(err).NotTo(HaveOccurred())
			}
		})
	}
}

var errFullDisk = errors.New("no space left on device")

// Guards against a replica that votes under a new id with the old log, or
// starts with only some of its files.
func TestIncompleteDataFolderIsRefused(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	st, id, _, err := openStorage(disk.OS{}, dir)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(st.saveSnapshot(snapshotAt(g, 5, 1))).To(Succeed())
	g.Expect(st.rewrite(raft.Position{Index: 5, Term: 1}, raft.HardState{Term: 1}, 5, nil)).To(Succeed())
	g.Expect(st.close()).To(Succeed())
	_, again, _, err := openStorage(disk.OS{}, dir)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again).To(Equal(id))
	g.Expect(os.Remove(filepath.Join(dir, identityFile))).To(Succeed())
	_, _, _, err = openStorage(disk.OS{}, dir)
	g.Expect(err).To(MatchError(ContainSubstring("no identity")))
	g.Expect(st.saveIdentity(id)).To(Succeed())
	g.Expect(os.Remove(filepath.Join(dir, snapshotFile))).To(Succeed())
	_, _, _, err = openStorage(disk.OS{}, dir)
	g.Expect(err).To(MatchError(ContainSubstring("no snapshot")))
}

// Guards against corruption in the middle of the log that is not detected when
// a replica starts.
func TestDamagedLogIsRefusedByName(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	st, _, _, err := openStorage(disk.OS{}, dir)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = st.write(&raft.HardState{Term: 1}, entries(1, 1, 20), 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(st.sync()).To(Succeed()) // corrupt unsynced records would be truncated without an error
	g.Expect(st.close()).To(Succeed())
	files, err := filepath.Glob(filepath.Join(dir, walDir, "*"))
	g.Expect(err).NotTo(HaveOccurred())
	data, err := os.ReadFile(files[0])
	g.Expect(err).NotTo(HaveOccurred())
	data[len(data)/2] ^= 0xff
	g.Expect(os.WriteFile(files[0], data, 0o600)).To(Succeed())
	_, _, _, err = openStorage(disk.OS{}, dir)
	g.Expect(err).To(MatchError(And(ContainSubstring(files[0]), ContainSubstring("offset"))))
	g.Expect(strings.Contains(err.Error(), "damaged")).To(BeTrue())
}
