package callers_test

import (
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/callers"
)

// Guards against a caller that forges its address with X-Forwarded-For. Also checks the lengths of the address prefixes.
func TestForgedForwardedAddressIsIgnored(t *testing.T) {
	trusted, err := callers.ParseTrustedProxies([]string{"10.0.0.0/8"})
	qt.Assert(t, err, qt.IsNil)
	for _, c := range []struct{ remote, forwarded, want string }{
		{"192.0.2.1:9", "198.51.100.1", "192.0.2.1"},                // not from a trusted proxy
		{"10.0.0.1:9", "198.51.100.1", "198.51.100.1"},              // from a trusted proxy
		{"10.0.0.1:9", "203.0.113.9, 198.51.100.1", "198.51.100.1"}, // the first address is set by the caller
		{"10.0.0.1:9", "198.51.100.1, 10.0.0.2", "198.51.100.1"},    // through two trusted proxies
		{"10.0.0.1:9", "", "10.0.0.1"},
		{"10.0.0.1:9", "x", "10.0.0.1"},
		{"[::ffff:10.0.0.1]:9", "2001:db8::1", "2001:db8::1"},
	} {
		r := httptest.NewRequest("GET", "/", nil)
		r.RemoteAddr = c.remote
		r.Header.Set("X-Forwarded-For", c.forwarded)
		qt.Check(t, trusted.CallerAddress(r).String(), qt.Equals, c.want, qt.Commentf("%+v", c))
	}
	qt.Check(t, callers.Prefix("198.51.100.77"), qt.Equals, "198.51.100.0/24")
	qt.Check(t, callers.Prefix("2001:db8:0:1ff::1"), qt.Equals, "2001:db8:0:100::/56")
}
