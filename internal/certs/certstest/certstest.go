// Package certstest makes certificates and keys for tests.
package certstest

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"testing"
	"time"
)

// Pair is a certificate with its key.
type Pair struct {
	Cert *x509.Certificate
	DER  []byte
	Key  *ecdsa.PrivateKey
}

// New returns a certificate signed by issuer. If issuer is nil, it is a self-signed authority.
func New(t *testing.T, name string, issuer *Pair, from, to time.Time) *Pair {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: from, NotAfter: to, DNSNames: []string{name}, IsCA: issuer == nil, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign}
	p := &Pair{Cert: template, Key: key}
	if issuer == nil {
		issuer = p
	}
	if p.DER, err = x509.CreateCertificate(rand.Reader, template, issuer.Cert, &key.PublicKey, issuer.Key); err != nil {
		t.Fatal(err)
	}
	if p.Cert, err = x509.ParseCertificate(p.DER); err != nil {
		t.Fatal(err)
	}
	return p
}

// Write writes the certificate and the rest of its chain to the file cert and, unless key is empty, the key to the file
// key, as PEM.
func (p *Pair) Write(t *testing.T, cert, key string, chain ...*Pair) {
	t.Helper()
	var b bytes.Buffer
	for _, c := range append([]*Pair{p}, chain...) {
		_ = pem.Encode(&b, &pem.Block{Type: "CERTIFICATE", Bytes: c.DER})
	}
	if err := os.WriteFile(cert, b.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
	if key == "" {
		return
	}
	der, err := x509.MarshalECPrivateKey(p.Key)
	if err == nil {
		err = os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: der}), 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
}
