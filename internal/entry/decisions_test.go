package entry

import (
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/wire"
)

// Guards against a decision log that grows without bound. When the log is full, a new record must replace the oldest one.
func TestDecisionLogKeepsTheNewest(t *testing.T) {
	var decisions decisionLog
	const addedCount = maxDecisions + 100
	for i := range addedCount {
		decisions.add(decisionRecord{requestID: strconv.Itoa(i), outcome: wire.OutcomeDone})
	}
	qt.Assert(t, len(decisions.ring), qt.Equals, maxDecisions)
	qt.Assert(t, decisions.find("0"), qt.HasLen, 0)
	qt.Assert(t, decisions.find(strconv.Itoa(addedCount-1)), qt.HasLen, 1)
	qt.Assert(t, decisions.find(strconv.Itoa(addedCount-maxDecisions)), qt.HasLen, 1)
}
