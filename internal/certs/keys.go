// Package certs holds certificates and keys for TLS: read and checked whole before they act, taken anew when their
// files change without a connection dropped, told of ahead of their expiry.
package certs

import (
	"cmp"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// Files name the certificate chain, its key, and the authorities that clients' certificates must come from; the last
// may be empty: clients then need none.
type Files struct{ Cert, Key, ClientCA string }

// Bundle is one state of the files, found good.
type Bundle struct {
	cert     tls.Certificate
	clients  *x509.CertPool
	NotAfter time.Time // of the certificate that expires first in the chain
}

// Load reads and checks the files as of now.
func Load(f Files, now time.Time) (*Bundle, error) {
	cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, fmt.Errorf("certificate %s with key %s: %w", f.Cert, f.Key, err)
	}
	s := &Bundle{cert: cert}
	var before *x509.Certificate
	for i, der := range cert.Certificate {
		c, err := x509.ParseCertificate(der)
		if err != nil {
			return nil, fmt.Errorf("certificate %s: the chain's part %d: %w", f.Cert, i, err)
		}
		switch {
		case now.After(c.NotAfter):
			return nil, fmt.Errorf("certificate %s: %q expired at %s", f.Cert, c.Subject.CommonName, c.NotAfter.UTC().Format(time.RFC3339))
		case now.Before(c.NotBefore):
			return nil, fmt.Errorf("certificate %s: %q is not valid before %s", f.Cert, c.Subject.CommonName, c.NotBefore.UTC().Format(time.RFC3339))
		case before != nil && before.CheckSignatureFrom(c) != nil:
			return nil, fmt.Errorf("certificate %s: %q did not sign the certificate before it in the chain", f.Cert, c.Subject.CommonName)
		}
		if s.NotAfter.IsZero() || c.NotAfter.Before(s.NotAfter) {
			s.NotAfter = c.NotAfter
		}
		before = c
	}
	if f.ClientCA != "" {
		text, err := os.ReadFile(f.ClientCA)
		if err != nil {
			return nil, fmt.Errorf("clients' authorities: %w", err)
		}
		if s.clients = x509.NewCertPool(); !s.clients.AppendCertsFromPEM(text) {
			return nil, fmt.Errorf("clients' authorities %s: no certificate in it", f.ClientCA)
		}
	}
	return s, nil
}

// Store keeps the good set in use.
type Store struct {
	files Files
	log   zerolog.Logger
	set   atomic.Pointer[Bundle]
	seen  [3]stamp
	told  time.Time
}

type stamp struct {
	at   time.Time
	size int64
}

// Open loads the first set; a bad one is an error.
func Open(f Files, log zerolog.Logger) (*Store, error) {
	set, err := Load(f, time.Now())
	if err != nil {
		return nil, err
	}
	s := &Store{files: f, log: log}
	s.set.Store(set)
	s.seen = s.stamps()
	return s, nil
}

func (s *Store) stamps() (out [3]stamp) {
	for i, file := range []string{s.files.Cert, s.files.Key, s.files.ClientCA} {
		if info, err := os.Stat(file); err == nil {
			out[i] = stamp{info.ModTime(), info.Size()}
		}
	}
	return out
}

// Watch looks at the files each interval until the context ends, and warns each day once less than ahead is left.
func (s *Store) Watch(ctx context.Context, every, ahead time.Duration) {
	for {
		s.ReloadIfChanged(time.Now(), ahead)
		select {
		case <-ctx.Done():
			return
		case <-time.After(every):
		}
	}
}

// ReloadIfChanged takes changed files over, if they are good: new connections get them, those that stand go on. It reports
// whether a new set is in use.
func (s *Store) ReloadIfChanged(now time.Time, ahead time.Duration) bool {
	fresh := false
	if stamps := s.stamps(); stamps != s.seen {
		s.seen = stamps
		set, err := Load(s.files, now)
		if err != nil {
			s.log.Error().Err(err).Msg("new keys are not taken: the last good ones stand")
		} else {
			s.set.Store(set)
			s.told, fresh = time.Time{}, true
			s.log.Info().Time("not_after", set.NotAfter).Msg("new keys are in use")
		}
	}
	if left := s.set.Load().NotAfter.Sub(now); left < ahead && now.Sub(s.told) >= 24*time.Hour {
		s.told = now
		s.log.Warn().Str("certificate", s.files.Cert).Str("expires_in", left.Round(time.Minute).String()).
			Msg("a certificate expires soon")
	}
	return fresh
}

// ServerConfig is a server's: each handshake gets the set in use then.
func (s *Store) ServerConfig(protocols ...string) *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			set := s.set.Load()
			c := &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: protocols, Certificates: []tls.Certificate{set.cert}}
			if set.clients != nil {
				c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, set.clients
			}
			return c, nil
		}}
}

// Client is what a certificate's name stands for.
type Client struct {
	Name     string   // a DNS name of the certificate, or its common name
	Customer string   // whose RPCs these are; empty: whoever they say
	Methods  []string // none: all
}

// Authorize holds what an RPC asks for against its client: the method, and the customer, which is the client's where it
// has one. A nil client may ask for all.
func (c *Client) Authorize(method string, customer *string) error {
	if c == nil {
		return nil
	}
	if len(c.Methods) > 0 && !slices.Contains(c.Methods, method) {
		return fmt.Errorf("client %q may not ask for method %q", c.Name, method)
	}
	if c.Customer != "" && *customer != "" && *customer != c.Customer {
		return fmt.Errorf("client %q may not ask for customer %q", c.Name, *customer)
	}
	*customer = cmp.Or(c.Customer, *customer)
	return nil
}

// ErrUnknownClient is a certificate whose name stands for nobody.
var ErrUnknownClient = errors.New("the certificate's name is on no list")

// FindClient finds the client that a verified certificate names. Without a list everybody is let in.
func FindClient(list []Client, state *tls.ConnectionState) (*Client, error) {
	if len(list) == 0 || state == nil || len(state.PeerCertificates) == 0 {
		return nil, nil
	}
	c := state.PeerCertificates[0]
	for i := range list {
		if list[i].Name == c.Subject.CommonName {
			return &list[i], nil
		}
		for _, name := range c.DNSNames {
			if list[i].Name == name {
				return &list[i], nil
			}
		}
	}
	return nil, fmt.Errorf("%w: %q", ErrUnknownClient, c.Subject.CommonName)
}
