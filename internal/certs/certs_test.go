package certs

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"mallowlanding/internal/certs/certstest"
)

func TestLoad(t *testing.T) {
	dir, now := t.TempDir(), time.Now()
	at := func(name string) string { return filepath.Join(dir, name) }
	day := 24 * time.Hour
	ca := certstest.New(t, "ca", nil, now.Add(-day), now.Add(100*day))
	other := certstest.New(t, "other", nil, now.Add(-day), now.Add(100*day))
	f := Files{at("cert"), at("key"), ""}
	for _, c := range []struct {
		name string
		make func()
		want string
	}{
		{"good", func() { certstest.New(t, "front", ca, now.Add(-day), now.Add(day)).Write(t, f.Cert, f.Key, ca) }, ""},
		{"expired", func() { certstest.New(t, "front", ca, now.Add(-2*day), now.Add(-day)).Write(t, f.Cert, f.Key) }, `"front" expired at`},
		{"not yet", func() { certstest.New(t, "front", ca, now.Add(day), now.Add(2*day)).Write(t, f.Cert, f.Key) }, `is not valid before`},
		{"wrong chain", func() { certstest.New(t, "front", ca, now.Add(-day), now.Add(day)).Write(t, f.Cert, f.Key, other) }, `"other" did not sign`},
		{"wrong key", func() {
			certstest.New(t, "front", ca, now.Add(-day), now.Add(day)).Write(t, f.Cert, f.Key)
			other.Write(t, at("x"), f.Key)
		}, "private key does not match"},
		{"no key", func() { os.Remove(f.Key) }, "no such file"},
		{"no PEM", func() { other.Write(t, at("x"), f.Key); _ = os.WriteFile(f.Cert, []byte("hello"), 0o600) }, "failed to find"},
	} {
		c.make()
		_, err := Load(f, now)
		if (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}

// TestRotation replaces the files of a running server. New certificates must be used without a restart and without
// breaking established connections, invalid ones must leave the last good ones in use, and a certificate that expires
// soon must be logged once a day. Only clients with a certificate of the right authority may connect.
func TestRotation(t *testing.T) {
	dir, now := t.TempDir(), time.Now()
	at := func(name string) string { return filepath.Join(dir, name) }
	day := 24 * time.Hour
	ca := certstest.New(t, "ca", nil, now.Add(-day), now.Add(100*day))
	ca.Write(t, at("ca"), "")
	f := Files{at("cert"), at("key"), at("ca")}
	certstest.New(t, "first", ca, now.Add(-day), now.Add(10*day)).Write(t, f.Cert, f.Key)
	var log bytes.Buffer
	s, err := Open(f, zerolog.New(&log))
	if err != nil {
		t.Fatal(err)
	}
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := tls.NewListener(raw, s.ServerConfig())
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { defer c.Close(); _, _ = io.Copy(c, c) }()
		}
	}()
	client := certstest.New(t, "booking-app", ca, now.Add(-day), now.Add(day))
	roots := x509.NewCertPool()
	roots.AddCert(ca.Cert)
	dial := func(name string, with *certstest.Pair) (*tls.Conn, error) {
		c := &tls.Config{RootCAs: roots, ServerName: name}
		if with != nil {
			c.Certificates = []tls.Certificate{{Certificate: [][]byte{with.DER}, PrivateKey: with.Key}}
		}
		nc, err := tls.Dial("tcp", l.Addr().String(), c)
		if err == nil {
			err = echo(nc)
		}
		return nc, err
	}
	before, err := dial("first", client)
	if err != nil {
		t.Fatal(err)
	}
	defer before.Close()
	if nc, err := dial("first", nil); err == nil {
		nc.Close()
		t.Error("a client without a certificate was accepted")
	}
	if nc, err := dial("first", certstest.New(t, "booking-app", nil, now.Add(-day), now.Add(day))); err == nil {
		nc.Close()
		t.Error("a client of another authority was accepted")
	}
	certstest.New(t, "second", ca, now.Add(-day), now.Add(20*day)).Write(t, f.Cert, f.Key)
	if !s.ReloadIfChanged(now.Add(time.Second), day) {
		t.Fatal("new certificates are not in use")
	}
	after, err := dial("second", client)
	if err != nil {
		t.Fatal(err)
	}
	after.Close()
	if err := echo(before); err != nil {
		t.Errorf("connection from before the reload: %v", err)
	}
	if err := os.WriteFile(f.Key, []byte("broken"), 0o600); err != nil {
		t.Fatal(err)
	}
	if s.ReloadIfChanged(now.Add(2*time.Second), day) || !strings.Contains(log.String(), "the last good ones stay in use") {
		t.Errorf("log after an invalid key: %s", log.String())
	}
	if again, err := dial("second", client); err != nil {
		t.Errorf("connection after an invalid key: %v", err)
	} else {
		again.Close()
	}
	log.Reset()
	for hour := range 48 {
		s.ReloadIfChanged(now.Add(7*day+time.Duration(hour)*time.Hour), 14*day)
	}
	if n := strings.Count(log.String(), "expires soon"); n != 2 {
		t.Errorf("got %d expiry warnings in two days, want 2: %s", n, log.String())
	}
	state := &tls.ConnectionState{PeerCertificates: []*x509.Certificate{client.Cert}}
	if c, err := FindClient([]Client{{Name: "x"}, {Name: "booking-app", Customer: "east"}}, state); err != nil || c.Customer != "east" {
		t.Errorf("known client: got %v, %v", c, err)
	}
	if _, err := FindClient([]Client{{Name: "x"}}, state); !errors.Is(err, ErrUnknownClient) {
		t.Errorf("unknown client: got error %v", err)
	}
}

// echo sends a byte and waits for it.
func echo(nc net.Conn) error {
	_ = nc.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := nc.Write([]byte{'x'}); err != nil {
		return err
	}
	_, err := io.ReadFull(nc, make([]byte, 1))
	return err
}
