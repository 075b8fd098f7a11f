package dev_test

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"bamboofork/internal/config"
	"bamboofork/internal/dev"
	"bamboofork/internal/peer"
	"bamboofork/internal/security"
)

// Guards against a fleet whose requests fail over TLS. Also guards against control and data ports that accept clients without a
// certificate although TLS is configured.
func TestFleetOverTLS(t *testing.T) {
	files, err := security.WriteDevelopmentCertificates(t.TempDir())
	qt.Assert(t, err, qt.IsNil)
	credentials := filepath.Join(t.TempDir(), "operators")
	qt.Assert(t, os.WriteFile(credentials, []byte("ana read "+security.HashToken("secret")), 0o600), qt.IsNil)
	p, err := dev.Workshop()
	qt.Assert(t, err, qt.IsNil)
	p.Entries, p.Agents = 1, 2
	p.TLS, p.CallersTLS, p.Credentials = config.TLS(files), config.TLS{Cert: files.Cert, Key: files.Key}, credentials
	f, err := dev.Start(p, zerolog.Nop())
	qt.Assert(t, err, qt.IsNil)
	defer func() { qt.Check(t, f.Stop(), qt.IsNil) }()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	qt.Assert(t, f.WaitReady(ctx), qt.IsNil)

	id, err := security.Load(files, zerolog.Nop())
	qt.Assert(t, err, qt.IsNil)
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: id.ClientConfig().RootCAs, ServerName: security.DefaultName}}}
	defer client.CloseIdleConnections()
	for path, key := range map[string]string{scanPath: "", orderPath: "tls-1"} {
		req, err := http.NewRequest("POST", f.EntryURL(0)+path, strings.NewReader("over tls"))
		qt.Assert(t, err, qt.IsNil)
		req.Header.Set("Idempotency-Key", key)
		resp, err := client.Do(req)
		qt.Assert(t, err, qt.IsNil)
		resp.Body.Close()
		qt.Check(t, resp.Header.Get("Bf-Outcome"), qt.Equals, "done")
	}
	for token, want := range map[string]int{"": 401, "wrong": 401, "secret": 200} {
		req, err := http.NewRequest("GET", f.EntryURL(0)+"/v1/status", nil)
		qt.Assert(t, err, qt.IsNil)
		req.Header.Set("Authorization", "Bearer "+token)
		resp, err := client.Do(req)
		qt.Assert(t, err, qt.IsNil)
		resp.Body.Close()
		qt.Check(t, resp.StatusCode, qt.Equals, want)
	}
	agent := f.Agent(0).Config.Listen
	conn, err := tls.Dial("tcp", agent.Data, &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"h2"}})
	if err == nil { // with TLS 1.3, a missing certificate is reported on the first read
		_, err = conn.Read(make([]byte, 1<<10))
		conn.Close()
	}
	qt.Check(t, err, qt.IsNotNil)
	plain, err := net.Dial("tcp", agent.Control)
	qt.Assert(t, err, qt.IsNil)
	defer plain.Close()
	_, err = plain.Write([]byte(peer.ProtocolVersion + "\n"))
	qt.Assert(t, err, qt.IsNil)
	reply := make([]byte, 64)
	n, _ := plain.Read(reply) //nolint:errcheck // the connection may be closed without a response
	qt.Check(t, strings.Contains(string(reply[:n]), "ok"), qt.IsFalse)
}
