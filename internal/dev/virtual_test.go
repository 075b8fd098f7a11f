package dev_test

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/dev"
	"bamboofork/internal/entry"
	"bamboofork/internal/network/memnet"
)

const (
	fleetMachine = "127.0.0.1"          // from which all connections of a fleet come
	maxLinkDelay = 5 * time.Millisecond // in addition to the delay of the network in memory
)

// startVirtualFleet starts a small fleet over a network in memory with random delays and returns a client of its entries. The caller
// runs in a bubble of testing/synctest.
func startVirtualFleet(t *testing.T, rng *rand.Rand, agents int) (*dev.Fleet, *http.Client) {
	n := memnet.New()
	fleetNet := n.Process(fleetMachine)
	p := smallProfile(t)
	p.Network, p.Agents = fleetNet, agents
	f := startReadyFleet(t, p)
	randomDelay := func() memnet.LinkFaults {
		return memnet.LinkFaults{Delay: time.Duration(rng.Int64N(int64(maxLinkDelay)))}
	}
	for _, id := range append(f.AgentIDs(), f.EntryIDs()...) {
		l := f.Host(id).Config.Listen
		for _, addr := range []string{l.Control, l.Data, l.Callers} {
			if addr != "" {
				n.SetLink(fleetMachine, memnet.MachineOf(addr), randomDelay())
				n.SetLink(memnet.MachineOf(addr), fleetMachine, randomDelay())
			}
		}
	}
	dial := func(ctx context.Context, _, addr string) (net.Conn, error) { return fleetNet.Dial(ctx, addr) }
	return f, &http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 16}}
}

// stopVirtualFleet stops the fleet and waits until the ends of its connections have arrived.
func stopVirtualFleet(t *testing.T, f *dev.Fleet, client *http.Client) {
	client.CloseIdleConnections()
	qt.Check(t, f.Stop(), qt.IsNil)
	time.Sleep(time.Second)
}

// Guards against an entry that reports that it is ready before it has the settings. It would refuse every branch as unknown.
func TestRestartedEntryIsReadyWithItsSettings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, client := startVirtualFleet(t, rand.New(rand.NewPCG(1, 10)), 3)
		defer stopVirtualFleet(t, f, client)
		id := f.EntryIDs()[0]
		qt.Assert(t, f.EndProcess(id, dev.EndGracefully), qt.IsNil)
		qt.Assert(t, f.StartProcess(id), qt.IsNil)
		for callWith(client, http.MethodGet, f.EntryURL(0)+"/readyz", "", nil).status != http.StatusOK {
			time.Sleep(time.Millisecond)
		}
		resp := callWith(client, http.MethodPost, f.EntryURL(0)+scanPath, "", bytes.NewReader([]byte("x")))
		qt.Check(t, resp.outcome, qt.Equals, "done", qt.Commentf("%d %v %s", resp.status, resp.err, resp.body))
	})
}

// Guards against an entry without settings that refuses requests for good, as if their branches did not exist.
func TestEntryWithoutSettingsAsksCallersToRepeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, client := startVirtualFleet(t, rand.New(rand.NewPCG(1, 10)), 3)
		defer stopVirtualFleet(t, f, client)
		id := f.EntryIDs()[0]
		qt.Assert(t, f.EndProcess(id, dev.EndGracefully), qt.IsNil)
		qt.Assert(t, f.StartProcess(id), qt.IsNil)
		job := []byte(`{"branch":"workshop/moulding-plans","tasks":1,"need":{"cores":1},"run_ms":10}`)
		early := make(chan response, 2)
		for path, body := range map[string][]byte{scanPath: []byte("x"), entry.PathJobs: job} {
			go func() {
				early <- callWith(client, http.MethodPost, f.EntryURL(0)+path, "early", bytes.NewReader(body))
			}()
		}
		for range cap(early) {
			resp := <-early
			checkProblem(t, resp, http.StatusServiceUnavailable, "not_run")
			qt.Check(t, resp.header.Get("Retry-After"), qt.Not(qt.Equals), "")
		}
	})
}
