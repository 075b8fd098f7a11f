package config

import (
	"net"
	"os"
	"strconv"
)

// Advertise holds the addresses at which other processes reach this process, as ip:port. An empty address stands for the
// address in Listen.
type Advertise struct {
	Control string `yaml:"control"`
	Data    string `yaml:"data"`
}

// TLS names the PEM files of a certificate. The files are reloaded when they change.
type TLS struct {
	Cert string `yaml:"cert"`
	Key  string `yaml:"key"`
	CA   string `yaml:"ca"`   // authorities of the other processes' certificates
	Name string `yaml:"name"` // DNS name in the other processes' certificates, default bamboofork
}

// Enabled reports whether TLS is configured.
func (t TLS) Enabled() bool { return t != TLS{} }

// ControlAddr returns the control address announced to other processes.
func (p *Process) ControlAddr() string { return firstNonEmpty(p.Advertise.Control, p.Listen.Control) }

// DataAddr returns the data address announced to other processes.
func (p *Process) DataAddr() string { return firstNonEmpty(p.Advertise.Data, p.Listen.Data) }

func firstNonEmpty(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

// checkSecurity validates addresses, certificate files and the credentials file. The TLS settings must be either unset or
// complete, so that a missing line does not leave connections unprotected.
func (p *Process) checkSecurity(require func(ok bool, field, msg string)) {
	for field, addr := range map[string]string{
		"listen.callers": p.Listen.Callers, "listen.control": p.Listen.Control, "listen.data": p.Listen.Data,
		"listen.operator": p.Listen.Operator, "advertise.control": p.Advertise.Control, "advertise.data": p.Advertise.Data,
	} {
		require(addr == "" || isIPPort(addr), field, "accepted: ip:port with a port of 1 to 65535")
	}
	if p.TLS.Enabled() {
		checkFile(require, "tls.cert", p.TLS.Cert)
		checkFile(require, "tls.key", p.TLS.Key)
		checkFile(require, "tls.ca", p.TLS.CA)
	}
	if p.CallersTLS.Enabled() {
		checkFile(require, "callers_tls.cert", p.CallersTLS.Cert)
		checkFile(require, "callers_tls.key", p.CallersTLS.Key)
		require(p.CallersTLS.CA == "", "callers_tls.ca", "callers are anonymous and present no certificate")
	}
	if p.OperatorCredentials != "" {
		checkFile(require, "operator_credentials", p.OperatorCredentials)
	}
}

func isIPPort(addr string) bool {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	n, err := strconv.Atoi(port)
	return err == nil && n > 0 && n <= 65535
}

func checkFile(require func(ok bool, field, msg string), field, name string) {
	if name == "" {
		require(false, field, "a file is required")
		return
	}
	info, err := os.Stat(name)
	require(err == nil && info.Mode().IsRegular(), field, "the file "+strconv.Quote(name)+" cannot be read")
}
