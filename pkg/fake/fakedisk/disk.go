// Package fakedisk is a disk in memory that loses in a crash what was not synced,
// except for a random part. It implements store.Disk for tests.
package fakedisk

import (
	"math/rand/v2"
	"sort"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/store"
)

// ErrCrashed is returned by all operations between a crash and Restart.
var ErrCrashed = errors.New("the host has crashed")

// ErrFull is returned by writes once the disk is full.
var ErrFull = errors.New("no space left on device")

// file is a file's content and how many bytes of it are synced.
type file struct {
	data   []byte
	synced int
}

// Disk is the fake disk. The folder's names have a durable copy, which SyncFolder
// updates. A crash applies a random number of the name changes since then to the
// durable copy, in their order, and drops the others.
type Disk struct {
	rnd     *rand.Rand
	names   map[string]*file
	durable map[string]*file
	pending []func(names map[string]*file)
	crashed bool
	crashIn int // operations until a crash, 0 for no crash
	full    bool
	badSync bool
}

// New returns an empty disk.
func New(rnd *rand.Rand) *Disk {
	return &Disk{
		rnd:     rnd,
		names:   map[string]*file{},
		durable: map[string]*file{},
	}
}

// CrashIn makes the disk crash at the nth write, truncation, sync or change of names
// from now on; 0 means never.
func (d *Disk) CrashIn(n int) {
	d.crashIn = n
}

// SetFull sets whether writes fail with ErrFull.
func (d *Disk) SetFull(full bool) {
	d.full = full
}

// SetBadSync sets whether syncs of files fail.
func (d *Disk) SetBadSync(bad bool) {
	d.badSync = bad
}

// Crashed reports whether the disk has crashed.
func (d *Disk) Crashed() bool {
	return d.crashed
}

// Crash loses what was not synced, except for a random part.
func (d *Disk) Crash() {
	d.crashed = true
	kept := 0
	if len(d.pending) > 0 {
		kept = d.rnd.IntN(len(d.pending) + 1)
	}
	for _, change := range d.pending[:kept] {
		change(d.durable)
	}
	d.pending = nil
	for _, f := range d.durable {
		if extra := len(f.data) - f.synced; extra > 0 {
			f.data = f.data[:f.synced+d.rnd.IntN(extra+1)]
		}
		f.synced = len(f.data)
	}
	d.names = map[string]*file{}
	for name, f := range d.durable {
		d.names[name] = f
	}
}

// Restart makes the disk usable again after a crash.
func (d *Disk) Restart() {
	d.crashed = false
	d.crashIn = 0
}

// Wipe deletes everything.
func (d *Disk) Wipe() {
	d.names = map[string]*file{}
	d.durable = map[string]*file{}
	d.pending = nil
}

// Flip flips one bit of the byte at offset in a file.
func (d *Disk) Flip(name string, offset int) {
	d.names[name].data[offset] ^= 1
}

// SetData replaces a file's content; the new content counts as synced.
func (d *Disk) SetData(name string, data []byte) {
	d.names[name].data = data
	d.names[name].synced = len(data)
}

// countOperation counts an operation, and crashes if it is the one that CrashIn set.
func (d *Disk) countOperation() error {
	if d.crashed {
		return ErrCrashed
	}
	if d.crashIn > 0 {
		d.crashIn--
		if d.crashIn == 0 {
			d.Crash()
			return ErrCrashed
		}
	}
	return nil
}

func (d *Disk) changeNames(f func(names map[string]*file)) {
	f(d.names)
	d.pending = append(d.pending, f)
}

// Names implements store.Disk.
func (d *Disk) Names() ([]string, error) {
	if d.crashed {
		return nil, ErrCrashed
	}
	list := make([]string, 0, len(d.names))
	for name := range d.names {
		list = append(list, name)
	}
	sort.Strings(list)
	return list, nil
}

// Read implements store.Disk.
func (d *Disk) Read(name string) ([]byte, error) {
	if d.crashed {
		return nil, ErrCrashed
	}
	f, ok := d.names[name]
	if !ok {
		return nil, errors.Errorf("no file %q", name)
	}
	return append([]byte(nil), f.data...), nil
}

// Create implements store.Disk.
func (d *Disk) Create(name string) (store.File, error) {
	if err := d.countOperation(); err != nil {
		return nil, err
	}
	f := &file{}
	d.changeNames(func(names map[string]*file) {
		names[name] = f
	})
	return &handle{
		disk: d,
		file: f,
	}, nil
}

// Append implements store.Disk.
func (d *Disk) Append(name string) (store.File, error) {
	if d.crashed {
		return nil, ErrCrashed
	}
	f, ok := d.names[name]
	if !ok {
		return nil, errors.Errorf("no file %q", name)
	}
	return &handle{
		disk: d,
		file: f,
	}, nil
}

// Truncate implements store.Disk.
func (d *Disk) Truncate(name string, size int64) error {
	if err := d.countOperation(); err != nil {
		return err
	}
	f := d.names[name]
	f.data = f.data[:size]
	f.synced = min(f.synced, int(size))
	return nil
}

// Rename implements store.Disk.
func (d *Disk) Rename(from, to string) error {
	if err := d.countOperation(); err != nil {
		return err
	}
	d.changeNames(func(names map[string]*file) {
		if f, ok := names[from]; ok {
			names[to] = f
			delete(names, from)
		}
	})
	return nil
}

// Remove implements store.Disk.
func (d *Disk) Remove(name string) error {
	if err := d.countOperation(); err != nil {
		return err
	}
	d.changeNames(func(names map[string]*file) {
		delete(names, name)
	})
	return nil
}

// SyncFolder implements store.Disk.
func (d *Disk) SyncFolder() error {
	if err := d.countOperation(); err != nil {
		return err
	}
	for _, change := range d.pending {
		change(d.durable)
	}
	d.pending = nil
	return nil
}

// handle is a file open for writing.
type handle struct {
	disk *Disk
	file *file
}

// Write implements io.Writer.
func (h *handle) Write(p []byte) (int, error) {
	if err := h.disk.countOperation(); err != nil {
		return 0, err
	}
	if h.disk.full {
		return 0, ErrFull
	}
	h.file.data = append(h.file.data, p...)
	return len(p), nil
}

// Sync implements store.File.
func (h *handle) Sync() error {
	if err := h.disk.countOperation(); err != nil {
		return err
	}
	if h.disk.badSync {
		return errors.New("input/output error")
	}
	h.file.synced = len(h.file.data)
	return nil
}

// Close implements store.File.
func (h *handle) Close() error {
	return nil
}
