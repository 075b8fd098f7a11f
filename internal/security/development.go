package security

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
)

// developmentValidity is the lifetime of a development certificate.
const developmentValidity = 24 * time.Hour

// WriteDevelopmentCertificates creates a certificate authority, issues one certificate for DefaultName and the loopback address, and
// writes the files of an identity to dir. It is meant for development machines and tests; the authority's key is not stored.
func WriteDevelopmentCertificates(dir string) (Files, error) {
	caKey, err1 := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	key, err2 := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err := errors.Join(err1, err2); err != nil {
		return Files{}, eris.Wrap(err, "generate keys")
	}
	ca := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "bamboofork development"},
		NotAfter: time.Now().Add(developmentValidity), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	leaf := &x509.Certificate{
		SerialNumber: big.NewInt(2), DNSNames: []string{DefaultName}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotAfter:    time.Now().Add(developmentValidity),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	caDER, err1 := x509.CreateCertificate(rand.Reader, ca, ca, &caKey.PublicKey, caKey)
	leafDER, err2 := x509.CreateCertificate(rand.Reader, leaf, ca, &key.PublicKey, caKey)
	keyDER, err3 := x509.MarshalECPrivateKey(key)
	if err := errors.Join(err1, err2, err3); err != nil {
		return Files{}, eris.Wrap(err, "issue certificate")
	}
	f := Files{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem"), Name: DefaultName}
	return f, errors.Join(
		writePEM(f.Cert, "CERTIFICATE", leafDER),
		writePEM(f.Key, "EC PRIVATE KEY", keyDER),
		writePEM(f.CA, "CERTIFICATE", caDER))
}

func writePEM(file, blockType string, der []byte) error {
	pemBytes := pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
	return eris.Wrap(os.WriteFile(file, pemBytes, 0o600), "write certificate")
}
