package entry

import (
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/wire"
)

// Guards against a decision log that grows without bound or drops the newest records instead of the oldest.
func TestDecisionLogKeepsTheNewest(t *testing.T) {
	var l decisionLog
	const added = maxDecisions + 100
	for i := range added {
		l.add(decisionRecord{id: strconv.Itoa(i), outcome: wire.OutcomeDone})
	}
	qt.Assert(t, len(l.ring), qt.Equals, maxDecisions)
	qt.Assert(t, l.find("0"), qt.HasLen, 0)
	qt.Assert(t, l.find(strconv.Itoa(added-1)), qt.HasLen, 1)
	qt.Assert(t, l.find(strconv.Itoa(added-maxDecisions)), qt.HasLen, 1)
}
