// Command bf-runner runs a sample backend server.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"bamboofork/internal/app"
	"bamboofork/internal/node"
	"bamboofork/internal/sample"
)

func main() {
	addr, name, level := "127.0.0.1:9000", "runner", "info"
	slots, serviceTime := 8, 20*time.Millisecond
	flaggy.SetName("bf-runner")
	flaggy.SetDescription("Sample backend server with quick responses and streams.")
	flaggy.SetVersion(app.Version)
	flaggy.String(&addr, "a", "addr", "Address to serve.")
	flaggy.String(&name, "n", "backend-name", "Name of the backend server in its responses.")
	flaggy.Int(&slots, "", "slots", "Maximum number of concurrent requests.")
	flaggy.Duration(&serviceTime, "", "service", "Service time of a quick request.")
	flaggy.String(&level, "l", "log-level", "Log level: debug, info, warn or error.")
	flaggy.Parse()
	os.Exit(run(addr, level, sample.Config{Name: name, Slots: slots, ServiceTime: serviceTime}))
}

func run(addr, level string, cfg sample.Config) int {
	log, err := app.NewLogger("bf-runner", level)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return app.ExitUsage
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return app.ExitFailure
	}
	server := sample.New(cfg)
	err = app.Run(context.Background(), log, nil, app.Component{Name: "runner", Run: func(ctx context.Context) error {
		return node.ServeHTTP(ctx, listener, server, 30*time.Second) // maximum wait for open requests at a shutdown
	}})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return app.ExitFailure
	}
	return app.ExitOK
}
