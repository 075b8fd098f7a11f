package peer

import (
	"bytes"
	"errors"
	"io"
	"net"
	"testing"
)

func errorsAs(err error, target any) bool { return errors.As(err, target) }

// Guards against a handshake that hangs, panics, or accepts anything but the exact protocol version.
func FuzzHandshake(f *testing.F) {
	f.Add([]byte(ProtocolVersion + "\n"))
	f.Add([]byte("bamboofork/2\n"))
	f.Add([]byte("\x00\xff\n\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		client, server := net.Pipe()
		defer client.Close()
		go func() {
			client.Write(data) //nolint:errcheck // the server may reject the input before its end
			if !bytes.Contains(data, []byte("\n")) && len(data) < maxHandshakeBytes {
				client.Close() // the server would wait for the rest until its deadline
			}
		}()
		go io.Copy(io.Discard, client) //nolint:errcheck // ends when the server closes its side
		err := acceptHandshake(server)
		server.Close()
		exact := len(data) > len(ProtocolVersion) && string(data[:len(ProtocolVersion)+1]) == ProtocolVersion+"\n"
		if (err == nil) != exact {
			t.Fatalf("%q: %v", data, err)
		}
	})
}
