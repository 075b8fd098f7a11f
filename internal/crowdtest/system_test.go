// Package crowdtest_test starts an entry and an agent as separate processes and connects clients to them that nobody controls. Each test
// checks that the process lives, that its memory and its open descriptors stay within the limits of its settings, and that an ordinary
// caller is answered afterwards. The tests check no times and no shares of served requests; timeouts only end a test that hangs.
package crowdtest_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/app"
	"bamboofork/platform/standin"
)

const (
	hangTimeout    = 90 * time.Second // ends a test that hangs
	sampleInterval = 20 * time.Millisecond
	// reservedFiles is the number of descriptors that the platform reserves for files. Sockets have the rest.
	reservedFiles = 200
)

// limits are the limits of a process in its settings.
type limits struct {
	memoryMB int
	maxFDs   int
}

// proc is a program that runs as a separate process. mu guards the fields below it.
type proc struct {
	name   string
	ip     string
	limits limits
	cmd    *exec.Cmd
	exited chan struct{}

	mu          sync.Mutex
	log         bytes.Buffer
	peakBytes   int64 // of the resident memory and the received bytes that are not read yet
	peakSockets int   // open descriptors
}

// Write appends to the program's log.
func (p *proc) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

// system is an entry, an agent with a worker, and the simulated platform.
type system struct {
	t      *testing.T
	front  *proc
	host   *proc
	client *http.Client
	// startHost starts the agent, which owns the jobs.
	startHost func() *proc
}

var buildPrograms = sync.OnceValues(standin.BuildPrograms)

// TestMain removes the compiled programs at the end.
func TestMain(m *testing.M) {
	code := m.Run()
	if !testing.Short() { // nothing was compiled
		if dir, err := buildPrograms(); err == nil {
			os.RemoveAll(dir)
		}
	}
	os.Exit(code)
}

// newSystem starts the programs with their limits. It returns when an ordinary job has been accepted.
func newSystem(t *testing.T, front, host limits) *system {
	if testing.Short() {
		t.Skip("starts separate processes")
	}
	programDir, err := buildPrograms()
	qt.Assert(t, err, qt.IsNil)
	store := standin.NewStore(1)
	store.PutManifest()
	checker := standin.NewRunChecker()
	worker := standin.NewWorker("host", 16_000, checker, 1, func(string) (time.Duration, standin.Need) {
		return 20 * time.Millisecond, standin.Need{CPU: 1000}
	})
	workerAddr := serve(t, worker)
	s := &system{t: t, client: &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	hostStore := serve(t, store.NewEndpoint())
	s.startHost = func() *proc { return startProgram(t, programDir, "bf-host", 1, host, hostStore, workerAddr) }
	s.host = s.startHost()
	s.front = startProgram(t, programDir, "bf-front", 2, front, serve(t, store.NewEndpoint()), "")
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	registrar := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{}}
	registrations := s.host.ip + ":7004" // also of the processes that replace this one
	go app.Every(ctx, 300*time.Millisecond, func() { worker.Register(registrar, registrations, workerAddr) })
	s.checkOrdinaryCaller("c0")
	return s
}

// startProgram starts a program at a loopback address of its own.
func startProgram(t *testing.T, programDir, program string, index int, limits limits, storeAddr, workerAddr string) *proc {
	p := &proc{name: program, limits: limits, exited: make(chan struct{}),
		ip: fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%200, os.Getpid()/200%250, index)}
	settings, err := json.Marshal(map[string]any{ // JSON is YAML
		"name": program, "memory_mb": limits.memoryMB, "max_fds": limits.maxFDs, "worker": workerAddr, "store": storeAddr,
		"listen": map[string]string{"peers": p.ip + ":7001", "callers": p.ip + ":7002", "readiness": p.ip + ":7003",
			"registrations": p.ip + ":7004", "metrics": p.ip},
		"bounds": map[string]int{"max_hold_ms": 10_000, "stop_timeout_ms": 200, "grace_s": 6, "status_s": 120},
	})
	qt.Assert(t, err, qt.IsNil)
	settingsPath := filepath.Join(t.TempDir(), program+".yaml")
	qt.Assert(t, os.WriteFile(settingsPath, settings, 0o600), qt.IsNil)
	p.cmd = exec.Command(filepath.Join(programDir, program), "--config", settingsPath)
	p.cmd.Stdout, p.cmd.Stderr = p, p
	qt.Assert(t, p.cmd.Start(), qt.IsNil)
	go func() {
		_ = p.cmd.Wait() // checkLimits reports an exit
		close(p.exited)
	}()
	ctx, stopSampling := context.WithCancel(context.Background())
	go app.Every(ctx, sampleInterval, p.sample)
	t.Cleanup(func() {
		stopSampling()
		_ = p.cmd.Process.Kill() // fails only if the process has exited
		<-p.exited
		if t.Failed() {
			p.mu.Lock()
			t.Logf("last lines of %s: %s", p.name, p.log.Bytes()[max(0, p.log.Len()-2000):])
			p.mu.Unlock()
		}
	})
	return p
}

// sample records the memory and the descriptors that the process uses at the moment.
func (p *proc) sample() {
	dir := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	status, err := os.ReadFile(dir + "status")
	if err != nil {
		return // the process has exited
	}
	descriptors, err := os.ReadDir(dir + "fd")
	if err != nil {
		return
	}
	unread := p.unreadBytes()
	p.mu.Lock()
	defer p.mu.Unlock()
	// The kernel keeps the peak of the resident memory itself.
	p.peakBytes = max(p.peakBytes, statusBytes(status, "VmRSS:")+unread, statusBytes(status, "VmHWM:"))
	p.peakSockets = max(p.peakSockets, len(descriptors))
}

// statusBytes returns a size of /proc/PID/status in bytes, or 0 if the process has no memory any more.
func statusBytes(status []byte, name string) int64 {
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == name {
			kb, _ := strconv.ParseInt(fields[1], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// unreadBytes returns the number of bytes that the kernel has received for the process and that the process has not read. They count as
// its memory on the platform.
func (p *proc) unreadBytes() int64 {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	ip := net.ParseIP(p.ip).To4()
	local := fmt.Sprintf("%02X%02X%02X%02X:", ip[3], ip[2], ip[1], ip[0])
	const established = "01"
	sum := int64(0)
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || !strings.HasPrefix(fields[1], local) || fields[3] != established {
			continue
		}
		if _, received, ok := strings.Cut(fields[4], ":"); ok {
			n, _ := strconv.ParseInt(received, 16, 64)
			sum += n
		}
	}
	return sum
}

// checkLimits checks that the process lives and has stayed within its limits.
func (s *system) checkLimits(p *proc) {
	p.sample()
	select {
	case <-p.exited:
		s.t.Errorf("%s has ended: %v", p.name, p.cmd.ProcessState)
	default:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	maxSockets := p.limits.maxFDs - reservedFiles
	s.t.Logf("%s: peak memory %.1f MB of %d MB, peak descriptors %d of %d", p.name, float64(p.peakBytes)/(1<<20), p.limits.memoryMB,
		p.peakSockets, maxSockets)
	if p.peakBytes > int64(p.limits.memoryMB)<<20 {
		s.t.Errorf("%s: peak memory %.1f MB, limit %d MB", p.name, float64(p.peakBytes)/(1<<20), p.limits.memoryMB)
	}
	if p.peakSockets > maxSockets {
		s.t.Errorf("%s: %d descriptors, limit %d", p.name, p.peakSockets, maxSockets)
	}
}

// replaceHost kills the agent's process and starts another one, which recovers the jobs.
func (s *system) replaceHost() {
	qt.Assert(s.t, s.host.cmd.Process.Kill(), qt.IsNil)
	<-s.host.exited
	s.host = s.startHost()
}

// send sends a request about a job once and returns the status of the answer. It returns an error if the answer is not complete.
func (s *system) send(method, id, body string) (int, error) {
	req, err := http.NewRequest(method, "http://"+s.front.ip+":7002"+standin.QueuePrefix+id, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Host = standin.QueueHost
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// checkOrdinaryCaller submits a job and reads its state. It sends each request again until the answer is 200, as callers do.
func (s *system) checkOrdinaryCaller(id string) {
	id += strings.Repeat("0", 16-len(id))
	s.untilOK("submission", http.MethodPost, id, standin.OneStepJob)
	s.untilOK("read", http.MethodGet, id, "")
}

func (s *system) untilOK(what, method, id, body string) {
	last := ""
	for end := time.Now().Add(hangTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		status, err := s.send(method, id, body)
		if last = fmt.Sprint(status, " ", err); err == nil && status == http.StatusOK {
			return
		}
	}
	s.t.Fatalf("%s of an ordinary caller: no answer 200, the last one is %s", what, last)
}

func serve(t *testing.T, h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	srv := &http.Server{Handler: h}
	go srv.Serve(l)
	t.Cleanup(func() { srv.Close() })
	return l.Addr().String()
}

// crowd opens the connections, lets each of them send, and keeps all of them open until the test ends. send is called concurrently; it
// returns when it has sent everything or the connection fails. crowd returns when all calls have returned.
func crowd(t *testing.T, count int, addr string, send func(conn net.Conn) error) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	failed := 0
	for range count {
		wg.Go(func() {
			conn, err := net.DialTimeout("tcp", addr, 10*time.Second)
			if err == nil {
				t.Cleanup(func() { conn.Close() })
				_ = conn.SetWriteDeadline(time.Now().Add(hangTimeout)) // cannot fail on an open connection
				err = send(conn)
			}
			if err != nil {
				mu.Lock()
				failed++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	t.Logf("%d connections, %d of them refused or closed while they were sending", count, failed)
	time.Sleep(time.Second) // the process reads what has been sent
}

// awaitAnswer reads the head of a response.
func awaitAnswer(conn net.Conn) error {
	if err := conn.SetReadDeadline(time.Now().Add(hangTimeout)); err != nil {
		return err
	}
	_, err := bufio.NewReader(conn).ReadString('\n')
	return err
}

// raiseDescriptorLimit lets this process open as many descriptors as it may.
func raiseDescriptorLimit(t *testing.T) {
	var limit syscall.Rlimit
	qt.Assert(t, syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit), qt.IsNil)
	limit.Cur = limit.Max
	qt.Assert(t, syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit), qt.IsNil)
}
