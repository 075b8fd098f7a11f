// Package callers identifies anonymous callers by their network address. An address
// proves nothing about its owner, so the address prefix that one subscriber usually
// holds is the next level of fairness above it.
package callers

import (
	"net"
	"net/http"
	"net/netip"
	"strings"
)

// Prefix lengths that one subscriber or site usually holds.
const (
	prefixBitsV4 = 24
	prefixBitsV6 = 56
)

// Prefix returns the address prefix of a caller's address, or the text itself if it is not an address.
func Prefix(addr string) string {
	ip, err := netip.ParseAddr(addr)
	if err != nil {
		return addr
	}
	return PrefixOf(ip).String()
}

// PrefixOf returns the prefix of an address.
func PrefixOf(ip netip.Addr) netip.Prefix {
	ip = ip.Unmap()
	bits := prefixBitsV6
	if ip.Is4() {
		bits = prefixBitsV4
	}
	p, _ := ip.WithZone("").Prefix(bits) // bits fit the address family, so there is no error
	return p
}

// Trusted is the set of proxies whose X-Forwarded-For is believed.
type Trusted []netip.Prefix

// ParseTrusted reads prefixes such as 10.0.0.0/8.
func ParseTrusted(texts []string) (Trusted, error) {
	var t Trusted
	for _, text := range texts {
		p, err := netip.ParsePrefix(text)
		if err != nil {
			return nil, err
		}
		t = append(t, p)
	}
	return t, nil
}

func (t Trusted) contains(ip netip.Addr) bool {
	for _, p := range t {
		if p.Contains(ip) {
			return true
		}
	}
	return false
}

// Address returns the caller's address: the connection's, or the last address of X-Forwarded-For that no trusted
// proxy holds when the connection comes from a trusted proxy. Earlier addresses in that header are the caller's claim.
// An unreadable address is the zero Addr.
func (t Trusted) Address(r *http.Request) netip.Addr {
	ip := remote(r.RemoteAddr)
	if len(t) == 0 || !t.contains(ip) {
		return ip
	}
	hops := strings.Split(strings.Join(r.Header.Values("X-Forwarded-For"), ","), ",")
	for i := len(hops) - 1; i >= 0; i-- {
		hop, err := netip.ParseAddr(strings.TrimSpace(hops[i]))
		if err != nil {
			return ip
		}
		ip = hop.Unmap()
		if !t.contains(ip) {
			return ip
		}
	}
	return ip
}

func remote(hostport string) netip.Addr {
	host, _, err := net.SplitHostPort(hostport)
	if err != nil {
		return netip.Addr{}
	}
	ip, err := netip.ParseAddr(host)
	if err != nil {
		return netip.Addr{}
	}
	return ip.Unmap().WithZone("")
}
