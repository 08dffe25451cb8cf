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

// errCrash is what everything gives once the machine is down.
var errCrash = errors.New("the machine is down")

// errFull is a full disk's.
var errFull = errors.New("no space left on device")

// inode is a file's bytes: what is on disk for sure, and what was written since.
type inode struct{ synced, written []byte }

// flaky is a file system that goes down after so many operations. What was not synced is there in any part: of a file's
// bytes a prefix, with the last ones wrong; of renames and creations, any of them, in their order.
type flaky struct {
	rng     *rand.Rand
	left    int // operations until it is down; below 0: never
	room    int // bytes until the disk is full; below 0: never
	names   map[string]*inode
	durable map[string]*inode
	pending []func(map[string]*inode)
}

func (f *flaky) tick() error {
	if f.left == 0 {
		return errCrash
	}
	f.left--
	return nil
}

type handle struct {
	f *flaky
	i *inode
}

func (f *flaky) Create(name string) (File, error) {
	if err := f.tick(); err != nil {
		return nil, err
	}
	i := &inode{}
	f.dir(func(names map[string]*inode) { names[name] = i })
	return &handle{f, i}, nil
}

func (f *flaky) dir(do func(map[string]*inode)) {
	do(f.names)
	f.pending = append(f.pending, do)
}

func (f *flaky) ReadFile(name string) ([]byte, error) {
	if i := f.names[name]; i != nil {
		return i.written, nil
	}
	return nil, fs.ErrNotExist
}

func (f *flaky) Rename(from, to string) error {
	if err := f.tick(); err != nil {
		return err
	}
	if f.names[from] == nil {
		return fs.ErrNotExist
	}
	f.dir(func(names map[string]*inode) {
		if i := names[from]; i != nil {
			names[to] = i
			delete(names, from)
		}
	})
	return nil
}

func (f *flaky) SyncDir(string) error {
	if err := f.tick(); err != nil {
		return err
	}
	for _, do := range f.pending {
		do(f.durable)
	}
	f.pending = nil
	return nil
}

func (h *handle) Write(b []byte) (int, error) {
	for n := 0; n < len(b); n += 64 { // down at any piece
		if err := h.f.tick(); err != nil {
			return n, err
		}
		part := b[n:min(n+64, len(b))]
		if h.f.room >= 0 && h.f.room < len(part) {
			h.i.written = append(h.i.written, part[:h.f.room]...)
			return n + h.f.room, errFull
		}
		h.f.room -= len(part)
		h.i.written = append(h.i.written, part...)
	}
	return len(b), nil
}

func (h *handle) Sync() error {
	if err := h.f.tick(); err != nil {
		return err
	}
	h.i.synced = append([]byte(nil), h.i.written...)
	return nil
}

func (h *handle) Close() error { return nil }

// crash leaves what a machine finds when it is up again.
func (f *flaky) crash() {
	for _, do := range f.pending {
		if f.rng.Intn(2) == 0 {
			do(f.durable)
		}
	}
	f.names = map[string]*inode{}
	for name, i := range f.durable {
		have := append([]byte(nil), i.synced...)
		if more := len(i.written) - len(i.synced); more > 0 {
			have = append(have, i.written[len(i.synced):len(i.synced)+f.rng.Intn(more+1)]...)
			if n := len(have) - len(i.synced); n > 0 && f.rng.Intn(2) == 0 {
				have[len(i.synced)+f.rng.Intn(n)] ^= 1 << f.rng.Intn(8)
			}
		}
		f.names[name] = &inode{have, have}
	}
	f.durable = map[string]*inode{}
	for name, i := range f.names {
		f.durable[name] = i
	}
	f.pending, f.left = nil, -1
}

// Ten thousand crashes at random points, of one file that lives through them all: what Save promised is there after each.
func TestCrashPoints(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	f := &flaky{rng: rng, room: -1, names: map[string]*inode{}, durable: map[string]*inode{}}
	s := &Store{FS: f, Path: "/var/last"}
	promised, next, found, failed := uint64(0), uint64(1), 0, 0
	text := func(v uint64) string {
		return strings.Repeat(fmt.Sprintf("<version n=%q/>\n", fmt.Sprint(v)), int(v%40))
	}
	for crash := range 10000 {
		f.left = rng.Intn(60)
		for {
			if err := s.Save(Saved{next, time.UnixMilli(int64(next)), text(next)}); err != nil {
				failed++
				next++
				break
			}
			promised = next
			next++
		}
		f.crash()
		k, _, ok := s.Load()
		if promised > 0 && !ok {
			t.Fatalf("crash %d: nothing there, %d was promised", crash, promised)
		}
		if ok {
			found++
			if k.Version < promised || k.Version >= next || k.Text != text(k.Version) || k.SavedAt.UnixMilli() != int64(k.Version) {
				t.Fatalf("crash %d: found %d, promised %d, written up to %d", crash, k.Version, promised, next-1)
			}
			promised = k.Version // what was found once is not lost later
		}
	}
	if found < 9900 || failed != 10000 {
		t.Errorf("%d found, %d failed: the test tries nothing", found, failed)
	}
}

// Any byte changed or cut off is found, and the one before is used.
func TestSpoilt(t *testing.T) {
	dir := t.TempDir()
	s := &Store{FS: Disk{}, Path: filepath.Join(dir, "last")}
	if _, problems, ok := s.Load(); ok || problems != nil {
		t.Fatalf("an empty folder: %v", problems)
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
		k, problems, ok := s.Load()
		if !ok || k.Version != 1 || len(problems) != 1 || !strings.Contains(problems[0].Error(), s.Path) {
			t.Errorf("%s: %v, %v, %v", what, k, problems, ok)
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

// A full disk fails Save, and leaves what was kept.
func TestFullDisk(t *testing.T) {
	f := &flaky{rng: rand.New(rand.NewSource(1)), left: -1, room: 400, names: map[string]*inode{}, durable: map[string]*inode{}}
	s := &Store{FS: f, Path: "/var/last"}
	v := uint64(1)
	for ; s.Save(Saved{v, time.UnixMilli(1), "text"}) == nil; v++ {
	}
	if k, _, ok := s.Load(); v < 2 || !ok || k.Version != v-1 {
		t.Errorf("%v, %v after version %d failed", k, ok, v)
	}
}
