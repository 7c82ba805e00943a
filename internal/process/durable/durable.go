// Package durable writes files so that they survive a loss of power.
package durable

import (
	"errors"
	"os"
	"path/filepath"
)

const (
	tempSuffix = ".new"
	fileMode   = 0o600
)

// Replace atomically replaces the content of the file name in dir. After a loss of power
// the file has its complete old or its complete new content.
func Replace(dir, name string, data []byte) error {
	tempPath := filepath.Join(dir, name+tempSuffix)
	file, err := os.OpenFile(tempPath, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	_, err = file.Write(data)
	if err = errors.Join(err, file.Sync(), file.Close()); err != nil {
		return err
	}
	if err := os.Rename(tempPath, filepath.Join(dir, name)); err != nil {
		return err
	}
	directory, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(directory.Sync(), directory.Close())
}
