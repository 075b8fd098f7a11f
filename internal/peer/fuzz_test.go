package peer

import (
	"bytes"
	"errors"
	"io"
	"net"
	"testing"
)

func errorsAs(err error, target any) bool { return errors.As(err, target) }

// Guards against a server that hangs or panics on a malformed handshake. The server must accept the exact protocol version
// and nothing else.
func FuzzHandshake(f *testing.F) {
	f.Add([]byte(ProtocolVersion + "\n"))
	f.Add([]byte("bamboofork/2\n"))
	f.Add([]byte("\x00\xff\n\n"))
	f.Fuzz(func(t *testing.T, input []byte) {
		client, server := net.Pipe()
		defer client.Close()
		go func() {
			client.Write(input) //nolint:errcheck // the server may reject the input before its end
			if !bytes.Contains(input, []byte("\n")) && len(input) < maxHandshakeBytes {
				client.Close() // otherwise the server would wait for the end of the line until its deadline
			}
		}()
		go io.Copy(io.Discard, client) //nolint:errcheck // ends when the server closes its side
		err := acceptHandshake(server)
		server.Close()
		isExactVersion := len(input) > len(ProtocolVersion) && string(input[:len(ProtocolVersion)+1]) == ProtocolVersion+"\n"
		if (err == nil) != isExactVersion {
			t.Fatalf("%q: %v", input, err)
		}
	})
}
