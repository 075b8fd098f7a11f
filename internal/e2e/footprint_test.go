package e2e_test

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var footprintFlag = flag.Bool("footprint", false, "measure start time, idle memory and idle CPU of the programs")

// budgetMB and budgetCore are the resource limits of the control software on one node (docs/design.md section 1).
const (
	budgetMB   = 128
	budgetCore = 0.02
)

// TestFootprint measures the idle memory and CPU of each program relative to the budget, and the start time of an agent:
// go test ./internal/e2e -run Footprint -footprint -v
func TestFootprint(t *testing.T) {
	if !*footprintFlag {
		t.Skip("a measurement; run it with -footprint")
	}
	f := startFleet(t)
	time.Sleep(3 * time.Second)
	const idle = 10 * time.Second
	nodes := append(append([]*process{}, f.agents...), f.entries...)
	before := map[*process]float64{}
	for _, p := range nodes {
		before[p] = cpuSeconds(t, p)
	}
	time.Sleep(idle)
	for _, p := range nodes {
		core := (cpuSeconds(t, p) - before[p]) / idle.Seconds()
		mb := float64(statusKB(t, p, "VmRSS")) / 1024
		t.Logf("%-9s idle memory %.2f of the budget (%.0f MB), idle CPU %.2f of the budget (%.4f core)", p.name, mb/budgetMB, mb, core/budgetCore, core)
	}
	version := fastest(5, func() time.Duration { return f.timeRun("bf-agent", "--version") })
	started := fastest(3, f.timeAgentStart)
	t.Logf("start of an agent until it responds to /healthz: %.1f times the run time of bf-agent --version", started.Seconds()/version.Seconds())
}

func fastest(n int, measure func() time.Duration) time.Duration {
	best := time.Hour
	for range n {
		best = min(best, measure())
	}
	return best
}

func (f *fleet) timeRun(program string, args ...string) time.Duration {
	started := time.Now()
	err := exec.Command(filepath.Join(f.bin, program), args...).Run()
	qt.Assert(f.t, err, qt.IsNil)
	return time.Since(started)
}

// timeAgentStart starts another agent and returns the time until it responds to /healthz.
func (f *fleet) timeAgentStart() time.Duration {
	operator := f.freeAddr()
	id := "extra-" + strconv.FormatInt(time.Now().UnixNano(), 36)
	lines := append(f.commonConfig(id, 0, f.freeAddr(), []string{"127.0.0.1:1"}), "  data: "+f.freeAddr(), "  operator: "+operator,
		"backend:", "  name: extra", "  addr: "+f.runnerAddrs[0], "  slots: 8", "  conns: 64",
		"worker:", "  url: http://"+f.workerAddrs[0], "  reserve: {cores: 2, memory_mb: 4000}")
	file := f.writeConfig(id, lines...)
	started := time.Now()
	f.startProgram("bf-agent", "--config", file)
	for {
		resp, err := http.Get("http://" + operator + "/healthz")
		if err == nil {
			resp.Body.Close()
			return time.Since(started)
		}
		time.Sleep(time.Millisecond)
	}
}

func statusKB(t *testing.T, p *process, field string) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	qt.Assert(t, err, qt.IsNil)
	for _, line := range strings.Split(string(data), "\n") {
		if name, value, ok := strings.Cut(line, ":"); ok && name == field {
			kb, err := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			qt.Assert(t, err, qt.IsNil)
			return kb
		}
	}
	t.Fatalf("no field %s in /proc/PID/status", field)
	return 0
}

// clockTicksPerSecond is USER_HZ, the unit of the CPU times in /proc/PID/stat. It is 100 on Linux.
const clockTicksPerSecond = 100

func cpuSeconds(t *testing.T, p *process) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	qt.Assert(t, err, qt.IsNil)
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	user, err := strconv.ParseFloat(fields[11], 64)
	qt.Assert(t, err, qt.IsNil)
	system, err := strconv.ParseFloat(fields[12], 64)
	qt.Assert(t, err, qt.IsNil)
	return (user + system) / clockTicksPerSecond
}
