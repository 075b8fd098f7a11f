// Package security provides mutual TLS between the project's processes, TLS for
// callers, and checks of operators' credentials. Certificates and credentials are
// reloaded when their files change.
package security

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"bamboofork/internal/events"
	"bamboofork/internal/network"
)

// DefaultName is the DNS name in the certificates of the project's processes. Certificates name the system and not the
// host, because processes are addressed by IP address and hosts can be replaced at any time.
const DefaultName = "bamboofork"

// reloadInterval is the minimum time between two checks whether the files have changed.
const reloadInterval = time.Second

// Files names the PEM files of an identity.
type Files struct {
	Cert string // certificate chain
	Key  string // private key
	CA   string // authorities of the peers' certificates; empty for a server of callers, who present none
	Name string // DNS name required in the peers' certificates; default DefaultName
}

// Identity is this process's certificate and the authorities that it trusts. After a change of the files, new
// connections use the new content. Invalid content is logged and the previous content stays in use.
type Identity struct {
	files Files
	log   zerolog.Logger

	mu          sync.Mutex // guards the fields below it
	lastCheckAt time.Time
	stamp       fileStamp
	current     *keyMaterial
}

// keyMaterial is the content of the files, from a single read.
type keyMaterial struct {
	cert    *tls.Certificate
	peerCAs *x509.CertPool // nil without a CA file
}

// Load reads the files of an identity. Errors name the invalid file. Name defaults to DefaultName.
func Load(files Files, log zerolog.Logger) (*Identity, error) {
	if files.Name == "" {
		files.Name = DefaultName
	}
	id := &Identity{files: files, log: log, lastCheckAt: time.Now()}
	id.stamp = stampOf(files.Cert, files.Key, files.CA)
	m, err := readFiles(files)
	id.current = m
	return id, err
}

func readFiles(files Files) (*keyMaterial, error) {
	cert, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		return nil, eris.Wrapf(err, "load certificate %s with key %s", files.Cert, files.Key)
	}
	m := &keyMaterial{cert: &cert}
	if files.CA == "" {
		return m, nil
	}
	pem, err := os.ReadFile(files.CA)
	if err != nil {
		return nil, eris.Wrap(err, "read certificate authorities")
	}
	m.peerCAs = x509.NewCertPool()
	if !m.peerCAs.AppendCertsFromPEM(pem) {
		return nil, eris.Errorf("%s contains no certificate", files.CA)
	}
	return m, nil
}

// currentMaterial reads the files again if they have changed, at most once per reloadInterval. It returns the latest valid
// content of the files.
func (id *Identity) currentMaterial() *keyMaterial {
	id.mu.Lock()
	defer id.mu.Unlock()
	if time.Since(id.lastCheckAt) < reloadInterval {
		return id.current
	}
	id.lastCheckAt = time.Now()
	stamp := stampOf(id.files.Cert, id.files.Key, id.files.CA)
	if stamp == id.stamp {
		return id.current
	}
	m, err := readFiles(id.files)
	if err != nil {
		events.CertificateRejected.Log(&id.log).Err(err).Send()
		return id.current
	}
	id.current, id.stamp = m, stamp
	events.CertificateLoaded.Log(&id.log).Str("file", id.files.Cert).Time("not_after", m.cert.Leaf.NotAfter).Send()
	return m
}

// ServerConfig returns the configuration of a listener for the given application protocols. With a CA file, clients must
// present a certificate signed by one of its authorities and valid for the required name.
func (id *Identity) ServerConfig(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return id.serverConfig(protocols), nil
		},
		// Some listeners check that a certificate is configured before they accept connections.
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return id.currentMaterial().cert, nil },
	}
}

func (id *Identity) serverConfig(protocols []string) *tls.Config {
	m := id.currentMaterial()
	cfg := &tls.Config{
		MinVersion: tls.VersionTLS13, NextProtos: protocols, Certificates: []tls.Certificate{*m.cert},
		// Resuming a session skips the check of the client's certificate, although the authorities may have changed.
		SessionTicketsDisabled: m.peerCAs != nil,
	}
	if m.peerCAs != nil {
		cfg.ClientAuth, cfg.ClientCAs = tls.RequireAndVerifyClientCert, m.peerCAs
		cfg.VerifyConnection = id.verifyName
	}
	return cfg
}

var errNoCertificate = errors.New("peer presented no certificate")

// verifyName checks that the peer's certificate is valid for the required name.
func (id *Identity) verifyName(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errNoCertificate
	}
	return state.PeerCertificates[0].VerifyHostname(id.files.Name)
}

// ClientConfig returns the configuration of one outgoing connection to another process. The configuration contains the
// certificates that are current now, so callers need a new configuration for each connection.
func (id *Identity) ClientConfig(protocols ...string) *tls.Config {
	m := id.currentMaterial()
	return &tls.Config{
		MinVersion: tls.VersionTLS13, NextProtos: protocols, ServerName: id.files.Name,
		RootCAs: m.peerCAs, Certificates: []tls.Certificate{*m.cert},
	}
}

// fileStamp summarises the sizes and modification times of a set of files. A different stamp means that a file has changed.
type fileStamp struct {
	totalBytes   int64 // sum of sizes in bytes
	modTimeSumNs int64 // sum of modification times in nanoseconds
}

func stampOf(names ...string) fileStamp {
	var s fileStamp
	for _, name := range names {
		if info, err := os.Stat(name); err == nil {
			s.totalBytes += info.Size()
			s.modTimeSumNs += info.ModTime().UnixNano()
		}
	}
	return s
}

// Dial connects to addr and makes the TLS handshake.
func Dial(ctx context.Context, n network.Network, addr string, cfg *tls.Config) (net.Conn, error) {
	conn, err := n.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	secured := tls.Client(conn, cfg)
	if err := secured.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, err
	}
	return secured, nil
}
