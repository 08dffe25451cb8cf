// Package certs loads certificates and keys for TLS. They are checked completely before use and reloaded when their
// files change, without dropping connections; a warning is logged before they expire.
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

// Files are the paths of the certificate chain, of its key, and of the authorities that must have signed the
// certificates of clients. If ClientCA is empty, clients need no certificate.
type Files struct{ Cert, Key, ClientCA string }

// Bundle is the valid content of the files at one time.
type Bundle struct {
	cert      tls.Certificate
	clientCAs *x509.CertPool
	NotAfter  time.Time // of the certificate that expires first in the chain
}

// Load reads the files and checks that they are valid at the time now.
func Load(f Files, now time.Time) (*Bundle, error) {
	cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, fmt.Errorf("certificate %s with key %s: %w", f.Cert, f.Key, err)
	}
	bundle := &Bundle{cert: cert}
	var previous *x509.Certificate
	for i, der := range cert.Certificate {
		c, err := x509.ParseCertificate(der)
		if err != nil {
			return nil, fmt.Errorf("certificate %s: part %d of the chain: %w", f.Cert, i, err)
		}
		switch {
		case now.After(c.NotAfter):
			return nil, fmt.Errorf("certificate %s: %q expired at %s", f.Cert, c.Subject.CommonName, c.NotAfter.UTC().Format(time.RFC3339))
		case now.Before(c.NotBefore):
			return nil, fmt.Errorf("certificate %s: %q is not valid before %s", f.Cert, c.Subject.CommonName, c.NotBefore.UTC().Format(time.RFC3339))
		case previous != nil && previous.CheckSignatureFrom(c) != nil:
			return nil, fmt.Errorf("certificate %s: %q did not sign the certificate before it in the chain", f.Cert, c.Subject.CommonName)
		}
		if bundle.NotAfter.IsZero() || c.NotAfter.Before(bundle.NotAfter) {
			bundle.NotAfter = c.NotAfter
		}
		previous = c
	}
	if f.ClientCA != "" {
		pemData, err := os.ReadFile(f.ClientCA)
		if err != nil {
			return nil, fmt.Errorf("client CA file: %w", err)
		}
		if bundle.clientCAs = x509.NewCertPool(); !bundle.clientCAs.AppendCertsFromPEM(pemData) {
			return nil, fmt.Errorf("client CA file %s: no certificate found", f.ClientCA)
		}
	}
	return bundle, nil
}

// Store holds the bundle in use and reloads it when the files change.
type Store struct {
	files      Files
	log        zerolog.Logger
	bundle     atomic.Pointer[Bundle]
	lastStamps [3]fileStamp
	lastWarned time.Time
}

// fileStamp is compared to detect that a file has changed.
type fileStamp struct {
	modified time.Time
	size     int64
}

// Open returns a store with the files loaded. Invalid files are an error.
func Open(f Files, log zerolog.Logger) (*Store, error) {
	bundle, err := Load(f, time.Now())
	if err != nil {
		return nil, err
	}
	s := &Store{files: f, log: log}
	s.bundle.Store(bundle)
	s.lastStamps = s.stamps()
	return s, nil
}

func (s *Store) stamps() (out [3]fileStamp) {
	for i, file := range []string{s.files.Cert, s.files.Key, s.files.ClientCA} {
		if info, err := os.Stat(file); err == nil {
			out[i] = fileStamp{info.ModTime(), info.Size()}
		}
	}
	return out
}

// Watch checks the files every interval until the context ends. It logs a warning once a day when a certificate expires
// within warnBefore.
func (s *Store) Watch(ctx context.Context, interval, warnBefore time.Duration) {
	for {
		s.ReloadIfChanged(time.Now(), warnBefore)
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
	}
}

// ReloadIfChanged reloads changed files if they are valid. New connections use the new certificates; established ones
// go on. It reports whether new certificates are in use, and logs the warning of Watch when it is due.
func (s *Store) ReloadIfChanged(now time.Time, warnBefore time.Duration) bool {
	reloaded := false
	if stamps := s.stamps(); stamps != s.lastStamps {
		s.lastStamps = stamps
		bundle, err := Load(s.files, now)
		if err != nil {
			s.log.Error().Err(err).Msg("new certificates are invalid; the last good ones stay in use")
		} else {
			s.bundle.Store(bundle)
			s.lastWarned, reloaded = time.Time{}, true
			s.log.Info().Time("not_after", bundle.NotAfter).Msg("new certificates are in use")
		}
	}
	if left := s.bundle.Load().NotAfter.Sub(now); left < warnBefore && now.Sub(s.lastWarned) >= 24*time.Hour {
		s.lastWarned = now
		s.log.Warn().Str("certificate", s.files.Cert).Str("expires_in", left.Round(time.Minute).String()).
			Msg("a certificate expires soon")
	}
	return reloaded
}

// ServerConfig returns a TLS configuration for a server. Each handshake uses the bundle that is in use at that time.
func (s *Store) ServerConfig(protocols ...string) *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			bundle := s.bundle.Load()
			c := &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: protocols, Certificates: []tls.Certificate{bundle.cert}}
			if bundle.clientCAs != nil {
				c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, bundle.clientCAs
			}
			return c, nil
		}}
}

// Client describes a client that proves its name by a certificate, and what it is permitted to call.
type Client struct {
	Name     string   // a DNS name of the certificate, or its common name
	Customer string   // the customer of its RPCs; empty: the one that an RPC names
	Methods  []string // allowed methods; empty: all
}

// Authorize checks whether the client may call a method for a customer, and sets an empty customer to the client's own.
// A nil client may call all methods for all customers.
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

// ErrUnknownClient means that the name of a certificate is not on the list of clients.
var ErrUnknownClient = errors.New("the certificate's name is on no list")

// FindClient returns the client that a verified certificate names. It returns nil, which permits everything, if the
// list is empty or there is no certificate.
func FindClient(list []Client, state *tls.ConnectionState) (*Client, error) {
	if len(list) == 0 || state == nil || len(state.PeerCertificates) == 0 {
		return nil, nil
	}
	cert := state.PeerCertificates[0]
	for i := range list {
		if list[i].Name == cert.Subject.CommonName {
			return &list[i], nil
		}
		for _, name := range cert.DNSNames {
			if list[i].Name == name {
				return &list[i], nil
			}
		}
	}
	return nil, fmt.Errorf("%w: %q", ErrUnknownClient, cert.Subject.CommonName)
}
