package jobowner

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"bamboofork/internal/boottime"
	"bamboofork/internal/caslog"
	"bamboofork/internal/election"
	"bamboofork/internal/invariant"
	"bamboofork/internal/jobs"
	"bamboofork/internal/session"
	"bamboofork/internal/store/memstore"
)

var nested = strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000)

// oddAnnouncements are values that another writer may leave at the key of an announcement of host-1.
func oddAnnouncements() []string {
	odd := []string{"", "null", "7", "[]", "\xff\xfe\x00", nested, `{"a":` + nested + `}`, strings.Repeat("x", 1<<16)}
	for _, member := range []string{
		`"addr":"10.0.0.1:99999999"`, `"addr":"10.0.0.1:0"`, `"addr":"10.0.0.1"`, `"addr":""`, `"addr":8080`, `"addr":"host:7000"`, `"name":"host-2"`, `"name":""`, `"name":{}`,
		`"ended_lifetime":9223372036854775807`, `"ended_lifetime":1e300`, `"ended_lifetime":-1`, `"max_hold_beside_owner_ms":-5`, `"memory_mb":-1`, `"memory_mb":9223372036854775807`, `"agent":"yes"`,
	} {
		odd = append(odd, `{"name":"host-1","addr":"10.0.0.1:7000","agent":true,`+member+`}`)
	}
	return odd
}

// Guards against an owner that ends, or does not follow the other members any more, because of an odd announcement of another writer; and against
// one that logs it with each listing.
func TestOddAnnouncementCostsOnlyItself(t *testing.T) {
	st := memstore.New()
	o := newTestOwner(t, st)
	var log bytes.Buffer
	o.cfg.Log = zerolog.New(zerolog.SyncWriter(&log))
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	revision := map[string]int64{}
	put := func(key, value string) {
		res, err := st.CompareAndSwap(ctx, key, revision[key], []byte(value), 0)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, res.Swapped, qt.IsTrue)
		revision[key] = res.Current.ModRevision
	}
	list := func() {
		_, err := o.listMembers(ctx, &wg)
		qt.Assert(t, err, qt.IsNil)
	}
	good := `{"name":"%s","addr":"127.0.0.1:1","agent":true}`
	put(MemberPrefix+"host-0", fmt.Sprintf(good, "host-0"))
	put(MemberPrefix+"host-9", fmt.Sprintf(good, "host-9"))
	for _, odd := range oddAnnouncements() {
		put(MemberPrefix+"host-1", odd)
		list()
		qt.Check(t, o.members, qt.HasLen, 2, qt.Commentf("%.100s", odd))
	}
	qt.Check(t, o.departures, qt.HasLen, 0)
	put(MemberPrefix+"host-1", fmt.Sprintf(good, "host-1"))
	for range 5 { // back and forth
		list()
		qt.Check(t, o.members, qt.HasLen, 3)
		put(MemberPrefix+"host-1", "7")
		list()
		qt.Check(t, o.members["host-1"].Addr, qt.Equals, "127.0.0.1:1")
		put(MemberPrefix+"host-1", fmt.Sprintf(good, "host-1"))
	}
	cancel()
	wg.Wait() // the connections write to the log, too
	qt.Check(t, strings.Count(log.String(), "member_unreadable"), qt.Equals, 1)
	qt.Check(t, o.cfg.Metrics.Counter("owner_members_unreadable").Count(), qt.Equals, int64(len(oddAnnouncements())+5))
}

// Guards against runs that are ended because an entry in the store names their lifetime as over, although the agent of the worker lists them.
func TestAgentRefutesAnOddDeparture(t *testing.T) {
	o, member := ownerWithLastingRun(t, 0)
	member.worker, member.runsListed = &session.Worker{ID: "i-1", Lifetime: 7}, true
	o.noteDeparture("host-1", time.Now().UnixMilli())
	left := o.departures["host-1"]
	left.learned -= departureReportTimeout
	o.departures["host-1"] = left
	qt.Check(t, checkTimeoutsNow(o), qt.IsFalse)
	member.runsListed = false
	qt.Check(t, checkTimeoutsNow(o), qt.IsTrue)
}

// Guards against owners that cannot recover the jobs, each in turn, because another writer has filled a position of the log, and against one that
// repeats its record at that position for ever.
func TestPositionsOfAnotherWriterAreSkipped(t *testing.T) {
	for _, odd := range []string{"", "7", nested, `{"seq":1e300}`, `{"seq":9223372036854775807,"epoch":9223372036854775807}`, `{"seq":%d,"epoch":9223372036854775807}`,
		`{"seq":%d,"epoch":0,"data":"x"}`, `{"seq":%d,"epoch":1,"data":[{"j":7}]}`, `{"seq":%d,"epoch":1,"data":[{"sub":{"id":"b","sp":{"st":[{"n":9223372036854775807}]}}}]}`,
		`{"seq":%d,"epoch":1,"data":[{"j":"aaaaaaaaaaaaaaaa","pl":{"k":-1,"s":-9223372036854775808,"r":1}}]}`} {
		st := memstore.New()
		o := newTestOwner(t, st)
		o.apply(submitChange("aaaaaaaaaaaaaaaa"))
		mustCommit(t, o)
		position := o.lastRecordSeq + 1
		value := odd
		if strings.Contains(odd, "%d") {
			value = fmt.Sprintf(odd, position)
		}
		_, err := st.CompareAndSwap(t.Context(), fmt.Sprintf("jobs/log/%016d", position), 0, []byte(value), 0)
		qt.Assert(t, err, qt.IsNil)
		o.apply(submitChange("bbbbbbbbbbbbbbbb"))
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		_, err = o.commit(ctx)
		cancel()
		qt.Check(t, err, qt.ErrorIs, caslog.ErrConflict, qt.Commentf("%.100s", odd))
		successor := replaceOwner(t, st)
		qt.Check(t, successor.jobsState.Jobs, qt.HasLen, 1)
		successor.apply(submitChange("cccccccccccccccc"))
		mustCommit(t, successor)
	}
}

// Guards against a system without an owner because the owner's key holds something else, which has no lease and would stay for ever; and against
// an owner that ends its term because of it.
func TestOddOwnerKeyIsReplaced(t *testing.T) {
	for _, odd := range []string{"", "7", nested, `{"name":1}`, `{"name":"x","addr":"10.0.0.1:99999","incarnation":"y"}`, `{"name":"x","addr":"127.0.0.1:7000","incarnation":"y"}`} {
		st := memstore.New()
		o := newTestOwner(t, st)
		kv, err := st.Get(t.Context(), "owner")
		qt.Assert(t, err, qt.IsNil)
		_, err = st.CompareAndSwap(t.Context(), "owner", kv.ModRevision, []byte(odd), 0)
		qt.Assert(t, err, qt.IsNil)
		found, _, err := election.NewKey(st, "owner", boottime.Now).Read(t.Context())
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, found.NamesProcess(), qt.IsFalse, qt.Commentf("%.100s", odd))
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		qt.Check(t, o.ownership.KeepAlive(ctx), qt.IsNil)
		cancel()
		qt.Check(t, o.ownership.CheckHeld(t.Context()), qt.IsNil)
	}
}

func FuzzMember(f *testing.F) {
	for _, odd := range oddAnnouncements() {
		f.Add([]byte(odd))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		now := time.Now()
		announced, err := decodeMember(MemberPrefix+"host-1", value, now)
		if err == nil && (announced.Name != "host-1" || announced.EndedLifetime < 0 || announced.EndedLifetime > now.Add(session.MaxLifetimeAhead).UnixMilli() ||
			announced.MaxHoldBesideOwnerMs < 0) {
			t.Errorf("%+v", announced)
		}
		Member{Name: "host-1"}.Replacing(value)
	})
}

func FuzzRecord(f *testing.F) {
	for _, change := range []string{`{"sub":{"id":"a","sp":{"st":[{"n":2}]}}}`, `{"sub":{"id":"a","sp":{"st":[{"n":9223372036854775807},{"n":9223372036854775807}]}}}`,
		`{"j":"a","pl":{"k":0,"s":0,"i":1,"r":1,"w":"host-1","l":7}}`, `{"j":"a","pl":{"k":-1,"r":1}}`, `{"j":"a","end":{"i":-5,"r":1,"h":"done"}}`,
		`{"sil":{"a":"x","e":1e3,"n":-1}}`, `{"tm":{"e":-1}}`, `{"hd":{}}`, `{"fg":{},"j":"a"}`} {
		f.Add([]byte("[" + change + "]"))
	}
	invariant.SetHandler(func(v invariant.Violation) { panic(v) })
	f.Fuzz(func(t *testing.T, data []byte) {
		changes, err := decodeRecord(caslog.Record{Seq: 1, Data: json.RawMessage(data)})
		if err != nil {
			return
		}
		state := jobs.NewState()
		defer func() {
			if reason := recover(); reason != nil {
				if _, isViolation := reason.(invariant.Violation); !isViolation {
					t.Error(reason)
				}
			}
		}()
		for _, change := range changes {
			state.Apply(change)
		}
		if _, err := state.Encode(); err != nil {
			t.Error(err)
		}
	})
}
