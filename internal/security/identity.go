// Package security authenticates the project's processes to each other by mutual TLS,
// serves callers over TLS, and checks operators' credentials. Certificates and
// credentials are read again when their files change.
package security

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"bamboofork/internal/events"
)

// DefaultName is the DNS name that the certificates of the project's processes carry. Processes are addressed by IP
// number and hosts are replaced at any time, so certificates name the system and not the host.
const DefaultName = "bamboofork"

// reloadInterval bounds how often the files of an identity are examined.
const reloadInterval = time.Second

// Files names the PEM files of an identity.
type Files struct {
	Cert string // certificate with its chain
	Key  string // private key
	CA   string // authorities that sign the other processes' certificates; empty for a server of callers
	Name string // DNS name required of other processes; default DefaultName
}

// Identity is this process's certificate and the authorities that it trusts. After a change of the files, new
// connections use the new content; content that cannot be read is reported and the earlier one stays in use.
type Identity struct {
	files Files
	log   zerolog.Logger

	mu      sync.Mutex // guards the fields below it
	checked time.Time
	stamp   fileStamp
	current *material
}

// material is one consistent reading of the files.
type material struct {
	cert *tls.Certificate
	pool *x509.CertPool // nil without a CA file
}

// Load reads the files. An error names the file at fault.
func Load(files Files, log zerolog.Logger) (*Identity, error) {
	if files.Name == "" {
		files.Name = DefaultName
	}
	id := &Identity{files: files, log: log, checked: time.Now()}
	id.stamp = stampOf(files.Cert, files.Key, files.CA)
	m, err := read(files)
	id.current = m
	return id, err
}

func read(files Files) (*material, error) {
	cert, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		return nil, eris.Wrapf(err, "certificate %s with key %s", files.Cert, files.Key)
	}
	m := &material{cert: &cert}
	if files.CA == "" {
		return m, nil
	}
	pem, err := os.ReadFile(files.CA)
	if err != nil {
		return nil, eris.Wrap(err, "certificate authorities")
	}
	m.pool = x509.NewCertPool()
	if !m.pool.AppendCertsFromPEM(pem) {
		return nil, eris.Errorf("%s holds no certificate", files.CA)
	}
	return m, nil
}

// material returns the newest readable content of the files.
func (id *Identity) material() *material {
	id.mu.Lock()
	defer id.mu.Unlock()
	if time.Since(id.checked) < reloadInterval {
		return id.current
	}
	id.checked = time.Now()
	stamp := stampOf(id.files.Cert, id.files.Key, id.files.CA)
	if stamp == id.stamp {
		return id.current
	}
	m, err := read(id.files)
	if err != nil {
		events.CertificateRejected.Log(&id.log).Err(err).Send()
		return id.current
	}
	id.current, id.stamp = m, stamp
	events.CertificateLoaded.Log(&id.log).Str("file", id.files.Cert).Time("not_after", m.cert.Leaf.NotAfter).Send()
	return m
}

// ServerConfig returns the configuration of a listener for the application protocols. With a CA the other side must
// present a certificate of one of its authorities with the required name.
func (id *Identity) ServerConfig(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return id.serverConfig(protocols), nil
		},
		// Needed by listeners that look for a certificate before the first connection.
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return id.material().cert, nil },
	}
}

func (id *Identity) serverConfig(protocols []string) *tls.Config {
	m := id.material()
	cfg := &tls.Config{
		MinVersion: tls.VersionTLS13, NextProtos: protocols, Certificates: []tls.Certificate{*m.cert},
		// A resumed session would skip the check against authorities that changed since.
		SessionTicketsDisabled: m.pool != nil,
	}
	if m.pool != nil {
		cfg.ClientAuth, cfg.ClientCAs = tls.RequireAndVerifyClientCert, m.pool
		cfg.VerifyConnection = id.verifyName
	}
	return cfg
}

var errNoCertificate = errors.New("the other side presented no certificate")

func (id *Identity) verifyName(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errNoCertificate
	}
	return state.PeerCertificates[0].VerifyHostname(id.files.Name)
}

// ClientConfig returns the configuration of one outgoing connection to another process. It holds the material of the
// moment, so it must be made anew for each connection.
func (id *Identity) ClientConfig(protocols ...string) *tls.Config {
	m := id.material()
	return &tls.Config{
		MinVersion: tls.VersionTLS13, NextProtos: protocols, ServerName: id.files.Name,
		RootCAs: m.pool, Certificates: []tls.Certificate{*m.cert},
	}
}

// fileStamp identifies the content of some files by size and modification time.
type fileStamp struct {
	size    int64
	changed int64 // sum of modification times in nanoseconds
}

func stampOf(names ...string) fileStamp {
	var s fileStamp
	for _, name := range names {
		if info, err := os.Stat(name); err == nil {
			s.size += info.Size()
			s.changed += info.ModTime().UnixNano()
		}
	}
	return s
}
