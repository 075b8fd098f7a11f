package domains_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/domains"
)

// Guards against an older state that replaces a newer one: reads complete out of order, and processes pass on what they learned earlier.
func TestOnlyANewerStateReplacesTheCurrentOne(t *testing.T) {
	var current domains.Current
	qt.Check(t, current.Get().Revision, qt.Equals, int64(0))
	qt.Check(t, current.SetIfNewer(domains.State{}), qt.IsTrue, qt.Commentf("the first state"))
	qt.Check(t, current.SetIfNewer(domains.State{Revision: 7, OutOfService: []string{"a", "c"}}), qt.IsTrue)
	qt.Check(t, current.SetIfNewer(domains.State{Revision: 6}), qt.IsFalse)
	qt.Check(t, current.SetIfNewer(domains.State{Revision: 7}), qt.IsFalse)
	qt.Check(t, current.Get().IsOutOfService("c"), qt.IsTrue)
	qt.Check(t, current.Get().IsOutOfService("b"), qt.IsFalse)
	qt.Check(t, current.SetIfNewer(domains.State{Revision: 8}), qt.IsTrue)
	qt.Check(t, current.Get().IsOutOfService("c"), qt.IsFalse)
	var unknown *domains.Current
	qt.Check(t, unknown.Get().IsOutOfService("a"), qt.IsFalse)
}
