package lease

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"bamboofork/internal/boottime"
	"bamboofork/internal/store/memstore"
)

// Guards against a process that acts on a lease which has ended while its host was suspended: the monotonic clock does not count that time.
func TestLeaseIsNotValidAfterASuspension(t *testing.T) {
	suspended := time.Duration(0)
	bootClock := boottime.SetClock(func() time.Duration { return time.Hour + suspended })
	defer func() { boottime.SetClock(bootClock) }()
	keeper := NewKeeper(memstore.New(), time.Minute, zerolog.Nop())
	isValid := func() bool {
		_, _, ok := keeper.Current()
		return ok
	}
	qt.Check(t, isValid(), qt.IsFalse)
	keeper.renew(t.Context())
	qt.Check(t, isValid(), qt.IsTrue)
	suspended = 53 * time.Second
	qt.Check(t, isValid(), qt.IsTrue)
	suspended = time.Minute
	qt.Check(t, isValid(), qt.IsFalse)
	keeper.renew(t.Context())
	qt.Check(t, isValid(), qt.IsTrue)
}
