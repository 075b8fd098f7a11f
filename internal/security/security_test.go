package security

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
)

// authority is a certificate authority for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	qt.Assert(t, err, qt.IsNil)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	qt.Assert(t, err, qt.IsNil)
	cert, err := x509.ParseCertificate(der)
	qt.Assert(t, err, qt.IsNil)
	return &authority{cert, key}
}

// issue issues a certificate for the name and writes the three files of an identity to dir.
func (a *authority) issue(t *testing.T, dir, name string, serial int64) Files {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	qt.Assert(t, err, qt.IsNil)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), DNSNames: []string{name}, NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	qt.Assert(t, err, qt.IsNil)
	keyDER, err := x509.MarshalECPrivateKey(key)
	qt.Assert(t, err, qt.IsNil)
	f := Files{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem")}
	for file, block := range map[string]*pem.Block{
		f.Cert: {Type: "CERTIFICATE", Bytes: der}, f.Key: {Type: "EC PRIVATE KEY", Bytes: keyDER},
		f.CA: {Type: "CERTIFICATE", Bytes: a.cert.Raw},
	} {
		qt.Assert(t, os.WriteFile(file, pem.EncodeToMemory(block), 0o600), qt.IsNil)
	}
	return f
}

// connect opens a TLS connection to server. It returns the serial number of the server's certificate, which is 0 if the client
// could not connect, and the errors of both sides.
func connect(t *testing.T, client *tls.Config, server *Identity) (serial int64, clientErr, serverErr error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer l.Close()
	serverDone := make(chan error, 1)
	go func() {
		conn, err := l.Accept()
		if err == nil {
			defer conn.Close()
			s := tls.Server(conn, server.ServerConfig("test"))
			if err = s.Handshake(); err == nil {
				_, err = io.WriteString(s, "x")
			}
		}
		serverDone <- err
	}()
	conn, clientErr := tls.Dial("tcp", l.Addr().String(), client)
	if clientErr == nil {
		defer conn.Close()
		serial = conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
		_, clientErr = io.ReadFull(conn, make([]byte, 1)) // TLS 1.3 reports a rejected client certificate on the first read
	}
	return serial, clientErr, <-serverDone
}

// Guards against a peer being accepted without a certificate, with a certificate of another authority, or with a certificate
// for another name.
func TestMutualTLSRejectsUntrustedPeers(t *testing.T) {
	trustedCA, foreignCA := newAuthority(t), newAuthority(t)
	loadIdentity := func(f Files) *Identity {
		id, err := Load(f, zerolog.Nop())
		qt.Assert(t, err, qt.IsNil)
		return id
	}
	server := loadIdentity(trustedCA.issue(t, t.TempDir(), DefaultName, 7))
	client := loadIdentity(trustedCA.issue(t, t.TempDir(), DefaultName, 8))
	serial, clientErr, serverErr := connect(t, client.ClientConfig("test"), server)
	qt.Assert(t, clientErr, qt.IsNil)
	qt.Assert(t, serverErr, qt.IsNil)
	qt.Assert(t, serial, qt.Equals, int64(7))

	withoutCert := client.ClientConfig("test")
	withoutCert.Certificates = nil
	foreignCert := loadIdentity(foreignCA.issue(t, t.TempDir(), DefaultName, 9)).ClientConfig("test")
	foreignCert.RootCAs = client.ClientConfig("test").RootCAs
	wrongName := loadIdentity(trustedCA.issue(t, t.TempDir(), "another-system", 10)).ClientConfig("test")
	for name, cfg := range map[string]*tls.Config{"none": withoutCert, "other authority": foreignCert, "other name": wrongName} {
		cfg.ServerName = DefaultName
		_, clientErr, serverErr = connect(t, cfg, server)
		qt.Check(t, clientErr, qt.IsNotNil, qt.Commentf(name))
		qt.Check(t, serverErr, qt.IsNotNil, qt.Commentf(name))
	}
	impostor := loadIdentity(foreignCA.issue(t, t.TempDir(), DefaultName, 11))
	_, clientErr, _ = connect(t, client.ClientConfig("test"), impostor)
	qt.Check(t, clientErr, qt.IsNotNil)
}

// Guards against changed certificates taking effect only after a restart. Also guards against an invalid file replacing the
// certificate in use.
func TestChangedCertificatesAreReloaded(t *testing.T) {
	ca, dir := newAuthority(t), t.TempDir()
	id, err := Load(ca.issue(t, dir, DefaultName, 1), zerolog.Nop())
	qt.Assert(t, err, qt.IsNil)
	reloadedSerial := func() int64 {
		id.lastCheckAt = time.Time{} // make the files due for a check
		return id.currentMaterial().cert.Leaf.SerialNumber.Int64()
	}
	files := ca.issue(t, dir, DefaultName, 2)
	modTime := time.Now().Add(time.Minute)
	qt.Assert(t, os.Chtimes(files.Cert, modTime, modTime), qt.IsNil)
	qt.Assert(t, reloadedSerial(), qt.Equals, int64(2))
	qt.Assert(t, os.WriteFile(files.Cert, []byte("garbage"), 0o600), qt.IsNil)
	qt.Assert(t, reloadedSerial(), qt.Equals, int64(2))
	files = ca.issue(t, dir, DefaultName, 3)
	modTime = modTime.Add(time.Minute)
	qt.Assert(t, os.Chtimes(files.Cert, modTime, modTime), qt.IsNil)
	qt.Assert(t, reloadedSerial(), qt.Equals, int64(3))
}

// Guards against operator endpoints that accept a missing token, a wrong token, or a token without the required permission.
func TestOperatorEndpointsRequireTokenAndPermission(t *testing.T) {
	file := filepath.Join(t.TempDir(), "operators")
	credentials := "# operators\nana write " + HashToken("t1") + "\nben read " + HashToken("t2") + "\n"
	qt.Assert(t, os.WriteFile(file, []byte(credentials), 0o600), qt.IsNil)
	ops, err := LoadOperators(file, zerolog.Nop())
	qt.Assert(t, err, qt.IsNil)
	handler := ops.Require(PermissionWrite, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(204) }))
	for auth, want := range map[string]int{"": 401, "Bearer ": 401, "Bearer x": 401, "t1": 401, "Bearer t2": 403, "Bearer t1": 204} {
		r := httptest.NewRequest("GET", "/", nil)
		r.Header.Set("Authorization", auth)
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		qt.Check(t, w.Code, qt.Equals, want, qt.Commentf(auth))
	}
	_, err = ParseOperators("f", []byte("ana write zz\n"))
	qt.Check(t, err, qt.ErrorMatches, "f:1: the hash must have 64 hex digits")
}

// Guards against a malformed credentials file crashing the process.
func FuzzOperators(f *testing.F) {
	f.Add([]byte("ana write " + HashToken("t")))
	f.Add([]byte("# x\n\n a b"))
	f.Fuzz(func(t *testing.T, credentials []byte) {
		list, err := ParseOperators("f", credentials)
		if err != nil && len(list) > 0 {
			t.Fatal("operators returned together with an error")
		}
	})
}
