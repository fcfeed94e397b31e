package store

import (
	"io"
	"os"
	"path/filepath"
	"sort"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// Disk is the part of a file system that the store needs. Written data survives
// a crash only once File.Sync has returned, and a new name only once SyncFolder
// has returned.
type Disk interface {
	// Names returns the names of the files, sorted.
	Names() ([]string, error)
	// Read returns the content of a file.
	Read(name string) ([]byte, error)
	// Create creates an empty file, replacing any file with the same name.
	Create(name string) (File, error)
	// Append opens a file for writing at its end.
	Append(name string) (File, error)
	// Truncate cuts a file to size bytes.
	Truncate(name string, size int64) error
	// Rename renames a file, replacing any file with the new name.
	Rename(from, to string) error
	// Remove deletes a file.
	Remove(name string) error
	// SyncFolder makes the names of the files durable.
	SyncFolder() error
}

// File is a file open for writing.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// Folder is a Disk in a folder of the host's file system. It is locked against
// other processes while it is open.
type Folder struct {
	path string
	lock *os.File
}

const lockName = "LOCK"

// LockedError is returned if another process has the data folder open.
type LockedError struct {
	Path string
}

// Error implements error.
func (e *LockedError) Error() string {
	return "data folder " + e.Path + " is in use by another process"
}

// OpenFolder creates the folder if it does not exist, and locks it.
func OpenFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, errors.Wrap(err, "make data folder")
	}
	lock, err := os.OpenFile(filepath.Join(path, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open lock file")
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, &LockedError{
			Path: path,
		}
	}
	return &Folder{
		path: path,
		lock: lock,
	}, nil
}

// Close releases the lock.
func (f *Folder) Close() error {
	return f.lock.Close()
}

// Names implements Disk.
func (f *Folder) Names() ([]string, error) {
	list, err := os.ReadDir(f.path)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(list))
	for _, e := range list {
		if e.Name() != lockName {
			names = append(names, e.Name())
		}
	}
	sort.Strings(names)
	return names, nil
}

// Read implements Disk.
func (f *Folder) Read(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(f.path, name))
}

// Create implements Disk.
func (f *Folder) Create(name string) (File, error) {
	return os.OpenFile(filepath.Join(f.path, name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
}

// Append implements Disk.
func (f *Folder) Append(name string) (File, error) {
	return os.OpenFile(filepath.Join(f.path, name), os.O_APPEND|os.O_WRONLY, 0o600)
}

// Truncate implements Disk.
func (f *Folder) Truncate(name string, size int64) error {
	return os.Truncate(filepath.Join(f.path, name), size)
}

// Rename implements Disk.
func (f *Folder) Rename(from, to string) error {
	return os.Rename(filepath.Join(f.path, from), filepath.Join(f.path, to))
}

// Remove implements Disk.
func (f *Folder) Remove(name string) error {
	return os.Remove(filepath.Join(f.path, name))
}

// SyncFolder implements Disk.
func (f *Folder) SyncFolder() error {
	d, err := os.Open(f.path)
	if err != nil {
		return err
	}
	defer func() { _ = d.Close() }()
	return d.Sync()
}
