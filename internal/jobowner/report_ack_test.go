package jobowner

import (
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/session"
)

// Guards against a task that runs twice: an agent restarts soon after its start, and the owner confirms the first report of the earlier
// process to the new one, whose first report has the same number and has not arrived. The hold is then longer than the owner knows.
func TestReportsOfAnEarlierConnectionAreNotConfirmed(t *testing.T) {
	o, member := ownerWithLastingRun(t, 0)
	report := &session.FromMember{ReportSeq: 1, RunsComplete: true, Runs: []session.Run{{Task: lastingTask, Run: 1, Started: true}}}
	o.handleMessage(member, report)
	mustCommit(t, o)
	qt.Assert(t, member.lastReportSeq, qt.Equals, int64(1))

	ownerEnd, agentEnd := net.Pipe()
	owner, agent := session.New[session.ToMember, session.FromMember](ownerEnd), session.New[session.FromMember, session.ToMember](agentEnd)
	defer agent.Close()
	served := make(chan struct{})
	go func() {
		o.serveMember(t.Context(), member, owner)
		close(served)
	}()
	nextAck := func() int64 {
		message, err := agent.Receive()
		qt.Assert(t, err, qt.IsNil)
		return message.AckReportSeq
	}
	qt.Check(t, nextAck(), qt.Equals, int64(0))
	o.mu.Lock()
	o.sendCommands(member, true)
	o.mu.Unlock()
	qt.Check(t, nextAck(), qt.Equals, int64(0))
	agent.Send(*report)
	qt.Check(t, nextAck(), qt.Equals, int64(1), qt.Commentf("the first list on a connection is confirmed at once"))
	agent.Close()
	<-served
}
