package dev_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/faultnet"
)

// Guards against wrong outcomes on the request path. The cases are repeated keys, invalid input, and connections that are reset,
// stop responding or are slow. All cases share one fleet, because starting a fleet takes seconds.
func TestRequestPath(t *testing.T) {
	f := startSmallFleet(t)
	defer func() { qt.Check(t, f.Stop(), qt.IsNil) }()
	url := f.EntryURL(0)

	t.Run("key with another body", func(t *testing.T) {
		qt.Assert(t, post(url+orderPath, "k1", "one").outcome, qt.Equals, "done")
		checkProblem(t, post(f.EntryURL(1)+orderPath, "k1", "two"), 422, "not_run")
		again := post(f.EntryURL(1)+orderPath, "k1", "one")
		qt.Check(t, again.header.Get("Bf-Replayed"), qt.Equals, "true")
		qt.Check(t, runsOfKey(f, "k1"), qt.Equals, 1)
	})
	t.Run("bad input", func(t *testing.T) {
		checkProblem(t, post(url+"/v1/run/nowhere/-/x", "", ""), 404, "not_run")
		checkProblem(t, post(url+"/nowhere", "", ""), 404, "not_run")
		checkProblem(t, post(url+orderPath, "", "no key"), 400, "not_run")
		checkProblem(t, post(url+orderPath, strings.Repeat("k", 256), "long key"), 400, "not_run")
		checkProblem(t, post(url+scanPath, "", strings.Repeat("x", 1<<20+1)), 413, "not_run")
		checkProblem(t, call("POST", url+orderPath, "k2", io.MultiReader(strings.NewReader(strings.Repeat("x", 1<<20+1)))), 413, "not_run")
		checkProblem(t, post(url+"/v1/jobs", "", "{"), 400, "not_run")
		checkProblem(t, post(url+"/v1/jobs", "", strings.Repeat(" ", 256<<10)+"{}"), 413, "not_run")
		checkProblem(t, call("PATCH", url+"/v1/jobs", "", nil), 405, "not_run")
		qt.Check(t, post(url+scanPath, "", strings.Repeat("x", 1<<19)).outcome, qt.Equals, "done") // streamed
	})
	t.Run("garbage on the ports", func(t *testing.T) {
		h := f.Agent(0).Config
		for _, addr := range []string{h.Listen.Control, h.Listen.Data, strings.TrimPrefix(url, "http://")} {
			conn, err := net.Dial("tcp", addr)
			qt.Assert(t, err, qt.IsNil)
			_, err = io.WriteString(conn, "\x16\x03\x01 not a request \xff\r\n\r\n")
			qt.Assert(t, err, qt.IsNil)
			conn.Close()
		}
		qt.Check(t, post(url+scanPath, "", "after").outcome, qt.Equals, "done")
	})
	t.Run("truncated response over HTTP/1.1", func(t *testing.T) {
		resp, err := http.Get(url + watchPath)
		qt.Assert(t, err, qt.IsNil)
		defer resp.Body.Close()
		lines := bufio.NewReader(resp.Body)
		_, err = lines.ReadString('\n')
		qt.Assert(t, err, qt.IsNil)
		for i := range f.Profile.Agents {
			f.Agent(i).Relays.Data.Reset()
		}
		for err == nil {
			_, err = lines.ReadString('\n')
		}
		qt.Check(t, err, qt.Not(qt.Equals), io.EOF)
	})
	for name, directions := range map[string][]faultnet.Direction{
		"requests": {faultnet.ToServer}, "answers": {faultnet.ToClient}, "both": {faultnet.ToServer, faultnet.ToClient},
	} {
		t.Run("unresponsive connections, "+name, func(t *testing.T) {
			qt.Assert(t, post(url+scanPath, "", "before").outcome, qt.Equals, "done")
			for i := range f.Profile.Agents {
				f.Agent(i).Relays.Data.Blackhole(directions...)
			}
			keyed := make(chan response, 1)
			go func() { keyed <- post(url+orderPath, "silent-"+name, "order") }()
			startedAt := time.Now()
			resp := post(url+scanPath, "", "during")
			t.Logf("response after %s", time.Since(startedAt))
			qt.Check(t, resp.outcome, qt.Equals, "done", qt.Commentf("%d %v %s", resp.status, resp.err, resp.body))
			keyedResp := <-keyed
			qt.Check(t, keyedResp.outcome, qt.Equals, "done", qt.Commentf("%s", keyedResp.body))
			qt.Check(t, runsOfKey(f, "silent-"+name), qt.Equals, 1)
		})
	}
	for name, directions := range map[string][]faultnet.Direction{
		"requests": {faultnet.ToServer}, "answers": {faultnet.ToClient},
	} {
		t.Run("lost connections to the owners, "+name, func(t *testing.T) {
			for i := range 24 { // more keys than partitions, so that the connection to each owner is open
				qt.Assert(t, post(url+orderPath, fmt.Sprintf("open-%s-%d", name, i), "order").outcome, qt.Equals, "done")
			}
			for i := range f.Profile.Agents {
				f.Agent(i).Relays.Control.Blackhole(directions...)
			}
			key := "owner-lost-" + name
			resp := post(url+orderPath, key, "order")
			qt.Check(t, resp.outcome, qt.Equals, "done", qt.Commentf("%d %v %s", resp.status, resp.err, resp.body))
			qt.Check(t, runsOfKey(f, key), qt.Equals, 1)
		})
	}
	t.Run("slow and lossy links", func(t *testing.T) {
		for i := range f.Profile.Agents {
			for _, l := range f.Agent(i).Relays.All() {
				l.SetFaults(faultnet.Faults{Delay: 4 * time.Millisecond, Jitter: 4 * time.Millisecond, LossRate: 0.05})
			}
		}
		for i := range 20 {
			qt.Check(t, post(f.EntryURL(i%2)+scanPath, "", "slow").outcome, qt.Equals, "done")
		}
	})
}
