package session

import (
	"encoding/json"
	"testing"
)

// FuzzFrame decodes frames as an agent, an entry and an owner do. Neither may end a process.
func FuzzFrame(f *testing.F) {
	command := ToMember{Epoch: 5, Starts: []Start{{Task: "j.0.0.0", Run: 1, Payload: "x"}}, Silences: []Silence{{Number: 1}}, Departures: []Departure{{Agent: "host-1", Lifetime: 7}}}
	report := FromMember{RunsComplete: true, Runs: []Run{{Task: "j.0.0.0"}}, Ends: []RunEnd{{Seq: 3}}, Previous: &PreviousOwner{Epoch: 4}, Requests: []Request{{Verb: VerbGet}}}
	for _, message := range []interface {
		MarshalMsg([]byte) ([]byte, error)
	}{&command, &report} {
		encoded, err := message.MarshalMsg(nil)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
		if encoded, err = json.Marshal(message); err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	f.Fuzz(func(_ *testing.T, body []byte) {
		var command ToMember
		if decode(body, &command) == nil {
			command.Parts()
		}
		var report FromMember
		if decode(body, &report) == nil {
			report.Parts(true)
			var list RunList
			list.Join(&report)
		}
	})
}
