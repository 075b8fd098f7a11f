// Package deployed assembles the programs that run on the operators' platform: the entry, and the agent. Each agent is also a
// candidate in the election of the job owner.
package deployed

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"sync"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"bamboofork/internal/app"
	"bamboofork/internal/events"
	"bamboofork/internal/hostconfig"
	"bamboofork/internal/network"
	"bamboofork/internal/telemetry"
	"bamboofork/platform"
)

const (
	// memoryLimitFraction is the soft memory limit of the Go runtime as a fraction of the memory assigned to the process. The
	// rest is left for stacks, buffers and the program itself. An entry leaves more, because bytes that the operating system has received
	// for it count as its memory, and it has many connections.
	memoryLimitFraction      = 0.7
	entryMemoryLimitFraction = 0.6
	// gcPercent is the garbage collection target. It is above the default of 100 because memory is plentiful and fewer
	// collections save CPU time.
	gcPercent = 200
	// logBufferLines is the capacity of the log buffer in lines. Lines are dropped and counted while the buffer is full.
	logBufferLines = 2000
)

// process holds the state that the entry and the agent have in common.
type process struct {
	cfg          hostconfig.Process
	settingsPath string
	isAgent      bool // true for an agent, false for an entry
	log          zerolog.Logger
	metrics      *telemetry.Registry
	network      network.Network
	// recordsPerSnapshot replaces the default of the owner if it is not 0.
	recordsPerSnapshot int64
	// takeInLimits is set by takeIn.
	takeInOnce   sync.Once
	takeInLimits *takeIn
	// incarnation is unique to each start of the process.
	incarnation string
}

// newStore returns a client of the store that counts the items that cannot be decoded, and logs the first one of each key.
func (p *process) newStore() *platform.Store {
	var logged events.Once
	st := platform.NewStore(p.cfg.Store, p.network)
	st.Unreadable = func(key string) {
		p.metrics.Counter("store_items_unreadable").Inc(1)
		if logged.First(key) {
			events.StoreItemUnreadable.Log(&p.log).Str("key", key).Send()
		}
	}
	return st
}

// RunProcess parses the command line, runs the components of an agent or entry until they end, and returns the exit code of the
// process. isAgent tells whether the settings file is validated as that of an agent or of an entry.
func RunProcess(name, description string, isAgent bool, components func(p *process) ([]app.Component, error)) int {
	app.HoldSignals()
	settingsPath, checkOnly, level := platform.SettingsPath(), false, "info"
	flaggy.SetName(name)
	flaggy.SetDescription(description)
	flaggy.SetVersion(app.Version)
	flaggy.String(&settingsPath, "c", "config", "Settings file of the process (YAML); default: the path set by the platform.")
	flaggy.String(&level, "l", "log-level", "Minimum level that is logged: debug, info, warn or error.")
	flaggy.Bool(&checkOnly, "", "check", "Validate the settings file and exit.")
	flaggy.Parse()
	cfg, err := hostconfig.Load(settingsPath, isAgent)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return app.ExitSettings
	}
	if checkOnly {
		fmt.Println("ok")
		return app.ExitOK
	}
	p, flush, err := newProcess(name, level, settingsPath, isAgent, cfg)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return app.ExitUsage
	}
	defer flush()
	list, err := components(p)
	if err == nil {
		err = app.Run(context.Background(), p.log, p.reload, list...)
	}
	if err != nil {
		events.ProcessStopped.Log(&p.log).Err(err).Send()
		return app.ExitFailure
	}
	return app.ExitOK
}

// newProcess applies the memory settings to the Go runtime and sets the format of log times. It returns the process and a
// function that closes the log.
func newProcess(name, level, settingsPath string, isAgent bool, cfg hostconfig.Process) (*process, func(), error) {
	minLevel, err := zerolog.ParseLevel(level)
	if err != nil {
		return nil, nil, eris.Wrapf(err, "log level %q", level)
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimit(cfg, isAgent))
	metrics := telemetry.New()
	droppedLines := metrics.Counter("log_lines_dropped")
	batches := &batchWriter{out: os.Stdout}
	w := diode.NewWriter(batches, logBufferLines, 0, func(missed int) { droppedLines.Inc(int64(missed)) })
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	zerolog.DurationFieldInteger = true
	p := &process{
		cfg: cfg, settingsPath: settingsPath, isAgent: isAgent, metrics: metrics, network: network.TCP,
		log:         zerolog.New(w).Level(minLevel).With().Timestamp().Str("program", name).Str("process", cfg.Name).Logger(),
		incarnation: cfg.Name + "-" + strconv.FormatInt(time.Now().UnixNano(), 36),
	}
	return p, func() { w.Close(); batches.Flush() }, nil
}

// memoryLimit returns the soft memory limit of the Go runtime in bytes.
func memoryLimit(cfg hostconfig.Process, isAgent bool) int64 {
	fraction := entryMemoryLimitFraction
	if isAgent {
		fraction = memoryLimitFraction
	}
	return int64(fraction * float64(cfg.MemoryMB<<20))
}

// reload reads and validates the settings file again. Only the memory limit is applied. All other settings, such as addresses and
// names, keep their values from the start of the process.
func (p *process) reload() {
	cfg, err := hostconfig.Load(p.settingsPath, p.isAgent)
	if err != nil {
		events.SettingsReloaded.Log(&p.log).Err(err).Msg("settings file rejected; keeping the previous settings")
		return
	}
	debug.SetMemoryLimit(memoryLimit(cfg, p.isAgent))
	events.SettingsReloaded.Log(&p.log).Int64("memory_mb", cfg.MemoryMB).Send()
}

// serve runs an HTTP server on addr until ctx is done. It has at most maxConnections connections; name is its name in the metrics. It then
// waits at most shutdownTimeout for requests in progress and closes
// the remaining connections.
func (p *process) serve(ctx context.Context, name string, maxConnections int, addr string, handler http.Handler, shutdownTimeout time.Duration) error {
	listener, err := p.takeIn().limited(p.network, name, maxConnections).Listen(addr)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", addr)
	}
	limitReceiveBuffer(listener)
	srv := &http.Server{Handler: p.takeIn().counted(handler), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ConnContext: connContext, ConnState: p.takeIn().connState}
	serveErr := make(chan error, 1)
	go func() { serveErr <- srv.Serve(listener) }()
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := srv.Shutdown(stopCtx); err != nil {
		return srv.Close()
	}
	return nil
}

// serveInternal runs an HTTP server for the platform, a worker or operators on addr until ctx is done. Requests in progress are
// answered, as serve does.
func (p *process) serveInternal(ctx context.Context, name string, maxConnections int, addr string, handler http.Handler) error {
	return p.serve(ctx, name, maxConnections, addr, handler, internalShutdownTimeout)
}

const (
	// internalShutdownTimeout is the shutdown timeout of serveInternal, whose handlers only use the memory of the process.
	internalShutdownTimeout = 100 * time.Millisecond
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
		return p.serveInternal(ctx, "metrics", p.takeIn().limits.MetricsConnections, net.JoinHostPort(p.cfg.Listen.Metrics, port), p.metricsHandler())
	}}
}
