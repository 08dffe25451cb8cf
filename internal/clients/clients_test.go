package clients

import (
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A path that a dead process left is taken over; one that is served, or no socket at all, is an error and stays.
func TestListen(t *testing.T) {
	dir, err := os.MkdirTemp("", "ml")
	if err != nil {
		t.Fatal(err)
	}
	defer os.RemoveAll(dir)
	path := filepath.Join(dir, "s")
	first, err := Listen(path, 0o660)
	if err != nil {
		t.Fatal(err)
	}
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o660 {
		t.Errorf("mode %v, %v", info.Mode(), err)
	}
	if _, err := Listen(path, 0o600); err == nil || !strings.Contains(err.Error(), "a live process serves it") {
		t.Errorf("beside a live one: %v", err)
	}
	if c, err := net.Dial("unix", path); err != nil {
		t.Errorf("the live one is disturbed: %v", err)
	} else {
		c.Close()
	}
	first.(*net.UnixListener).SetUnlinkOnClose(false) // as a killed process leaves it
	first.Close()
	second, err := Listen(path, 0o600)
	if err != nil {
		t.Fatalf("after a dead one: %v", err)
	}
	second.Close()
	if err := os.WriteFile(path, []byte("kept"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Listen(path, 0o600); err == nil || !strings.Contains(err.Error(), "no socket") {
		t.Errorf("over a file: %v", err)
	}
	if text, _ := os.ReadFile(path); string(text) != "kept" {
		t.Errorf("the file holds %q", text)
	}
}
