// Package disk defines the file system operations that the log and the
// snapshots use as an interface, so that tests can inject failures.
package disk

import (
	"errors"
	"io"
	"os"
	"path/filepath"

	"apricotrouter/steperr"
)

// File is an open file.
type File interface {
	io.Reader
	io.Writer
	io.Closer
	Sync() error
	Truncate(size int64) error
}

// FS opens, renames and removes files. Names are full paths.
type FS interface {
	// Create creates a file, or truncates an existing one, and opens it for
	// writing.
	Create(name string) (File, error)
	// Append opens an existing file for writing at its end.
	Append(name string) (File, error)
	Open(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// List returns the sorted names of the files in a directory.
	List(dir string) ([]string, error)
	MkdirAll(dir string) error
	// SyncDir makes file creations, renames and removals in a directory
	// durable.
	SyncDir(dir string) error
}

const (
	fileMode = 0o600
	dirMode  = 0o700
)

// OS is the operating system's file system.
type OS struct{}

var _ FS = OS{}

// Create implements FS.
func (OS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_RDWR, fileMode)
}

// Append implements FS.
func (OS) Append(name string) (File, error) {
	return os.OpenFile(name, os.O_APPEND|os.O_RDWR, fileMode)
}

// Open implements FS.
func (OS) Open(name string) (File, error) { return os.Open(name) }

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OS) Remove(name string) error { return os.Remove(name) }

// List implements FS.
func (OS) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

// MkdirAll implements FS.
func (OS) MkdirAll(dir string) error { return os.MkdirAll(dir, dirMode) }

// SyncDir implements FS.
func (OS) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// TempSuffix is the suffix of files that are not complete yet.
const TempSuffix = ".tmp"

// WriteFile durably replaces a file: it writes a temporary file, syncs it,
// renames it, and syncs the directory. After a crash the file contains either
// its old or its new content.
func WriteFile(fs FS, name string, data []byte) error {
	f, err := fs.Create(name + TempSuffix)
	if err != nil {
		return steperr.Wrap(err, "create file", name)
	}
	if err := writeAndSync(f, data); err != nil {
		// On a full disk the incomplete file would take the space of the next attempt.
		return steperr.Wrap(errors.Join(err, fs.Remove(name+TempSuffix)), "write file", name)
	}
	if err := fs.Rename(name+TempSuffix, name); err != nil {
		return steperr.Wrap(err, "rename file", name)
	}
	return steperr.Wrap(fs.SyncDir(filepath.Dir(name)), "sync folder", filepath.Dir(name))
}

func writeAndSync(f File, data []byte) error {
	_, err := f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	return err
}

// ReadFile returns the content of a file.
func ReadFile(fs FS, name string) ([]byte, error) {
	f, err := fs.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(f)
}
