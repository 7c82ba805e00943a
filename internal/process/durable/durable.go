// Package durable writes files so that they survive a loss of power.
package durable

import (
	"errors"
	"io"
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

// fileSystem is the part of a file system that replace uses.
type fileSystem interface {
	// create opens a file for writing, empty.
	create(path string) (file, error)
	rename(from, to string) error
	// syncDir makes what was created and renamed in a directory durable.
	syncDir(dir string) error
}

type file interface {
	io.WriteCloser
	// Sync makes the content durable.
	Sync() error
}

func replace(fs fileSystem, dir, name string, data []byte) error {
	tempPath := filepath.Join(dir, name+tempSuffix)
	temp, err := fs.create(tempPath)
	if err != nil {
		return err
	}
	_, err = temp.Write(data)
	if err = errors.Join(err, temp.Sync(), temp.Close()); err != nil {
		return err
	}
	if err := fs.rename(tempPath, filepath.Join(dir, name)); err != nil {
		return err
	}
	return fs.syncDir(dir)
}

// disk is the operating system's file system.
type disk struct{}

func (disk) create(path string) (file, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
}

func (disk) rename(from, to string) error { return os.Rename(from, to) }

func (disk) syncDir(dir string) error {
	directory, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(directory.Sync(), directory.Close())
}
