package peer

import (
	"errors"
	"net"
	"testing"
	"time"
)

func errorsAs(err error, target any) bool { return errors.As(err, target) }

// Guards against a handshake that accepts anything but the exact version, hangs or panics.
func FuzzHandshake(f *testing.F) {
	f.Add([]byte(ProtocolVersion + "\n"))
	f.Add([]byte("bamboofork/2\n"))
	f.Add([]byte("\x00\xff\n\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		client, server := net.Pipe()
		defer client.Close()
		go func() {
			client.SetDeadline(time.Now().Add(time.Second)) //nolint:errcheck // a pipe accepts deadlines
			client.Write(data)                              //nolint:errcheck // the server may close first
			client.Read(make([]byte, maxHandshake))         //nolint:errcheck // only unblocks the server's answer
			client.Close()
		}()
		err := acceptHandshake(server)
		server.Close()
		exact := len(data) > len(ProtocolVersion) && string(data[:len(ProtocolVersion)+1]) == ProtocolVersion+"\n"
		if (err == nil) != exact {
			t.Fatalf("%q: %v", data, err)
		}
	})
}
