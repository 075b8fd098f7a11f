package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"time"
)

// adviser decides which runners may run a step.
type adviser struct {
	world   *world
	runners func() []*runner
	valid   time.Duration
}

func (a *adviser) ServeHTTP(writer http.ResponseWriter, r *http.Request) {
	var asked struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&asked) != nil {
		answer(writer, http.StatusBadRequest, struct{}{})
		return
	}
	w := a.world
	w.adviseLock.Lock()
	time.Sleep(30*time.Millisecond + time.Duration(len(asked.Workers))*2*time.Millisecond)
	w.adviseLock.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts["advice"]++
	good := [][2]string{}
	for _, id := range asked.Workers {
		h := fnv.New32()
		fmt.Fprint(h, asked.Step, id)
		if h.Sum32()%3 == 0 && id != "i-0001" && id != "i-0004" {
			continue
		}
		for _, runner := range a.runners() {
			if runner.id == id {
				w.advised++
				ticket := fmt.Sprintf("t%d", w.advised)
				w.tickets[fmt.Sprintf("%s %s %d %s", asked.Step, id, runner.life, ticket)] = time.Now().Add(a.valid)
				good = append(good, [2]string{id, ticket})
			}
		}
	}
	answer(writer, http.StatusOK, map[string]any{"good": good, "valid_ms": a.valid.Milliseconds()})
}
