package snap_test

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"apricotrouter/disk"
	"apricotrouter/snap"
)

var errDisk = errors.New("input/output error")

// failRename fails renames, like a crash just before a rename.
func failRename(op disk.Op, _ string) error {
	if op == disk.OpRename {
		return errDisk
	}
	return nil
}

// Guards against a failed or interrupted save that corrupts the previous
// snapshot.
func TestFailedSaveKeepsPreviousContent(t *testing.T) {
	g := NewWithT(t)
	name := filepath.Join(t.TempDir(), "snapshot")
	data, err := snap.Load(disk.OS{}, name)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(data).To(BeNil())
	g.Expect(snap.Save(disk.OS{}, name, []byte("old"))).To(Succeed())
	g.Expect(snap.Save(&disk.Faulty{FS: disk.OS{}, Fail: failRename}, name, []byte("new"))).To(MatchError(errDisk))
	g.Expect(snap.Load(disk.OS{}, name)).To(Equal([]byte("old")))
	g.Expect(snap.Save(disk.OS{}, name, []byte("new"))).To(Succeed())
	g.Expect(snap.Load(disk.OS{}, name)).To(Equal([]byte("new")))
}

// Guards against a state that is restored from a corrupt file.
func TestCorruptFileIsRejected(t *testing.T) {
	g := NewWithT(t)
	name := filepath.Join(t.TempDir(), "snapshot")
	g.Expect(snap.Save(disk.OS{}, name, []byte("content"))).To(Succeed())
	whole, err := os.ReadFile(name)
	g.Expect(err).NotTo(HaveOccurred())
	for at := range whole {
		bad := append([]byte(nil), whole...)
		bad[at] ^= 1
		g.Expect(os.WriteFile(name, bad, 0o600)).To(Succeed())
		_, err := snap.Load(disk.OS{}, name)
		var damage *snap.CorruptionError
		g.Expect(errors.As(err, &damage)).To(BeTrue())
		g.Expect(damage.File).To(Equal(name))
	}
}
