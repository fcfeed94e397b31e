package fleetcontrol

import (
	"os"
	"path/filepath"

	"github.com/go-faster/errors"
)

// writeFile replaces the content of a file in the data folder atomically: after a crash
// the file holds either the old content or the new one. The new content is durable once
// writeFile has returned nil.
func writeFile(folder, name string, content []byte) error {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return errors.Wrap(err, "create data folder")
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

// syncFolder makes file names in a folder durable.
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
