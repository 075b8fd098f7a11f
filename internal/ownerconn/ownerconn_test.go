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

// Guards against an older state of the failure domains that comes back with a later owner, and against a new owner that is not told what
// the process knows.
func TestNewestStateOfTheDomainsIsPassedOn(t *testing.T) {
	local, remote := net.Pipe()
	defer remote.Close()
	conn := session.New[session.FromMember, session.ToMember](local)
	defer conn.Close()
	f := &Follower{Name: "host-1"}
	qt.Assert(t, f.acceptOwner(conn, &session.ToMember{Epoch: 1, Owner: "host-0"}), qt.IsTrue)
	_, knows := f.knowledgeForOwner()
	qt.Check(t, knows, qt.IsFalse, qt.Commentf("a process that knows nothing sends no message, as without this feature"))
	f.updateOwnerStatus(conn, &session.ToMember{Domains: &session.Domains{Revision: 20, OutOfService: []string{"b", "a"}}})
	f.updateOwnerStatus(conn, &session.ToMember{})
	qt.Assert(t, f.acceptOwner(conn, &session.ToMember{Epoch: 2, Owner: "host-2"}), qt.IsTrue)
	f.updateOwnerStatus(conn, &session.ToMember{Domains: &session.Domains{Revision: 19}})
	qt.Check(t, f.Domains.Get().IsOutOfService("a"), qt.IsTrue)
	told, knows := f.knowledgeForOwner()
	qt.Check(t, knows, qt.IsTrue)
	qt.Check(t, told.Domains, qt.DeepEquals, &session.Domains{Revision: 20, OutOfService: []string{"a", "b"}})
}
