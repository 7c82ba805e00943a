// Package durable writes files so that they survive a loss of power.
package durable

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
)

const (
	tempSuffix = ".new"
	fileMode   = 0o600
)

// Replace atomically replaces the content of the file name in dir. After a loss of power
// the file has its complete old or its complete new content, and the new one once Replace has
// returned nil.
func Replace(dir, name string, data []byte) error {
	return replace(disk{}, dir, name, data)
}

// Remove removes the file name in dir, if it exists. Once it has returned nil the file does not come
// back after a loss of power.
func Remove(dir, name string) error { return remove(disk{}, dir, name) }

// fileSystem is the part of a file system that this package uses.
type fileSystem interface {
	// create opens a file for writing, empty.
	create(path string) (file, error)
	rename(from, to string) error
	// remove fails with fs.ErrNotExist if there is no such file.
	remove(path string) error
	// syncDir makes what was created, renamed and removed in a directory durable.
	syncDir(dir string) error
}

type file interface {
	io.WriteCloser
	// Sync makes the content durable.
	Sync() error
}

func replace(system fileSystem, dir, name string, data []byte) error {
	tempPath := filepath.Join(dir, name+tempSuffix)
	temp, err := system.create(tempPath)
	if err != nil {
		return err
	}
	_, err = temp.Write(data)
	if err = errors.Join(err, temp.Sync(), temp.Close()); err != nil {
		return err
	}
	if err := system.rename(tempPath, filepath.Join(dir, name)); err != nil {
		return err
	}
	return system.syncDir(dir)
}

func remove(system fileSystem, dir, name string) error {
	if err := system.remove(filepath.Join(dir, name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return system.syncDir(dir) // an earlier removal may have failed here
}

// disk is the operating system's file system.
type disk struct{}

func (disk) create(path string) (file, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
}

func (disk) rename(from, to string) error { return os.Rename(from, to) }

func (disk) remove(path string) error { return os.Remove(path) }

func (disk) syncDir(dir string) error {
	directory, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(directory.Sync(), directory.Close())
}
