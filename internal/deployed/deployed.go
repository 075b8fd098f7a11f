// Package deployed assembles the programs that run on the operators' platform: the entry and the agent, which is also a
// candidate for owning the jobs.
package deployed

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"bamboofork/internal/app"
	"bamboofork/internal/events"
	"bamboofork/internal/hostconfig"
	"bamboofork/internal/telemetry"
	"bamboofork/platform"
)

const (
	// memoryShare is the part of the process's memory that the garbage collector may let the heap grow to; the rest is
	// for stacks, buffers and the program itself.
	memoryShare = 0.7
	// gcPercent trades memory, of which there is plenty, for processor time.
	gcPercent = 200
	// logLines is the number of log lines that may wait for the output; more are dropped and counted.
	logLines = 2000
)

// process is what both programs have.
type process struct {
	cfg     hostconfig.Process
	path    string
	agent   bool
	log     zerolog.Logger
	metrics *telemetry.Registry
	// incarnation differs between lives of the process.
	incarnation string
}

// Main runs a program and returns its exit code.
func Main(name, description string, agent bool, parts func(p *process) ([]app.Part, error)) int {
	path, check, level := platform.SettingsPath(), false, "info"
	flaggy.SetName(name)
	flaggy.SetDescription(description)
	flaggy.SetVersion(app.Version)
	flaggy.String(&path, "c", "config", "Settings file of the process (YAML); by default the one that the platform names.")
	flaggy.String(&level, "l", "log-level", "Least level that is logged: debug, info, warn or error.")
	flaggy.Bool(&check, "", "check", "Validate the settings file and exit.")
	flaggy.Parse()
	cfg, err := hostconfig.Load(path, agent)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return app.ExitSettings
	}
	if check {
		fmt.Println("ok")
		return app.ExitOK
	}
	p, flush, err := newProcess(name, level, path, agent, cfg)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return app.ExitUsage
	}
	defer flush()
	list, err := parts(p)
	if err == nil {
		list = append(list, app.Part{Name: "reload", Run: p.reload})
		err = app.Run(context.Background(), p.log, list...)
	}
	if err != nil {
		events.ProcessStopped.Log(&p.log).Err(err).Send()
		return app.ExitFailure
	}
	return app.ExitOK
}

func newProcess(name, level, path string, agent bool, cfg hostconfig.Process) (*process, func(), error) {
	lvl, err := zerolog.ParseLevel(level)
	if err != nil {
		return nil, nil, eris.Wrapf(err, "log level %q", level)
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(cfg.MemoryMB<<20)))
	metrics := telemetry.New()
	dropped := metrics.Counter("log_lines_dropped")
	w := diode.NewWriter(os.Stdout, logLines, 0, func(missed int) { dropped.Inc(int64(missed)) })
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	zerolog.DurationFieldInteger = true
	p := &process{
		cfg: cfg, path: path, agent: agent, metrics: metrics,
		log:         zerolog.New(w).Level(lvl).With().Timestamp().Str("program", name).Str("process", cfg.Name).Logger(),
		incarnation: cfg.Name + "-" + strconv.FormatInt(time.Now().UnixNano(), 36),
	}
	return p, func() { w.Close() }, nil
}

// reload checks the settings again on SIGHUP. Addresses and names stay as they were at the start; the memory limit
// follows the file.
func (p *process) reload(ctx context.Context) error {
	ch := make(chan os.Signal, 1)
	signal.Notify(ch, syscall.SIGHUP)
	defer signal.Stop(ch)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ch:
		}
		cfg, err := hostconfig.Load(p.path, p.agent)
		if err != nil {
			events.SettingsReloaded.Log(&p.log).Err(err).Msg("the former settings stay")
			continue
		}
		debug.SetMemoryLimit(int64(memoryShare * float64(cfg.MemoryMB<<20)))
		events.SettingsReloaded.Log(&p.log).Int64("memory_mb", cfg.MemoryMB).Send()
	}
}

// serve runs an HTTP server until ctx ends, then answers what it has read for at most the grace.
func serve(ctx context.Context, addr string, h http.Handler, grace time.Duration) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", addr)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader}
	done := make(chan error, 1)
	go func() { done <- srv.Serve(l) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	if err := srv.Shutdown(stopCtx); err != nil {
		return srv.Close()
	}
	return nil
}

const (
	// readHeaderTimeout and idleTimeout are the limits of the operators' manifests.
	readHeaderTimeout = 3 * time.Second
	idleTimeout       = 15 * time.Second
	maxHeader         = 16 << 10
)

// metricsHandler serves the counters and histograms as text.
func (p *process) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		if err := p.metrics.WriteText(w); err != nil {
			p.log.Debug().Err(err).Msg("metrics not read")
		}
	})
	return mux
}

func (p *process) metricsPart(port string) app.Part {
	return app.Part{Name: "metrics", Run: func(ctx context.Context) error {
		return serve(ctx, net.JoinHostPort(p.cfg.Listen.Metrics, port), p.metricsHandler(), 0)
	}}
}
