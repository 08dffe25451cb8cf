package lastgood

import (
	"errors"
	"fmt"
	"io/fs"
	"math/rand"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// errCrash is returned by all operations after the simulated machine has crashed.
var errCrash = errors.New("simulated machine crash")

// errFull is returned by writes to a full disk.
var errFull = errors.New("no space left on device")

// inode has a file's content: what is on disk for certain, and what has been written.
type inode struct{ synced, written []byte }

// crashingFS is a file system that crashes after a number of operations. After a crash, any part of what was not synced
// may be on disk: of a file's content a prefix, possibly with a flipped bit, and of renames and creations any subset,
// in their order.
type crashingFS struct {
	rng       *rand.Rand
	opsLeft   int // operations until the crash; negative: never
	bytesLeft int // bytes until the disk is full; negative: never
	names     map[string]*inode
	durable   map[string]*inode
	pending   []func(map[string]*inode)
}

func (f *crashingFS) countOp() error {
	if f.opsLeft == 0 {
		return errCrash
	}
	f.opsLeft--
	return nil
}

type openFile struct {
	f *crashingFS
	i *inode
}

func (f *crashingFS) Create(name string) (File, error) {
	if err := f.countOp(); err != nil {
		return nil, err
	}
	i := &inode{}
	f.updateDir(func(names map[string]*inode) { names[name] = i })
	return &openFile{f, i}, nil
}

func (f *crashingFS) updateDir(update func(map[string]*inode)) {
	update(f.names)
	f.pending = append(f.pending, update)
}

func (f *crashingFS) ReadFile(name string) ([]byte, error) {
	if i := f.names[name]; i != nil {
		return i.written, nil
	}
	return nil, fs.ErrNotExist
}

func (f *crashingFS) Rename(from, to string) error {
	if err := f.countOp(); err != nil {
		return err
	}
	if f.names[from] == nil {
		return fs.ErrNotExist
	}
	f.updateDir(func(names map[string]*inode) {
		if i := names[from]; i != nil {
			names[to] = i
			delete(names, from)
		}
	})
	return nil
}

func (f *crashingFS) SyncDir(string) error {
	if err := f.countOp(); err != nil {
		return err
	}
	for _, do := range f.pending {
		do(f.durable)
	}
	f.pending = nil
	return nil
}

func (h *openFile) Write(b []byte) (int, error) {
	for n := 0; n < len(b); n += 64 { // may crash at each chunk
		if err := h.f.countOp(); err != nil {
			return n, err
		}
		part := b[n:min(n+64, len(b))]
		if h.f.bytesLeft >= 0 && h.f.bytesLeft < len(part) {
			h.i.written = append(h.i.written, part[:h.f.bytesLeft]...)
			return n + h.f.bytesLeft, errFull
		}
		h.f.bytesLeft -= len(part)
		h.i.written = append(h.i.written, part...)
	}
	return len(b), nil
}

func (h *openFile) Sync() error {
	if err := h.f.countOp(); err != nil {
		return err
	}
	h.i.synced = append([]byte(nil), h.i.written...)
	return nil
}

func (h *openFile) Close() error { return nil }

// crash replaces the content of the file system by what the machine finds after a restart.
func (f *crashingFS) crash() {
	for _, do := range f.pending {
		if f.rng.Intn(2) == 0 {
			do(f.durable)
		}
	}
	f.names = map[string]*inode{}
	for name, i := range f.durable {
		content := append([]byte(nil), i.synced...)
		if unsynced := len(i.written) - len(i.synced); unsynced > 0 {
			content = append(content, i.written[len(i.synced):len(i.synced)+f.rng.Intn(unsynced+1)]...)
			if n := len(content) - len(i.synced); n > 0 && f.rng.Intn(2) == 0 {
				content[len(i.synced)+f.rng.Intn(n)] ^= 1 << f.rng.Intn(8)
			}
		}
		f.names[name] = &inode{content, content}
	}
	f.durable = map[string]*inode{}
	for name, i := range f.names {
		f.durable[name] = i
	}
	f.pending, f.opsLeft = nil, -1
}

// A store lives through ten thousand crashes at random points. After each of them, Load must return the last version
// whose Save succeeded, or a later one.
func TestCrashPoints(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	f := &crashingFS{rng: rng, bytesLeft: -1, names: map[string]*inode{}, durable: map[string]*inode{}}
	s := &Store{FS: f, Path: "/var/last"}
	saved, next, found, failed := uint64(0), uint64(1), 0, 0
	text := func(v uint64) string {
		return strings.Repeat(fmt.Sprintf("<version n=%q/>\n", fmt.Sprint(v)), int(v%40))
	}
	for crash := range 10000 {
		f.opsLeft = rng.Intn(60)
		for {
			if err := s.Save(Saved{next, time.UnixMilli(int64(next)), text(next)}); err != nil {
				failed++
				next++
				break
			}
			saved = next
			next++
		}
		f.crash()
		loaded, _, ok := s.Load()
		if saved > 0 && !ok {
			t.Fatalf("crash %d: nothing found, but version %d was saved", crash, saved)
		}
		if ok {
			found++
			if loaded.Version < saved || loaded.Version >= next || loaded.Text != text(loaded.Version) || loaded.SavedAt.UnixMilli() != int64(loaded.Version) {
				t.Fatalf("crash %d: found version %d, but %d was saved and %d was written last", crash, loaded.Version, saved, next-1)
			}
			saved = loaded.Version // a version that was found once must not be lost later
		}
	}
	if found < 9900 || failed != 10000 {
		t.Errorf("%d found, %d failed: too few crashes during Save to test anything", found, failed)
	}
}

// Any flipped bit and any truncation is detected, and the version before is used.
func TestDamagedFile(t *testing.T) {
	dir := t.TempDir()
	s := &Store{FS: Disk{}, Path: filepath.Join(dir, "last")}
	if _, problems, ok := s.Load(); ok || problems != nil {
		t.Fatalf("unexpected result in an empty directory: %v", problems)
	}
	for v := range uint64(2) {
		if err := s.Save(Saved{v + 1, time.UnixMilli(5), "<configuration/>"}); err != nil {
			t.Fatal(err)
		}
	}
	good, err := Disk{}.ReadFile(s.Path)
	if err != nil {
		t.Fatal(err)
	}
	write := func(raw []byte) {
		f, err := Disk{}.Create(s.Path)
		if err == nil {
			_, err = f.Write(raw)
		}
		if err = errors.Join(err, f.Close()); err != nil {
			t.Fatal(err)
		}
	}
	check := func(what string) {
		t.Helper()
		loaded, problems, ok := s.Load()
		if !ok || loaded.Version != 1 || len(problems) != 1 || !strings.Contains(problems[0].Error(), s.Path) {
			t.Errorf("%s: %v, %v, %v", what, loaded, problems, ok)
		}
	}
	for i := range good {
		flipped := append([]byte(nil), good...)
		flipped[i] ^= 1
		write(flipped)
		check(fmt.Sprintf("byte %d flipped", i))
		write(good[:i])
		check(fmt.Sprintf("cut off at %d", i))
	}
}

// On a full disk, Save fails and leaves the version that was saved before.
func TestFullDisk(t *testing.T) {
	f := &crashingFS{rng: rand.New(rand.NewSource(1)), opsLeft: -1, bytesLeft: 400, names: map[string]*inode{}, durable: map[string]*inode{}}
	s := &Store{FS: f, Path: "/var/last"}
	v := uint64(1)
	for ; s.Save(Saved{v, time.UnixMilli(1), "text"}) == nil; v++ {
	}
	if loaded, _, ok := s.Load(); v < 2 || !ok || loaded.Version != v-1 {
		t.Errorf("got %v, %v after Save of version %d failed", loaded, ok, v)
	}
}
