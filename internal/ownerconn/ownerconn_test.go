package ownerconn

import (
	"io"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/session"
)

// Guards against the replacement of an owner that reaches the store, because an earlier process of the same name did not. What a
// process has said about itself ends with its connection.
func TestStoreAccessOfAnOwnerIsForgottenWithItsConnection(t *testing.T) {
	local, remote := net.Pipe()
	defer remote.Close()
	conn := session.New[session.FromMember, session.ToMember](local)
	defer conn.Close()
	f := &Follower{Name: "host-1"}
	qt.Assert(t, f.acceptOwner(conn, &session.ToMember{Epoch: 1, Owner: "host-0"}), qt.IsTrue)
	f.updateOwnerStatus(conn, &session.ToMember{StoreUnreachable: true})
	qt.Assert(t, f.OwnerStoreUnreachable("host-0"), qt.IsTrue)
	f.handleDisconnect(conn, io.EOF)
	qt.Check(t, f.OwnerStoreUnreachable("host-0"), qt.IsFalse)
}
