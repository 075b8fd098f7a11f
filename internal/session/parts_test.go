package session

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against lists that arrive incomplete or in another order because they are sent in parts.
func TestPartsCarryAllElementsOnce(t *testing.T) {
	for seed := range uint64(12) {
		rng := rand.New(rand.NewPCG(seed, 1))
		command, report := ToMember{AckEndSeq: 3}, FromMember{RunsComplete: true, ReportSeq: 7, Worker: &Worker{ID: "i-1", Gone: true}}
		for i := range rng.IntN(3000) {
			task, text := fmt.Sprint("job.0.0.", i), strings.Repeat("x", rng.IntN(200)*rng.IntN(200))
			command.Starts = append(command.Starts, Start{Task: task, Payload: text})
			command.Stops = append(command.Stops, Stop{Task: task})
			report.Ends = append(report.Ends, RunEnd{Task: task, Checkpoint: text})
			report.Runs = append(report.Runs, Run{Task: task, Checkpoint: text})
		}
		var sent ToMember
		for i, part := range command.Parts() {
			qt.Assert(t, part.Msgsize() < 2*MaxPartBytes, qt.IsTrue)
			qt.Assert(t, part.AckEndSeq != 0, qt.Equals, i == 0)
			sent.Starts, sent.Stops = append(sent.Starts, part.Starts...), append(sent.Stops, part.Stops...)
		}
		qt.Assert(t, sent.Starts, qt.DeepEquals, command.Starts)
		qt.Assert(t, sent.Stops, qt.DeepEquals, command.Stops)
		var ends []RunEnd
		var list RunList
		for i, parts := 0, report.Parts(true); i < len(parts); i++ {
			qt.Assert(t, parts[i].Msgsize() < 2*MaxPartBytes, qt.IsTrue)
			ends = append(ends, parts[i].Ends...)
			runs, complete := list.Join(&parts[i])
			qt.Assert(t, complete, qt.Equals, i == len(parts)-1)
			qt.Assert(t, parts[i].Worker != nil && parts[i].ReportSeq == 7, qt.Equals, complete)
			if complete {
				qt.Assert(t, runs, qt.DeepEquals, report.Runs)
			}
		}
		qt.Assert(t, ends, qt.DeepEquals, report.Ends)
		whole := report.Parts(false)
		qt.Assert(t, whole[len(whole)-1].Runs, qt.DeepEquals, report.Runs)
	}
}

// Guards against a list of runs of which a part is missing and that is taken for complete.
func TestListWithAMissingPartIsDiscarded(t *testing.T) {
	report := FromMember{RunsComplete: true}
	for i := range 10_000 {
		report.Runs = append(report.Runs, Run{Task: fmt.Sprint("job.0.0.", i), Run: 1})
	}
	parts := report.Parts(true)
	qt.Assert(t, len(parts) > 3, qt.IsTrue)
	for missing := range parts[:len(parts)-1] {
		var list RunList
		for i := range parts {
			if i != missing {
				_, complete := list.Join(&parts[i])
				qt.Assert(t, complete, qt.IsFalse)
			}
		}
	}
}

// Guards against a connection that breaks, again and again, because of one message that the peer refuses for its size.
func TestOversizedMessageDoesNotEndTheConnection(t *testing.T) {
	x, y := net.Pipe()
	sender, receiver := New[FromMember, ToMember](x), New[ToMember, FromMember](y)
	defer sender.Close()
	defer receiver.Close()
	sender.Send(FromMember{Ends: []RunEnd{{Checkpoint: strings.Repeat("x", maxFrameBytes)}}})
	sender.Send(FromMember{ReportSeq: 5})
	got, err := receiver.Receive()
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, got.ReportSeq, qt.Equals, int64(5))
	qt.Check(t, sender.OversizedCount(), qt.Equals, int64(1))
}
