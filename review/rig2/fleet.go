package main

import (
	"bufio"
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
	"time"
)

const (
	service   = "huvo11a"
	queueHost = "nony24.example"
	prefix    = "/lohu930/"
)

// manifest is what the operator writes, with the limits that `fleetbench wire` shows.
const manifest = `{"version":7,"routes":[{"name":"lohu","host":"nony24.example","prefix":"/lohu930/","kind":"unsafe","timeout_ms":3000,` +
	`"target_latency_ms":300,"priority":0,"service":"huvo11a","max_attempts":3,"stretch":1.5}%s],"services":[{"name":"huvo11a","rejects_overload":false}],` +
	`"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// advisedRoute is a second queue, whose tasks need a ticket of the advice service.
const advisedRoute = `,{"name":"pule","host":"nony24.example","prefix":"` + advisedPrefix + `","kind":"unsafe","timeout_ms":3000,"target_latency_ms":2500,` +
	`"priority":0,"service":"huvo11a","max_attempts":3,"stretch":2.2,"advice":{"decide_ms":%d,"period_ms":%d,"valid_ms":%d}}`

const advisedPrefix = "/pule252/"

// record is what clients, runners and the platform have seen.
type record struct {
	mu    sync.Mutex
	file  *bufio.Writer
	begun time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		cannotRun(err)
	}
	return &record{file: bufio.NewWriter(f), begun: time.Now()}
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f ", time.Since(r.begun).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}

func (r *record) flush() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.file.Flush()
}

// process is a program of the deploy file that the platform starts again whenever it ends. mu guards the fields below it.
type process struct {
	name, program, settings, ip string
	memoryMB                    int
	fleet                       *fleet

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	stopped bool
	killed  int // times that the platform has killed it for its memory
	ownEnds int // times that it has ended by itself
	peakKB  int
}

type fleet struct {
	folder, programs string
	record           *record
	world            *world
	store            *store
	runners          []*runner
	hosts, fronts    []*process
	ctx              context.Context
	end              context.CancelFunc
	advice           string // address of the advice service; empty: none
	limitMemory      bool   // the platform kills a process above its limit
}

// Limits of the processes of a small deployment, in MB.
const (
	hostMB  = 152
	frontMB = 284
)

// started is the fleet of this process; nil: none yet.
var started *fleet

// cannotRun ends the case without a result.
func cannotRun(err any) {
	fmt.Println("cannot run:", err)
	if started != nil {
		started.stop()
	}
	os.Exit(2)
}

func serve(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun(err)
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l.Addr().String()
}

// newFleet starts a small deployment beside the world's runners. It returns when all entries are ready.
func newFleet(w *world, hosts, fronts int, limitMemory bool) *fleet {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		cannotRun(err)
	}
	f := &fleet{folder: folder, programs: "target", record: w.record, world: w, store: newStore(), limitMemory: limitMemory}
	f.ctx, f.end = context.WithCancel(context.Background())
	started = f
	advised := ""
	if w.tickets != nil {
		f.advice = serve(&adviser{world: w})
		advised = fmt.Sprintf(advisedRoute, decideTime.Milliseconds(), periodTime.Milliseconds(), ticketTime.Milliseconds())
	}
	f.store.put("op/config", fmt.Appendf(nil, manifest, advised))
	storeAddr := serve(f.store)
	zones := []string{"escazu", "liberia", "heredia"}
	for i := range hosts {
		runner := w.newRunner(i, zones[i%3])
		runner.address = serve(runner)
		host := f.newProcess("bf-host", fmt.Sprintf("side-%s-%d", zones[i%3], i/3+1), i+1, hostMB, storeAddr, runner.address)
		runner.control = host.ip + ":8166"
		f.hosts, f.runners = append(f.hosts, host), append(f.runners, runner)
	}
	for i := range fronts {
		f.fronts = append(f.fronts, f.newProcess("bf-front", fmt.Sprintf("front-%s-%d", zones[i%3], i/3+1), 100+i, frontMB, storeAddr, ""))
	}
	for _, proc := range f.processes() {
		go proc.keep()
	}
	for _, runner := range f.runners {
		go runner.beat(f.ctx)
	}
	f.await("fronts are ready", 20*time.Second, func() bool {
		for _, front := range f.fronts {
			resp, err := (&http.Client{Timeout: time.Second}).Get("http://" + front.ip + ":8167/api/readyz")
			if err != nil {
				return false
			}
			resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				return false
			}
		}
		return true
	})
	return f
}

func (f *fleet) processes() []*process { return append(append([]*process{}, f.hosts...), f.fronts...) }

func (f *fleet) await(what string, most time.Duration, done func() bool) {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if done() {
			return
		}
	}
	cannotRun("not in time: " + what)
}

func (f *fleet) newProcess(program, name string, index, memoryMB int, storeAddr, worker string) *process {
	pid := os.Getpid()
	p := &process{name: name, program: program, memoryMB: memoryMB, fleet: f,
		ip: fmt.Sprintf("127.%d.%d.%d", 1+pid%200, pid/200%250, index), settings: filepath.Join(f.folder, name+".yaml")}
	fds := 4096
	if program == "bf-front" {
		fds = 4100
	}
	settings := fmt.Sprintf(`name: %q
memory_mb: %d
max_fds: %d
listen:
  peers: "%s:7720"
  callers: "%s:8161"
  readiness: "%s:8167"
  registrations: "%s:8166"
  metrics: "%s"
worker: %q
store: %q
advice: %q
bounds:
  max_hold_ms: 10000
  stop_timeout_ms: 200
  grace_s: 6
  status_s: 120
silent_store:
  max_held: 2000
  max_held_kb: 8192
evacuation:
  apply_ms:
colocation:
  pack_serving: true
`, name, memoryMB, fds, p.ip, p.ip, p.ip, p.ip, p.ip, worker, storeAddr, f.advice)
	if err := os.WriteFile(p.settings, []byte(settings), 0o600); err != nil {
		cannotRun(err)
	}
	return p
}

// keep runs the program and starts it again when it has ended, as the platform does.
func (p *process) keep() {
	for p.fleet.ctx.Err() == nil {
		log, err := os.OpenFile(p.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			cannotRun(err)
		}
		cmd := exec.Command(filepath.Join(p.fleet.programs, p.program))
		cmd.Env = append(os.Environ(), "BAMBOOFORK_BOOT="+p.settings)
		cmd.Stdout, cmd.Stderr = log, log
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		exited := make(chan struct{})
		p.mu.Lock()
		if p.stopped {
			p.mu.Unlock()
			return
		}
		if err := cmd.Start(); err != nil {
			p.mu.Unlock()
			cannotRun(err)
		}
		p.cmd, p.exited = cmd, exited
		p.mu.Unlock()
		go p.watch(cmd, exited)
		_ = cmd.Wait()
		close(exited)
		log.Close()
		p.mu.Lock()
		if !p.stopped {
			p.ownEnds++
			p.fleet.record.note("platform: %s ended by itself: %v", p.name, cmd.ProcessState)
		}
		p.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
	}
}

// log returns what the program has written.
func (p *process) log() string {
	text, err := os.ReadFile(p.logPath())
	if err != nil {
		return ""
	}
	return string(text)
}

func (p *process) logPath() string { return filepath.Join(p.fleet.folder, p.name+".log") }

// watch measures the memory of a process, and kills it above its limit if the fleet limits memory.
func (p *process) watch(cmd *exec.Cmd, exited chan struct{}) {
	for {
		select {
		case <-exited:
			return
		case <-time.After(50 * time.Millisecond):
		}
		kb := residentKB(cmd.Process.Pid)
		p.mu.Lock()
		p.peakKB = max(p.peakKB, kb)
		if p.fleet.limitMemory && kb > p.memoryMB<<10 && !p.stopped {
			p.killed++
			p.fleet.record.note("platform: %s has %d MB of %d MB and is killed", p.name, kb>>10, p.memoryMB)
			_ = cmd.Process.Kill()
			p.mu.Unlock()
			return
		}
		p.mu.Unlock()
	}
}

// residentKB returns the resident memory of a process without the pages of its program file.
func residentKB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "RssAnon:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb
		}
	}
	return 0
}

// stop ends all processes and removes the temporary folder.
func (f *fleet) stop() {
	f.end()
	for _, p := range f.processes() {
		p.mu.Lock()
		p.stopped = true
		cmd, exited := p.cmd, p.exited
		p.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Kill()
			<-exited
		}
	}
	f.record.flush()
	if os.Getenv("REVIEW_KEEP") == "" {
		os.RemoveAll(f.folder)
	} else {
		fmt.Println("logs in", f.folder)
	}
}

// caller is a client of the deployment.
type caller struct {
	fleet  *fleet
	client *http.Client
	prefix string
}

func (f *fleet) newCaller() *caller {
	return &caller{fleet: f, client: &http.Client{Timeout: 3 * time.Second}, prefix: prefix}
}

// call sends one request to a front and returns the status and the body; status 0: no answer.
func (c *caller) call(front int, method, id, body string) (int, string) {
	req, err := http.NewRequest(method, "http://"+c.fleet.fronts[front%len(c.fleet.fronts)].ip+":8161"+c.prefix+id, strings.NewReader(body))
	if err != nil {
		cannotRun(err)
	}
	req.Host = queueHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", "3000")
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(text)
}

// clientRetries is how often a client of the site hands a job in again, each time at another entry and retryDelay later: entries tell
// clients to come back after a second or more.
const (
	clientRetries = 4
	retryDelay    = time.Second
)

// submit hands a job in, again after no answer, a 502, 503, 429 or 504, for at most the time.
func (c *caller) submit(id, body string, most time.Duration) int {
	status := 0
	for end, front := time.Now().Add(most), 0; front <= clientRetries && time.Now().Before(end); front++ {
		var text string
		status, text = c.call(front, http.MethodPost, id, body)
		if status/100 == 2 || status == 400 || status == 404 || status == 413 {
			c.fleet.record.note("client: POST %s (%d bytes) -> %d", id, len(body), status)
			return status
		}
		c.fleet.record.note("client: POST %s (%d bytes) -> %d %s", id, len(body), status, strings.TrimSpace(text))
		time.Sleep(retryDelay)
	}
	return status
}

// handIn submits the job and tells the runners what belongs to it.
func (c *caller) handIn(id string, j *job, most time.Duration) bool {
	j.id = id
	body, err := json.Marshal(j)
	if err != nil {
		cannotRun(err)
	}
	c.world().add(j)
	return c.submit(id, string(body), most) == http.StatusOK
}

func (c *caller) world() *world { return c.fleet.world }

// state asks for the state of a job.
func (c *caller) state(front int, id string) (int, string) {
	return c.call(front, http.MethodGet, id, "")
}
