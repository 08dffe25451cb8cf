// Package lastgood keeps the last good version of a configuration on disk, and the one before it, such that a crash at
// any moment leaves at least what Save last promised. A file is one line of header and the text:
//
//	mallowlanding-configuration VERSION SAVED_UNIX_MS SEAL
//
// The seal is the SHA-256 of the rest of the header and the text.
package lastgood

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"time"
)

const magic = "mallowlanding-configuration"

// File is one that is being written.
type File interface {
	io.WriteCloser
	Sync() error
}

// FS is the part of a file system that is used; tests bring one that crashes.
type FS interface {
	Create(name string) (File, error)
	ReadFile(name string) ([]byte, error)
	Rename(from, to string) error
	SyncDir(dir string) error
}

// Disk is the machine's own.
type Disk struct{}

// Create implements FS.
func (Disk) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
}

// ReadFile implements FS.
func (Disk) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// Rename implements FS.
func (Disk) Rename(from, to string) error { return os.Rename(from, to) }

// SyncDir implements FS.
func (Disk) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// Saved is a version as it was kept.
type Saved struct {
	Version uint64
	SavedAt time.Time
	Text    string
}

// Store is one front end's file, and beside it PATH.before and, while one is written, PATH.new.
type Store struct {
	FS   FS
	Path string
}

// Save keeps a version. Once it has returned nil, Load gives this version or a later one, whatever happens to the process
// or the machine, as far as fsync keeps its word. After an error Load gives this one or what it gave before.
func (s *Store) Save(k Saved) error {
	f, err := s.FS.Create(s.Path + ".new")
	if err != nil {
		return err
	}
	_, err = f.Write(seal(k))
	if err == nil {
		err = f.Sync()
	}
	err = errors.Join(err, f.Close())
	if err != nil {
		return err
	}
	// the new name is on disk before it is renamed: else a stale file of that name could take the place
	if err := s.FS.SyncDir(filepath.Dir(s.Path)); err != nil {
		return err
	}
	// each of the two renames alone leaves one of both files with what was promised last
	if err := s.FS.Rename(s.Path, s.Path+".before"); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	if err := s.FS.Rename(s.Path+".new", s.Path); err != nil {
		return err
	}
	return s.FS.SyncDir(filepath.Dir(s.Path))
}

// Load gives the last good version: of the file, or where that is missing or spoilt, of the one before. Problems are
// what was found on the way, one line each. Ok is false where nothing good is there.
func (s *Store) Load() (k Saved, problems []error, ok bool) {
	for _, name := range []string{s.Path, s.Path + ".before"} {
		raw, err := s.FS.ReadFile(name)
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err == nil {
			k, err = open(raw)
		}
		if err == nil {
			return k, problems, true
		}
		problems = append(problems, fmt.Errorf("%s: %w", name, err))
	}
	return Saved{}, problems, false
}

func seal(k Saved) []byte {
	head := fmt.Sprintf("%s %d %d", magic, k.Version, k.SavedAt.UnixMilli())
	sum := sha256.Sum256([]byte(head + "\n" + k.Text))
	return fmt.Appendf(nil, "%s %x\n%s", head, sum, k.Text)
}

func open(raw []byte) (Saved, error) {
	line, text, whole := bytes.Cut(raw, []byte("\n"))
	head, sum, sealed := cutLast(string(line))
	var k Saved
	var ms int64
	if n, err := fmt.Sscanf(head, magic+" %d %d", &k.Version, &ms); !whole || !sealed || err != nil || n != 2 {
		return Saved{}, fmt.Errorf("not a kept configuration, or cut off in its first line: %.40q", line)
	}
	if want := sha256.Sum256([]byte(head + "\n" + string(text))); fmt.Sprintf("%x", want) != sum {
		return Saved{}, fmt.Errorf("version %d: the seal does not fit: cut off or changed", k.Version)
	}
	k.SavedAt, k.Text = time.UnixMilli(ms), string(text)
	return k, nil
}

func cutLast(s string) (before, after string, found bool) {
	i := strings.LastIndexByte(s, ' ')
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+1:], true
}
