package config

import (
	"net"
	"os"
	"strconv"
)

// Advertise holds the addresses at which other processes reach this one, as ip:port.
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
func (p *Process) ControlAddr() string { return firstOf(p.Advertise.Control, p.Listen.Control) }

// DataAddr returns the data address announced to other processes.
func (p *Process) DataAddr() string { return firstOf(p.Advertise.Data, p.Listen.Data) }

func firstOf(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

// checkSecurity validates addresses and files. TLS must be either unset or complete, so that a missing line does not
// leave connections unprotected.
func (p *Process) checkSecurity(check func(ok bool, field, msg string)) {
	for field, addr := range map[string]string{
		"listen.callers": p.Listen.Callers, "listen.control": p.Listen.Control, "listen.data": p.Listen.Data,
		"listen.operator": p.Listen.Operator, "advertise.control": p.Advertise.Control, "advertise.data": p.Advertise.Data,
	} {
		check(addr == "" || isHostPort(addr), field, "accepted: ip:port with a port of 1 to 65535")
	}
	if p.TLS.Enabled() {
		checkFile(check, "tls.cert", p.TLS.Cert)
		checkFile(check, "tls.key", p.TLS.Key)
		checkFile(check, "tls.ca", p.TLS.CA)
	}
	if p.CallersTLS.Enabled() {
		checkFile(check, "callers_tls.cert", p.CallersTLS.Cert)
		checkFile(check, "callers_tls.key", p.CallersTLS.Key)
		check(p.CallersTLS.CA == "", "callers_tls.ca", "callers are anonymous and present no certificate")
	}
	if p.Credentials != "" {
		checkFile(check, "operator_credentials", p.Credentials)
	}
}

func isHostPort(addr string) bool {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	n, err := strconv.Atoi(port)
	return err == nil && n > 0 && n <= 65535
}

func checkFile(check func(ok bool, field, msg string), field, name string) {
	if name == "" {
		check(false, field, "a file is required")
		return
	}
	info, err := os.Stat(name)
	check(err == nil && info.Mode().IsRegular(), field, "the file "+strconv.Quote(name)+" cannot be read")
}
