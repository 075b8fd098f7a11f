package main

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"
)

// clientWait is how long a client waits for a response, as the sheets of the sites say.
const clientWait = 3 * time.Second

// clientRetries is how often a client asks again.
const clientRetries = 4

// step is a step of a submitted job.
type step struct {
	Count         int    `json:"count"`
	CPU           int    `json:"cpu"`
	MemMB         int    `json:"mem_mb"`
	EstimateMs    int64  `json:"estimate_ms"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
	Gang          bool   `json:"gang,omitempty"`
	Requirements  string `json:"requirements,omitempty"`
}

// job is the body of a submission.
type job struct {
	Spec  string `json:"spec"`
	Steps []step `json:"steps"`
}

// call sends a request to an entry and returns the status and the body of the response; status 0: no response.
func (l *lab) call(front, method, path, body string) (int, string) {
	request, err := http.NewRequest(method, "http://"+front+queuePrefix+path, strings.NewReader(body))
	if err != nil {
		panic(err) // the address comes from the lab
	}
	request.Host = queueHost
	request.Header.Set("X-Deadline-Ms", "3000")
	if body != "" {
		request.Header.Set("Content-Type", "application/json")
	}
	client := &http.Client{Timeout: clientWait, Transport: &http.Transport{DisableKeepAlives: true}}
	status, text := 0, ""
	response, err := client.Do(request)
	if err == nil {
		data, readErr := io.ReadAll(response.Body)
		response.Body.Close()
		if readErr == nil {
			status, text = response.StatusCode, string(data)
		}
	}
	l.rec.logf("client %s %s%s at %s -> %d %s", method, queuePrefix, path, front, status, text)
	return status, text
}

// submit hands a job in until it is accepted, as a client does after no response, a 502, a 503 or a 504. It returns whether the job
// was accepted.
func (l *lab) submit(id string, j job, attempts int) bool {
	body, err := json.Marshal(j)
	if err != nil {
		panic(err) // cannot happen: the value has only plain types
	}
	for attempt := range attempts {
		if status, _ := l.call(l.fronts[attempt%len(l.fronts)], http.MethodPost, id, string(body)); status == http.StatusOK {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// state returns the state of a job, or "" if there is no answer.
func (l *lab) state(id string) string {
	_, text := l.call(l.fronts[0], http.MethodGet, id, "")
	var answer struct {
		State string `json:"state"`
	}
	if json.Unmarshal([]byte(text), &answer) != nil {
		return ""
	}
	return answer.State
}

// pending returns the number of pending jobs that an entry gives, or -1 without an answer.
func (l *lab) pending(front string) int {
	status, text := l.call(front, http.MethodGet, "", "")
	var answer struct {
		Pending int `json:"pending"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(text), &answer) != nil {
		return -1
	}
	return answer.Pending
}
