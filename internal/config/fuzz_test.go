package config

import "testing"

// Guards against a settings file that crashes the decoder. Also guards against a file that is accepted although required
// settings are missing.
func FuzzParse(f *testing.F) {
	f.Add([]byte("id: a\ndomain: d\nlisten: {control: 127.0.0.1:1, callers: 127.0.0.1:2}\nstore: http://127.0.0.1:3\n"))
	f.Add([]byte("tls: {cert: x}\n"))
	f.Add([]byte("id: [\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		p, err := Parse("f", data, false)
		if err == nil && (p.ID == "" || !isIPPort(p.Listen.Control) || p.TLS.Enabled() && p.TLS.CA == "") {
			t.Fatalf("accepted %+v", p)
		}
	})
}
