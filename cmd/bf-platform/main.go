// Command bf-platform simulates the platform, which consists of the key-value store and one worker for each --worker flag. Faults
// of the store and the workers can be injected over HTTP.
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

// shutdownTimeout is the maximum wait for open requests when the process shuts down.
const shutdownTimeout = time.Second

func main() {
	storeAddr, level, seed := "127.0.0.1:2379", "info", uint64(1)
	workerSpecs, userSpecs := []string{}, []string{}
	flaggy.SetName("bf-platform")
	flaggy.SetDescription("Simulate the platform's key-value store and workers.")
	flaggy.SetVersion(app.Version)
	flaggy.String(&storeAddr, "s", "store", "Address of the store; empty for none.")
	flaggy.StringSlice(&workerSpecs, "w", "worker", "A worker as ip:port/cores/memory_mb/accelerators; repeatable.")
	flaggy.StringSlice(&userSpecs, "u", "user",
		"A user of the store as name:password or name:password:operator; repeatable, default no authentication.")
	flaggy.UInt64(&seed, "", "seed", "Seed of the injected faults.")
	flaggy.String(&level, "l", "log-level", "Log level: debug, info, warn or error.")
	flaggy.Parse()
	os.Exit(run(storeAddr, workerSpecs, userSpecs, seed, level))
}

func run(storeAddr string, workerSpecs, userSpecs []string, seed uint64, level string) int {
	log, err := app.NewLogger("bf-platform", level)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return app.ExitUsage
	}
	components := []app.Component{}
	if storeAddr != "" {
		component, err := storeComponent(storeAddr, userSpecs, seed)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return app.ExitFailure
		}
		components = append(components, component)
	}
	for _, spec := range workerSpecs {
		component, err := workerComponent(spec, seed)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return app.ExitUsage
		}
		components = append(components, component)
	}
	if err := app.Run(context.Background(), log, nil, components...); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return app.ExitFailure
	}
	return app.ExitOK
}

// newEcho returns an HTTP router that prints no messages at its start.
func newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	return e
}

// serverComponent listens on addr immediately. The returned component serves the router's routes on this address while it runs.
func serverComponent(name, addr string, router *echo.Echo) (app.Component, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return app.Component{}, err
	}
	return app.Component{Name: name,
		Run: func(ctx context.Context) error { return node.ServeHTTP(ctx, listener, router, shutdownTimeout) }}, nil
}

// leaseExpiryInterval is the interval at which expired leases are removed from the store, also while the store receives no
// requests.
const leaseExpiryInterval = 100 * time.Millisecond

// parseUsers parses specifications of the form name:password or name:password:operator and returns the users by name.
func parseUsers(specs []string) (map[string]standin.User, error) {
	usersByName := map[string]standin.User{}
	for _, spec := range specs {
		fields := strings.Split(spec, ":")
		if len(fields) < 2 || len(fields) > 3 || fields[0] == "" || len(fields) == 3 && fields[2] != "operator" {
			return nil, fmt.Errorf("user %q: accepted form: name:password or name:password:operator", spec)
		}
		usersByName[fields[0]] = standin.User{Password: fields[1], IsOperator: len(fields) == 3}
	}
	return usersByName, nil
}

// storeComponent returns the component that runs the simulated store.
func storeComponent(addr string, userSpecs []string, seed uint64) (app.Component, error) {
	usersByName, err := parseUsers(userSpecs)
	if err != nil {
		return app.Component{}, err
	}
	server := standin.NewStoreServer(seed)
	server.Auth = standin.NewAuth(usersByName)
	router := newEcho()
	server.Register(router)
	component, err := serverComponent("store", addr, router)
	if err != nil {
		return component, err
	}
	serve := component.Run
	component.Run = func(ctx context.Context) error {
		go app.Every(ctx, leaseExpiryInterval, server.Engine.ExpireLeases)
		return serve(ctx)
	}
	return component, nil
}

// workerComponent returns the component that runs a simulated worker. spec has the form ip:port/cores/memory_mb/accelerators.
func workerComponent(spec string, seed uint64) (app.Component, error) {
	fields := strings.Split(spec, "/")
	if len(fields) != 4 {
		return app.Component{}, fmt.Errorf("worker %q: accepted form: ip:port/cores/memory_mb/accelerators", spec)
	}
	cores, coresErr := strconv.ParseFloat(fields[1], 64)
	memoryMB, memoryErr := strconv.ParseInt(fields[2], 10, 64)
	accelerators, acceleratorsErr := strconv.Atoi(fields[3])
	if coresErr != nil || memoryErr != nil || acceleratorsErr != nil {
		return app.Component{}, fmt.Errorf("worker %q: cores, memory_mb and accelerators must be numbers", spec)
	}
	router := newEcho()
	capacity := worker.Resources{Cores: cores, MemoryMB: memoryMB, Accelerators: accelerators}
	standin.RegisterWorker(router, standin.NewSimWorker("worker-"+fields[0], capacity, nil, seed))
	return serverComponent("worker "+fields[0], fields[0], router)
}
