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

// budgetMB and budgetCores are the memory and CPU limits of the control software on one node (docs/design.md section 1).
const (
	budgetMB    = 128
	budgetCores = 0.02
)

// TestFootprint measures the idle memory and the idle CPU use of agents and entries as fractions of their limits. It also measures
// the start time of an agent. Run it with:
// go test ./internal/e2e -run Footprint -footprint -v
func TestFootprint(t *testing.T) {
	if !*footprintFlag {
		t.Skip("a measurement; run it with -footprint")
	}
	f := startFleet(t)
	time.Sleep(3 * time.Second)
	const idleDuration = 10 * time.Second
	nodes := append(append([]*process{}, f.agents...), f.entries...)
	cpuSecondsBefore := map[*process]float64{}
	for _, p := range nodes {
		cpuSecondsBefore[p] = cpuSeconds(t, p)
	}
	time.Sleep(idleDuration)
	for _, p := range nodes {
		cores := (cpuSeconds(t, p) - cpuSecondsBefore[p]) / idleDuration.Seconds()
		mb := float64(statusKB(t, p, "VmRSS")) / 1024
		t.Logf("%-9s idle memory %.2f of the budget (%.0f MB), idle CPU %.2f of the budget (%.4f core)",
			p.name, mb/budgetMB, mb, cores/budgetCores, cores)
	}
	versionDuration := shortestOf(5, func() time.Duration { return f.timeRun("bf-agent", "--version") })
	startDuration := shortestOf(3, f.timeAgentStart)
	t.Logf("start of an agent until it responds to /healthz: %.1f times the run time of bf-agent --version",
		startDuration.Seconds()/versionDuration.Seconds())
}

// shortestOf measures n times and returns the shortest duration.
func shortestOf(n int, measure func() time.Duration) time.Duration {
	shortest := time.Hour
	for range n {
		shortest = min(shortest, measure())
	}
	return shortest
}

// timeRun runs a program and returns the time until the program has exited.
func (f *fleet) timeRun(program string, args ...string) time.Duration {
	startedAt := time.Now()
	err := exec.Command(filepath.Join(f.programDir, program), args...).Run()
	qt.Assert(f.t, err, qt.IsNil)
	return time.Since(startedAt)
}

// timeAgentStart starts another agent and returns the time until it responds to /healthz.
func (f *fleet) timeAgentStart() time.Duration {
	operatorAddr := f.freeAddr()
	id := "extra-" + strconv.FormatInt(time.Now().UnixNano(), 36)
	configLines := append(f.commonConfig(id, 0, f.freeAddr(), []string{"127.0.0.1:1"}), "  data: "+f.freeAddr(), "  operator: "+operatorAddr,
		"backend:", "  name: extra", "  addr: "+f.runnerAddrs[0], "  slots: 8", "  conns: 64",
		"worker:", "  url: http://"+f.workerAddrs[0], "  reserve: {cores: 2, memory_mb: 4000}")
	configPath := f.writeConfig(id, configLines...)
	startedAt := time.Now()
	f.startProgram("bf-agent", "--config", configPath)
	for {
		resp, err := http.Get("http://" + operatorAddr + "/healthz")
		if err == nil {
			resp.Body.Close()
			return time.Since(startedAt)
		}
		time.Sleep(time.Millisecond)
	}
}

// statusKB returns the value in kB of a field of /proc/PID/status.
func statusKB(t *testing.T, p *process, field string) int64 {
	statusText, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	qt.Assert(t, err, qt.IsNil)
	for _, line := range strings.Split(string(statusText), "\n") {
		if name, value, ok := strings.Cut(line, ":"); ok && name == field {
			kb, err := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			qt.Assert(t, err, qt.IsNil)
			return kb
		}
	}
	t.Fatalf("no field %s in /proc/PID/status", field)
	return 0
}

// clockTicksPerSecond is USER_HZ, the number of clock ticks per second in the CPU times of /proc/PID/stat. USER_HZ is 100 on Linux.
const clockTicksPerSecond = 100

// cpuSeconds returns the CPU time in seconds that the process has used in user and kernel mode.
func cpuSeconds(t *testing.T, p *process) float64 {
	statText, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	qt.Assert(t, err, qt.IsNil)
	fields := strings.Fields(string(statText[strings.LastIndexByte(string(statText), ')')+1:]))
	userTicks, err := strconv.ParseFloat(fields[11], 64)
	qt.Assert(t, err, qt.IsNil)
	systemTicks, err := strconv.ParseFloat(fields[12], 64)
	qt.Assert(t, err, qt.IsNil)
	return (userTicks + systemTicks) / clockTicksPerSecond
}
