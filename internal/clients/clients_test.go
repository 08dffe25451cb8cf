package clients

import (
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestListen checks that Listen replaces the socket of a dead process, and fails without touching a socket that a live
// process serves or a file that is not a socket.
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
		t.Errorf("socket mode %v, error %v, want 0660", info.Mode(), err)
	}
	if _, err := Listen(path, 0o600); err == nil || !strings.Contains(err.Error(), "a live process serves it") {
		t.Errorf("Listen on the socket of a live process: %v", err)
	}
	if c, err := net.Dial("unix", path); err != nil {
		t.Errorf("the live process no longer accepts connections: %v", err)
	} else {
		c.Close()
	}
	first.(*net.UnixListener).SetUnlinkOnClose(false) // a killed process leaves its socket behind
	first.Close()
	second, err := Listen(path, 0o600)
	if err != nil {
		t.Fatalf("Listen on the socket of a dead process: %v", err)
	}
	second.Close()
	if err := os.WriteFile(path, []byte("kept"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Listen(path, 0o600); err == nil || !strings.Contains(err.Error(), "no socket") {
		t.Errorf("Listen on the path of a file: %v", err)
	}
	if text, _ := os.ReadFile(path); string(text) != "kept" {
		t.Errorf("the file was changed to %q", text)
	}
}
