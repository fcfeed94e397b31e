package fleetcontrol

import (
	"os"
	"path/filepath"

	"github.com/go-faster/errors"
)

// writeFile gives a file of the data folder a new content. After a crash the
// file holds the old content or the new one, and the new one once it returned.
func writeFile(folder, name string, content []byte) error {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return errors.Wrap(err, "make data folder")
	}
	path := filepath.Join(folder, name)
	f, err := os.Create(path + ".tmp")
	if err != nil {
		return errors.Wrap(err, "create "+name)
	}
	_, err = f.Write(content)
	if err == nil {
		err = f.Sync()
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err != nil {
		return errors.Wrap(err, "write "+name)
	}
	if err := os.Rename(path+".tmp", path); err != nil {
		return errors.Wrap(err, "rename "+name)
	}
	return syncFolder(folder)
}

// syncFolder makes the names in a folder durable.
func syncFolder(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return errors.Wrap(err, "open data folder")
	}
	err = d.Sync()
	if cerr := d.Close(); err == nil {
		err = cerr
	}
	if err != nil {
		return errors.Wrap(err, "sync data folder")
	}
	return nil
}
