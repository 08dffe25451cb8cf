package keys

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// pair is a certificate with its key, made for the test.
type pair struct {
	cert *x509.Certificate
	der  []byte
	key  *ecdsa.PrivateKey
}

func create(t *testing.T, name string, by *pair, from, to time.Time) *pair {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: from, NotAfter: to, DNSNames: []string{name}, IsCA: by == nil, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign}
	p := &pair{cert: template, key: key}
	if by == nil {
		by = p
	}
	if p.der, err = x509.CreateCertificate(rand.Reader, template, by.cert, &key.PublicKey, by.key); err != nil {
		t.Fatal(err)
	}
	if p.cert, err = x509.ParseCertificate(p.der); err != nil {
		t.Fatal(err)
	}
	return p
}

func (p *pair) write(t *testing.T, cert, key string, chain ...*pair) {
	t.Helper()
	var b bytes.Buffer
	for _, c := range append([]*pair{p}, chain...) {
		_ = pem.Encode(&b, &pem.Block{Type: "CERTIFICATE", Bytes: c.der})
	}
	if err := os.WriteFile(cert, b.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
	if key == "" {
		return
	}
	der, err := x509.MarshalECPrivateKey(p.key)
	if err == nil {
		err = os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: der}), 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
}

func TestLoad(t *testing.T) {
	dir, now := t.TempDir(), time.Now()
	at := func(name string) string { return filepath.Join(dir, name) }
	day := 24 * time.Hour
	ca := create(t, "ca", nil, now.Add(-day), now.Add(100*day))
	other := create(t, "other", nil, now.Add(-day), now.Add(100*day))
	f := Files{at("cert"), at("key"), ""}
	for _, c := range []struct {
		name string
		make func()
		want string
	}{
		{"good", func() { create(t, "front", ca, now.Add(-day), now.Add(day)).write(t, f.Cert, f.Key, ca) }, ""},
		{"expired", func() { create(t, "front", ca, now.Add(-2*day), now.Add(-day)).write(t, f.Cert, f.Key) }, `"front" expired at`},
		{"not yet", func() { create(t, "front", ca, now.Add(day), now.Add(2*day)).write(t, f.Cert, f.Key) }, `is not valid before`},
		{"wrong chain", func() { create(t, "front", ca, now.Add(-day), now.Add(day)).write(t, f.Cert, f.Key, other) }, `"other" did not sign`},
		{"wrong key", func() {
			create(t, "front", ca, now.Add(-day), now.Add(day)).write(t, f.Cert, f.Key)
			other.write(t, at("x"), f.Key)
		}, "private key does not match"},
		{"no key", func() { os.Remove(f.Key) }, "no such file"},
		{"no PEM", func() { other.write(t, at("x"), f.Key); _ = os.WriteFile(f.Cert, []byte("hello"), 0o600) }, "failed to find"},
	} {
		c.make()
		_, err := Load(f, now)
		if (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}

// New keys are taken without a restart, and the connection made before goes on; bad ones leave the last good in use;
// an expiry is told ahead, once a day; only clients of the authority come in, by their names.
func TestRotation(t *testing.T) {
	dir, now := t.TempDir(), time.Now()
	at := func(name string) string { return filepath.Join(dir, name) }
	day := 24 * time.Hour
	ca := create(t, "ca", nil, now.Add(-day), now.Add(100*day))
	ca.write(t, at("ca"), "")
	f := Files{at("cert"), at("key"), at("ca")}
	create(t, "first", ca, now.Add(-day), now.Add(10*day)).write(t, f.Cert, f.Key)
	var log bytes.Buffer
	s, err := Open(f, zerolog.New(&log))
	if err != nil {
		t.Fatal(err)
	}
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := tls.NewListener(raw, s.Config())
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
	client := create(t, "booking-app", ca, now.Add(-day), now.Add(day))
	roots := x509.NewCertPool()
	roots.AddCert(ca.cert)
	dial := func(name string, with *pair) (*tls.Conn, error) {
		c := &tls.Config{RootCAs: roots, ServerName: name}
		if with != nil {
			c.Certificates = []tls.Certificate{{Certificate: [][]byte{with.der}, PrivateKey: with.key}}
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
		t.Error("a client without a certificate came in")
	}
	if nc, err := dial("first", create(t, "booking-app", nil, now.Add(-day), now.Add(day))); err == nil {
		nc.Close()
		t.Error("a client of another authority came in")
	}
	create(t, "second", ca, now.Add(-day), now.Add(20*day)).write(t, f.Cert, f.Key)
	if !s.Look(now.Add(time.Second), day) {
		t.Fatal("new keys are not taken")
	}
	after, err := dial("second", client)
	if err != nil {
		t.Fatal(err)
	}
	after.Close()
	if err := echo(before); err != nil {
		t.Errorf("the connection made before: %v", err)
	}
	if err := os.WriteFile(f.Key, []byte("broken"), 0o600); err != nil {
		t.Fatal(err)
	}
	if s.Look(now.Add(2*time.Second), day) || !strings.Contains(log.String(), "the last good ones stand") {
		t.Errorf("bad keys: %s", log.String())
	}
	if again, err := dial("second", client); err != nil {
		t.Errorf("after bad keys: %v", err)
	} else {
		again.Close()
	}
	log.Reset()
	for hour := range 48 {
		s.Look(now.Add(7*day+time.Duration(hour)*time.Hour), 14*day)
	}
	if n := strings.Count(log.String(), "expires soon"); n != 2 {
		t.Errorf("told %d times in two days: %s", n, log.String())
	}
	state := &tls.ConnectionState{PeerCertificates: []*x509.Certificate{client.cert}}
	if c, err := Find([]Client{{Name: "x"}, {Name: "booking-app", Customer: "east"}}, state); err != nil || c.Customer != "east" {
		t.Errorf("%v, %v", c, err)
	}
	if _, err := Find([]Client{{Name: "x"}}, state); !errors.Is(err, ErrUnknown) {
		t.Errorf("unknown: %v", err)
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
