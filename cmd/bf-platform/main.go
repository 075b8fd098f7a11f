// Command bf-platform simulates the platform: the key-value store and one worker for each --worker flag, with fault injection
// over HTTP.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/integrii/flaggy"
	"github.com/labstack/echo/v4"

	"bamboofork/internal/app"
	"bamboofork/internal/node"
	"bamboofork/internal/standin"
	"bamboofork/internal/worker"
)

// shutdownTimeout is the maximum wait for open requests at a shutdown.
const shutdownTimeout = time.Second

func main() {
	storeAddr, level, seed := "127.0.0.1:2379", "info", uint64(1)
	workers, users := []string{}, []string{}
	flaggy.SetName("bf-platform")
	flaggy.SetDescription("Stand-in for the platform's key-value store and workers.")
	flaggy.SetVersion(app.Version)
	flaggy.String(&storeAddr, "s", "store", "Address of the store; empty for none.")
	flaggy.StringSlice(&workers, "w", "worker", "A worker as ip:port/cores/memory_mb/accelerators; repeatable.")
	flaggy.StringSlice(&users, "u", "user", "A user of the store as name:password or name:password:operator; repeatable, default no authentication.")
	flaggy.UInt64(&seed, "", "seed", "Seed of the injected faults.")
	flaggy.String(&level, "l", "log-level", "Log level: debug, info, warn or error.")
	flaggy.Parse()
	os.Exit(run(storeAddr, workers, users, seed, level))
}

func run(storeAddr string, workers, users []string, seed uint64, level string) int {
	log, err := app.NewLogger("bf-platform", level)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return app.ExitUsage
	}
	parts := []app.Component{}
	if storeAddr != "" {
		part, err := storePart(storeAddr, users, seed)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return app.ExitFailure
		}
		parts = append(parts, part)
	}
	for _, spec := range workers {
		part, err := workerPart(spec, seed)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return app.ExitUsage
		}
		parts = append(parts, part)
	}
	if err := app.Run(context.Background(), log, parts...); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return app.ExitFailure
	}
	return app.ExitOK
}

// newEcho returns a server without its start-up messages.
func newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	return e
}

// servePart listens on addr at once and returns the part that serves e there.
func servePart(name, addr string, e *echo.Echo) (app.Component, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return app.Component{}, err
	}
	return app.Component{Name: name, Run: func(ctx context.Context) error { return node.ServeHTTP(ctx, l, e, shutdownTimeout) }}, nil
}

// leaseTickInterval is the interval at which the store ends expired leases when it gets no requests.
const leaseTickInterval = 100 * time.Millisecond

func parseUsers(specs []string) (map[string]standin.User, error) {
	users := map[string]standin.User{}
	for _, spec := range specs {
		fields := strings.Split(spec, ":")
		if len(fields) < 2 || len(fields) > 3 || fields[0] == "" || len(fields) == 3 && fields[2] != "operator" {
			return nil, fmt.Errorf("user %q: accepted form: name:password or name:password:operator", spec)
		}
		users[fields[0]] = standin.User{Password: fields[1], Operator: len(fields) == 3}
	}
	return users, nil
}

func storePart(addr string, userSpecs []string, seed uint64) (app.Component, error) {
	users, err := parseUsers(userSpecs)
	if err != nil {
		return app.Component{}, err
	}
	s := standin.NewStoreServer(seed)
	s.Auth = standin.NewAuth(users)
	e := newEcho()
	s.Register(e)
	part, err := servePart("store", addr, e)
	if err != nil {
		return part, err
	}
	run := part.Run
	part.Run = func(ctx context.Context) error {
		go app.Every(ctx, leaseTickInterval, s.Engine.ExpireLeases)
		return run(ctx)
	}
	return part, nil
}

func workerPart(spec string, seed uint64) (app.Component, error) {
	fields := strings.Split(spec, "/")
	if len(fields) != 4 {
		return app.Component{}, fmt.Errorf("worker %q: accepted form: ip:port/cores/memory_mb/accelerators", spec)
	}
	cores, err1 := strconv.ParseFloat(fields[1], 64)
	memory, err2 := strconv.ParseInt(fields[2], 10, 64)
	accelerators, err3 := strconv.Atoi(fields[3])
	if err1 != nil || err2 != nil || err3 != nil {
		return app.Component{}, fmt.Errorf("worker %q: cores, memory_mb and accelerators must be numbers", spec)
	}
	e := newEcho()
	capacity := worker.Resources{Cores: cores, MemoryMB: memory, Accelerators: accelerators}
	standin.RegisterWorker(e, standin.NewSimWorker("worker-"+fields[0], capacity, nil, seed))
	return servePart("worker "+fields[0], fields[0], e)
}
