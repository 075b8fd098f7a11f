// Package deployed assembles the programs that run on the operators' platform: the entry, and the agent, which is also a
// candidate in the election of the job owner.
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
	// memoryLimitFraction is the fraction of the process's memory up to which the garbage collector lets the heap grow; the
	// rest is for stacks, buffers and the program itself.
	memoryLimitFraction = 0.7
	// gcPercent is above the default of 100: memory is plentiful, and fewer collections save CPU time.
	gcPercent = 200
	// logBufferLines is the capacity of the log buffer in lines; lines that do not fit are dropped and counted.
	logBufferLines = 2000
)

// process holds the state that the entry and the agent have in common.
type process struct {
	cfg     hostconfig.Process
	path    string // of the settings file
	agent   bool   // false: an entry
	log     zerolog.Logger
	metrics *telemetry.Registry
	// incarnation is unique to each start of the process.
	incarnation string
}

// Main parses the command line, runs the components of an agent or entry until they end, and returns the exit code.
func Main(name, description string, agent bool, components func(p *process) ([]app.Component, error)) int {
	path, check, level := platform.SettingsPath(), false, "info"
	flaggy.SetName(name)
	flaggy.SetDescription(description)
	flaggy.SetVersion(app.Version)
	flaggy.String(&path, "c", "config", "Settings file of the process (YAML); default: the path set by the platform.")
	flaggy.String(&level, "l", "log-level", "Minimum level that is logged: debug, info, warn or error.")
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
	list, err := components(p)
	if err == nil {
		list = append(list, app.Component{Name: "reload", Run: p.reload})
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
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(cfg.MemoryMB<<20)))
	metrics := telemetry.New()
	dropped := metrics.Counter("log_lines_dropped")
	w := diode.NewWriter(os.Stdout, logBufferLines, 0, func(missed int) { dropped.Inc(int64(missed)) })
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	zerolog.DurationFieldInteger = true
	p := &process{
		cfg: cfg, path: path, agent: agent, metrics: metrics,
		log:         zerolog.New(w).Level(lvl).With().Timestamp().Str("program", name).Str("process", cfg.Name).Logger(),
		incarnation: cfg.Name + "-" + strconv.FormatInt(time.Now().UnixNano(), 36),
	}
	return p, func() { w.Close() }, nil
}

// reload reads and validates the settings file again on SIGHUP. Only the memory limit is applied; addresses and names keep
// their values from the start of the process.
func (p *process) reload(ctx context.Context) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-signals:
		}
		cfg, err := hostconfig.Load(p.path, p.agent)
		if err != nil {
			events.SettingsReloaded.Log(&p.log).Err(err).Msg("settings file rejected; keeping the previous settings")
			continue
		}
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(cfg.MemoryMB<<20)))
		events.SettingsReloaded.Log(&p.log).Int64("memory_mb", cfg.MemoryMB).Send()
	}
}

// serve runs an HTTP server until ctx is done, then waits at most the grace period for requests in progress.
func serve(ctx context.Context, addr string, h http.Handler, grace time.Duration) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", addr)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
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
	// readHeaderTimeout and idleTimeout match the limits in the operators' manifests.
	readHeaderTimeout = 3 * time.Second
	idleTimeout       = 15 * time.Second
	maxHeaderBytes    = 16 << 10
)

// metricsHandler serves the counters and histograms in the Prometheus text format.
func (p *process) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		if err := p.metrics.WriteText(w); err != nil {
			p.log.Debug().Err(err).Msg("writing the metrics response failed")
		}
	})
	return mux
}

func (p *process) metricsComponent(port string) app.Component {
	return app.Component{Name: "metrics", Run: func(ctx context.Context) error {
		return serve(ctx, net.JoinHostPort(p.cfg.Listen.Metrics, port), p.metricsHandler(), 0)
	}}
}
