// Package callers identifies anonymous callers by their network address. An address does
// not authenticate the caller. Fair sharing therefore also groups callers by address prefix,
// because one subscriber usually holds a whole prefix.
package callers

import (
	"net"
	"net/http"
	"net/netip"
	"strings"
)

// Lengths in bits of the address prefixes that are usually assigned to one subscriber or site.
const (
	prefixBitsV4 = 24
	prefixBitsV6 = 56
)

// Prefix returns the prefix of a caller's address in CIDR notation. If addr is not an IP address, Prefix returns addr itself.
func Prefix(addr string) string {
	ip, err := netip.ParseAddr(addr)
	if err != nil {
		return addr
	}
	return AddrPrefix(ip).String()
}

// AddrPrefix returns the prefix of an address, with the length for the address family.
func AddrPrefix(ip netip.Addr) netip.Prefix {
	ip = ip.Unmap()
	bits := prefixBitsV6
	if ip.Is4() {
		bits = prefixBitsV4
	}
	p, _ := ip.WithZone("").Prefix(bits) // bits is valid for the address family, so there is no error
	return p
}

// TrustedProxies is the set of proxies whose X-Forwarded-For header is trusted.
type TrustedProxies []netip.Prefix

// ParseTrustedProxies parses CIDR prefixes such as 10.0.0.0/8.
func ParseTrustedProxies(prefixes []string) (TrustedProxies, error) {
	var t TrustedProxies
	for _, prefix := range prefixes {
		p, err := netip.ParsePrefix(prefix)
		if err != nil {
			return nil, err
		}
		t = append(t, p)
	}
	return t, nil
}

func (t TrustedProxies) contains(ip netip.Addr) bool {
	for _, p := range t {
		if p.Contains(ip) {
			return true
		}
	}
	return false
}

// CallerAddress returns the caller's address. If the peer of the connection is not a trusted proxy, the result is the peer
// address. Otherwise the result is the last address in X-Forwarded-For that is not a trusted proxy. Earlier addresses in that
// header are not trusted, because the caller can set them. If an address in the header cannot be parsed, the result is the
// trusted proxy that was checked last. If the peer address cannot be parsed, the result is the zero Addr.
func (t TrustedProxies) CallerAddress(r *http.Request) netip.Addr {
	ip := remoteAddr(r.RemoteAddr)
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

// remoteAddr parses the IP address in an http.Request.RemoteAddr. It returns the zero Addr if hostport is invalid.
func remoteAddr(hostport string) netip.Addr {
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
