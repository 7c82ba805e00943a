// Package durable puts files on a disk so that they outlast a loss of power.
package durable

import (
	"errors"
	"os"
	"path/filepath"
)

const (
	freshSuffix = ".new"
	mode        = 0o600
)

// Replace puts data into the place of the file name in dir. After a loss of
// power the old or the new content is there, whole.
func Replace(dir, name string, data []byte) error {
	fresh := filepath.Join(dir, name+freshSuffix)
	file, err := os.OpenFile(fresh, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, mode)
	if err != nil {
		return err
	}
	_, err = file.Write(data)
	if err = errors.Join(err, file.Sync(), file.Close()); err != nil {
		return err
	}
	if err := os.Rename(fresh, filepath.Join(dir, name)); err != nil {
		return err
	}
	folder, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}
