package disk

// Op is a file system operation that Faulty can fail.
type Op string

// Operations that Faulty can fail.
const (
	OpCreate  Op = "create"
	OpWrite   Op = "write"
	OpSync    Op = "sync"
	OpRename  Op = "rename"
	OpRemove  Op = "remove"
	OpSyncDir Op = "sync folder"
)

// Faulty is a file system for tests that injects failures.
type Faulty struct {
	FS
	// Fail is called with the file name before each operation. The operation
	// fails with the error that Fail returns; a failed write writes half of its
	// data.
	Fail func(op Op, name string) error
}

var _ FS = (*Faulty)(nil)

// Create implements FS.
func (f *Faulty) Create(name string) (File, error) {
	if err := f.Fail(OpCreate, name); err != nil {
		return nil, err
	}
	file, err := f.FS.Create(name)
	return &faultyFile{File: file, fs: f, name: name}, err
}

// Append implements FS.
func (f *Faulty) Append(name string) (File, error) {
	file, err := f.FS.Append(name)
	return &faultyFile{File: file, fs: f, name: name}, err
}

// Rename implements FS.
func (f *Faulty) Rename(from, to string) error {
	if err := f.Fail(OpRename, from); err != nil {
		return err
	}
	return f.FS.Rename(from, to)
}

// Remove implements FS.
func (f *Faulty) Remove(name string) error {
	if err := f.Fail(OpRemove, name); err != nil {
		return err
	}
	return f.FS.Remove(name)
}

// SyncDir implements FS.
func (f *Faulty) SyncDir(dir string) error {
	if err := f.Fail(OpSyncDir, dir); err != nil {
		return err
	}
	return f.FS.SyncDir(dir)
}

type faultyFile struct {
	File
	fs   *Faulty
	name string
}

func (f *faultyFile) Write(b []byte) (int, error) {
	if err := f.fs.Fail(OpWrite, f.name); err != nil {
		n, _ := f.File.Write(b[:len(b)/2])
		return n, err
	}
	return f.File.Write(b)
}

func (f *faultyFile) Sync() error {
	if err := f.fs.Fail(OpSync, f.name); err != nil {
		return err
	}
	return f.File.Sync()
}
