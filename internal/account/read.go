// Package account says where the CPU time of the workers went. It reads the log lines of the owners of the jobs and of the agents, so that
// the account of a day needs no other source.
package account

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strings"

	"github.com/rotisserie/eris"

	"bamboofork/internal/events"
)

// lineStart is how each log line begins.
const lineStart = `{"level"`

// maxLineBytes is the longest line that Read accepts.
const maxLineBytes = 1 << 20

// line is one log line; the fields of all events that the account needs.
type line struct {
	Event   int     `json:"event"`
	TimeMs  int64   `json:"time"` // Unix milliseconds
	Process string  `json:"process"`
	Job     string  `json:"job"`
	Queue   string  `json:"queue"`
	Task    string  `json:"task"`
	Run     int     `json:"run"`
	Agent   string  `json:"agent"`
	Kind    string  `json:"kind"`
	CPU     int     `json:"cpu"` // thousandths of a core
	EstMs   int64   `json:"est_ms"`
	Pace    int     `json:"pace"` // percent
	To      int     `json:"to"`   // percent
	How     string  `json:"how"`
	Kept    bool    `json:"kept"`
	AfterMs int64   `json:"after_ms"`
	State   string  `json:"state"`
	Why     string  `json:"why"`
	Serving int     `json:"serving"`
	Over    int     `json:"over"`
	Beside  int     `json:"beside"`
	Load    float64 `json:"load"`
}

// Read reads the log lines of the processes of one fleet. Outputs of several processes may be mixed, so it skips what is not a log line, also
// between two log lines on one line of the input. It returns an error only if the input cannot be read.
func Read(r io.Reader) (*Day, error) {
	d := newDay()
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64*1024), maxLineBytes)
	for scanner.Scan() {
		for _, part := range bytes.Split(scanner.Bytes(), []byte(lineStart))[1:] {
			var l line
			if json.NewDecoder(io.MultiReader(strings.NewReader(lineStart), bytes.NewReader(part))).Decode(&l) == nil && l.TimeMs > 0 {
				d.add(&l)
			}
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, eris.Wrap(err, "read log lines")
	}
	d.finish()
	return d, nil
}

// add takes the events of one line. The lines of one process are in order; those of different processes nearly so.
func (d *Day) add(l *line) {
	switch l.Event {
	case events.JobsOwned.ID:
		d.owned(l)
	case events.JobsReleased.ID:
		if l.Process == d.owner {
			d.owner, d.ownerlessSinceMs = "", l.TimeMs
		}
	case events.WorkerSeen.ID:
		if l.CPU > 0 {
			d.worker(l.Agent).CPU = l.CPU
		}
	case events.JobAccepted.ID:
		j := d.job(l.Job)
		j.queue, j.acceptedMs, j.ackMs = l.Queue, l.TimeMs-l.AfterMs, l.AfterMs
	case events.RunPlaced.ID:
		d.placed(l)
	case events.RunStarted.ID:
		if r := d.runs[runID{l.Task, l.Run}]; r != nil && r.startedMs == 0 {
			r.startedMs = l.TimeMs
		} else if r == nil {
			d.earlyStarts[runID{l.Task, l.Run}] = l.TimeMs
		}
	case events.RunPaced.ID:
		if r := d.runs[runID{l.Task, l.Run}]; r != nil {
			r.paces = append(r.paces, pace{l.TimeMs, l.To})
		}
	case events.RunEnded.ID:
		d.ended(l)
	case events.JobEnded.ID:
		j := d.job(l.Job)
		j.endedMs, j.state = l.TimeMs, l.State
	case events.ColocationSeen.ID:
		d.servingSeen = append(d.servingSeen, servingSeen{l.TimeMs, l.Serving, l.Over, l.Beside, l.Load})
	}
	if l.Process == d.owner {
		d.ownerSeenMs = l.TimeMs
	}
	if d.firstMs == 0 || l.TimeMs < d.firstMs {
		d.firstMs = l.TimeMs
	}
	d.lastMs = max(d.lastMs, l.TimeMs)
}

// stepOf returns the number of the step in a task ID, JOB.OCCURRENCE.STEP.INDEX, with the occurrence; "" for another form.
func stepOf(task string) string {
	end := strings.LastIndexByte(task, '.')
	if end < 0 {
		return ""
	}
	return task[:end]
}
