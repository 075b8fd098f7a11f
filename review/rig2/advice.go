package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	decideTime = 30 * time.Millisecond // decide_ms of the queue
	periodTime = 2 * time.Millisecond  // period_ms of the queue, for each worker named
	ticketTime = 3 * time.Second       // valid_ms of the queue
)

// adviser is a stand-in of the advice service. All runners may run each step. It handles one call at a time.
type adviser struct {
	world *world
	mu    sync.Mutex
	count int
}

// ServeHTTP implements http.Handler.
func (a *adviser) ServeHTTP(writer http.ResponseWriter, req *http.Request) {
	var asked struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(req.Body).Decode(&asked) != nil {
		answer(writer, http.StatusBadRequest, struct{}{})
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	time.Sleep(decideTime + time.Duration(len(asked.Workers))*periodTime)
	a.world.mu.Lock()
	good := [][2]string{}
	for _, id := range asked.Workers {
		a.count++
		ticket := fmt.Sprintf("t%d", a.count)
		a.world.tickets[ticketKey(asked.Step+".0", id, ticket)] = time.Now().Add(ticketTime)
		good = append(good, [2]string{id, ticket})
	}
	a.world.mu.Unlock()
	answer(writer, http.StatusOK, map[string]any{"good": good, "valid_ms": ticketTime.Milliseconds()})
}
