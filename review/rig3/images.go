package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bamboofork/platform/standin"
)

const (
	sideMemoryMB  = 152 // SYSTEM, machines of class side
	imageBytes    = 200_000
	imageClients  = 8
	imagesTime    = 90 * time.Second
	endsPerHost   = 3 // RULES, Fault
	endedHosts    = 2 // a tenth of the machines in use, two at least
	restartDelay  = 500 * time.Millisecond
	shortImages   = 9 // different images of the site's jobs
	beforeCancel  = 60 * time.Millisecond
	refusedPause  = 300 * time.Millisecond
	memoryChecked = 20 * time.Millisecond
)

// anonymousKB returns the anonymous resident memory of a process; 0: it has ended.
func anonymousKB(pid int) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, after, _ := bytes.Cut(status, []byte("RssAnon:"))
	fields := strings.Fields(string(after))
	if len(fields) == 0 {
		return 0
	}
	kb, err := strconv.ParseInt(fields[0], 10, 64)
	if err != nil {
		return 0
	}
	return kb
}

// platform does for a host what the operators' platform does: it kills the process above its memory, and starts it again. It counts the
// ends.
func (f *fleet) platform(h *host, ends *atomic.Int64, peakKB *atomic.Int64) {
	for {
		pid := h.command.Process.Pid
		exited := make(chan struct{})
		go func() {
			h.command.Wait() //nolint:errcheck // it was killed or has ended
			close(exited)
		}()
		tick := time.NewTicker(memoryChecked)
		for running := true; running; {
			select {
			case <-exited:
				running = false
			case <-tick.C:
				kb := anonymousKB(pid)
				peakKB.Store(max(peakKB.Load(), kb))
				if kb > sideMemoryMB<<10 {
					f.note("%s has %d MB of %d and is killed", h.name, kb>>10, sideMemoryMB)
					h.command.Process.Kill() //nolint:errcheck // it may have ended
					<-exited
					running = false
				}
			}
		}
		tick.Stop()
		ends.Add(1)
		time.Sleep(restartDelay)
		if err := f.startProgram(h); err != nil {
			f.note("%s: %v", h.name, err)
			return
		}
	}
}

// images has clients hand in lasting jobs one after the other, each of which they cancel soon. Each job names an image of its own; without
// trouble its name is one of a few short ones.
func images(f *fleet, trouble bool) (bool, error) {
	ends, peaks := make([]atomic.Int64, len(f.sides)), make([]atomic.Int64, len(f.sides))
	for i, h := range f.sides {
		go f.platform(h, &ends[i], &peaks[i])
	}
	broken := func() bool {
		hosts := 0
		for i := range ends {
			if ends[i].Load() >= endsPerHost {
				hosts++
			}
		}
		return hosts >= endedHosts
	}
	var accepted, refused, unanswered, number atomic.Int64
	var clients sync.WaitGroup
	end := time.Now().Add(imagesTime)
	for range imageClients {
		clients.Go(func() {
			for time.Now().Before(end) && !broken() {
				n := number.Add(1)
				image := fmt.Sprintf("shop-%d", n%shortImages)
				if trouble {
					image = fmt.Sprintf("%d-%s", n, strings.Repeat("x", imageBytes))
				}
				id := fmt.Sprintf("%016x", 0xabc000000+n)
				status := f.send(http.MethodPost, id, `{"spec":"x","steps":[{"count":1,"cpu":10,"mem_mb":1,"estimate_ms":300,"perpetual":true,"target_ms":500,"image":"`+image+`"}]}`)
				switch status {
				case http.StatusOK:
					accepted.Add(1)
				case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
					unanswered.Add(1)
				default:
					refused.Add(1)
				}
				if status != http.StatusOK {
					time.Sleep(refusedPause)
					continue
				}
				time.Sleep(beforeCancel)
				for range 5 {
					if status := f.send(http.MethodDelete, id, ""); status == http.StatusOK || status == http.StatusGone {
						break
					}
					time.Sleep(refusedPause)
				}
			}
		})
	}
	clients.Wait()
	f.note("%d jobs accepted, %d refused, %d without an answer", accepted.Load(), refused.Load(), unanswered.Load())
	for i, h := range f.sides {
		f.note("%s ended %d times, peak %d MB", h.name, ends[i].Load(), peaks[i].Load()>>10)
	}
	return broken(), nil
}

// send sends a request about a job and returns the status; 0: none.
func (f *fleet) send(method, id, body string) int {
	req, err := http.NewRequest(method, "http://"+f.fronts[0].cfg.Listen.Callers+standin.QueuePrefix+id, strings.NewReader(body))
	if err != nil {
		return 0
	}
	req.Host = standin.QueueHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(standin.DeadlineHeader, "3000")
	resp, err := f.client.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}
