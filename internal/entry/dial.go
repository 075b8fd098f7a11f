package entry

import "net"

func dialer() *net.Dialer { return &net.Dialer{Timeout: dialTimeout} }
