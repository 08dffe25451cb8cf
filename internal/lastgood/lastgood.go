// Package lastgood saves the last good version of a configuration on disk, and the one before it. After a crash at any
// moment, Load finds a version that is at least as new as the last one whose Save succeeded. A file has one header
// line, followed by the text:
//
//	mallowlanding-configuration VERSION SAVED_UNIX_MS CHECKSUM
//
// The checksum is the SHA-256 of the rest of the header, a line feed and the text.
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

// File is a file that is being written.
type File interface {
	io.WriteCloser
	Sync() error
}

// FS has the file system operations that a Store needs. Tests inject one that crashes.
type FS interface {
	Create(name string) (File, error)
	ReadFile(name string) ([]byte, error)
	Rename(from, to string) error
	SyncDir(dir string) error
}

// Disk is the file system of the machine.
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

// Saved is a saved version.
type Saved struct {
	Version uint64
	SavedAt time.Time
	Text    string
}

// Store is the file of one front end. PATH.before next to it has the version before, and PATH.new exists while a
// version is being written.
type Store struct {
	FS   FS
	Path string
}

// Save saves a version. Once it has returned nil, Load returns this version or a later one, whatever happens to the
// process or the machine, as far as fsync can be trusted. After an error, Load returns this version or the previous
// one.
func (s *Store) Save(saved Saved) error {
	f, err := s.FS.Create(s.Path + ".new")
	if err != nil {
		return err
	}
	_, err = f.Write(encode(saved))
	if err == nil {
		err = f.Sync()
	}
	err = errors.Join(err, f.Close())
	if err != nil {
		return err
	}
	// The new directory entry must be on disk before the rename. Otherwise, after a crash, a stale file of that name could
	// take the place of the saved one.
	if err := s.FS.SyncDir(filepath.Dir(s.Path)); err != nil {
		return err
	}
	// After either rename alone, one of the two files has the last version whose Save succeeded.
	if err := s.FS.Rename(s.Path, s.Path+".before"); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	if err := s.FS.Rename(s.Path+".new", s.Path); err != nil {
		return err
	}
	return s.FS.SyncDir(filepath.Dir(s.Path))
}

// Load returns the last good version: from the file or, if that is missing or damaged, from the one before it. Problems
// has one error for each damaged file. Ok is false if there is no good file.
func (s *Store) Load() (saved Saved, problems []error, ok bool) {
	for _, name := range []string{s.Path, s.Path + ".before"} {
		data, err := s.FS.ReadFile(name)
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err == nil {
			saved, err = decode(data)
		}
		if err == nil {
			return saved, problems, true
		}
		problems = append(problems, fmt.Errorf("%s: %w", name, err))
	}
	return Saved{}, problems, false
}

// encode returns the content of the file for a version.
func encode(saved Saved) []byte {
	header := fmt.Sprintf("%s %d %d", magic, saved.Version, saved.SavedAt.UnixMilli())
	sum := sha256.Sum256([]byte(header + "\n" + saved.Text))
	return fmt.Appendf(nil, "%s %x\n%s", header, sum, saved.Text)
}

// decode parses the content of a file and verifies its checksum.
func decode(data []byte) (Saved, error) {
	line, text, complete := bytes.Cut(data, []byte("\n"))
	header, sum, hasSum := cutLast(string(line))
	var saved Saved
	var ms int64
	if n, err := fmt.Sscanf(header, magic+" %d %d", &saved.Version, &ms); !complete || !hasSum || err != nil || n != 2 {
		return Saved{}, fmt.Errorf("not a saved configuration, or truncated in its first line: %.40q", line)
	}
	if want := sha256.Sum256([]byte(header + "\n" + string(text))); fmt.Sprintf("%x", want) != sum {
		return Saved{}, fmt.Errorf("version %d: checksum mismatch: the file is truncated or was changed", saved.Version)
	}
	saved.SavedAt, saved.Text = time.UnixMilli(ms), string(text)
	return saved, nil
}

// cutLast cuts s around its last space.
func cutLast(s string) (before, after string, found bool) {
	i := strings.LastIndexByte(s, ' ')
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+1:], true
}
