package command

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"bamboofork/internal/entry"
	"bamboofork/internal/ledger"
	"bamboofork/internal/scheduler"
)

// jobFlags holds the arguments of the subcommands of jobs.
type jobFlags struct {
	jobID          string
	idempotencyKey string
	payloadFile    string
	request        entry.JobRequest
	runTime        time.Duration
	finishWithin   time.Duration
	waitTimeout    time.Duration
	taskIndex      int // -1: all tasks
}

func (c *cli) addJobs(p *flaggy.Parser, actions map[*flaggy.Subcommand]action) {
	f := &jobFlags{request: entry.JobRequest{Tasks: 1}, runTime: time.Minute, waitTimeout: time.Hour, taskIndex: -1}
	f.request.Need.Cores = 1
	jobs := flaggy.NewSubcommand("jobs")
	jobs.Description = "Submit and monitor batch jobs."
	p.AttachSubcommand(jobs, 1)
	submit := subcommand(jobs, actions, "submit", "Submit a job; accepted means durable.", func(ctx context.Context) error { return c.jobSubmit(ctx, f) })
	submit.AddPositionalValue(&f.request.Branch, "branch", 1, true, "Batch branch.")
	submit.String(&f.idempotencyKey, "k", "key", "Idempotency key; a repeated submission with the same key refers to the same job.")
	submit.Int(&f.request.Tasks, "t", "tasks", "Number of tasks.")
	submit.Float64(&f.request.Need.Cores, "", "cores", "Cores of each task.")
	submit.Int64(&f.request.Need.MemoryMB, "", "memory-mb", "Memory of each task in megabytes.")
	submit.Int(&f.request.Need.Accelerators, "", "accelerators", "Accelerators of each task.")
	submit.Duration(&f.runTime, "r", "run", "Declared run time of each task.")
	submit.Duration(&f.finishWithin, "d", "deadline", "Time within which the job should finish.")
	submit.Bool(&f.request.Gang, "g", "gang", "Start all tasks together or not at all.")
	submit.String(&f.payloadFile, "", "payload", "File with the payload of the tasks.")
	subcommand(jobs, actions, "list", "List the latest jobs.", c.jobList)
	for _, cmd := range []struct {
		name, text string
		run        func(context.Context, *jobFlags) error
	}{
		{"status", "Show a job and its tasks.", c.jobStatus},
		{"explain", "Show the latest decision about each task.", c.jobExplain},
		{"cancel", "Cancel a job.", c.jobCancel},
		{"wait", "Wait until a job has finished.", c.jobWait},
	} {
		sub := subcommand(jobs, actions, cmd.name, cmd.text, func(ctx context.Context) error { return cmd.run(ctx, f) })
		sub.AddPositionalValue(&f.jobID, "job", 1, true, "Job ID.")
		if cmd.name == "explain" {
			sub.Int(&f.taskIndex, "t", "task", "Show the decisions about one task; tasks are numbered from 0.")
		}
		if cmd.name == "wait" {
			sub.Duration(&f.waitTimeout, "w", "timeout", "Longest time to wait.")
		}
	}
}

func (c *cli) jobSubmit(ctx context.Context, f *jobFlags) error {
	f.request.RunMs = f.runTime.Milliseconds()
	f.request.DeadlineMs = f.finishWithin.Milliseconds()
	if f.payloadFile != "" {
		data, err := os.ReadFile(f.payloadFile)
		if err != nil {
			return err
		}
		f.request.Payload = data
	}
	if f.idempotencyKey == "" {
		f.idempotencyKey = entry.NewID() // after a lost response, submitting again with this key resolves the outcome
	}
	var out struct {
		ID string `json:"id"`
	}
	if _, err := c.call(ctx, http.MethodPost, entry.PathJobs, f.idempotencyKey, f.request, &out); err != nil {
		return fmt.Errorf("%w; key %s", err, f.idempotencyKey)
	}
	return c.print(map[string]string{"id": out.ID, "key": f.idempotencyKey}, table{header: []any{"JOB", "KEY"}, rows: [][]any{{out.ID, f.idempotencyKey}}})
}

func (c *cli) jobList(ctx context.Context) error {
	var list struct {
		Jobs              []ledger.Job `json:"jobs"`
		PartitionsMissing int          `json:"partitions_missing"`
	}
	if _, err := c.call(ctx, http.MethodGet, entry.PathJobs, "", nil, &list); err != nil {
		return err
	}
	t := table{header: []any{"JOB", "BRANCH", "SUBMITTED", "TASKS", "PENDING", "PLACED", "DONE", "FAILED", "OTHER"}}
	for _, j := range list.Jobs {
		n := countStates(j)
		otherCount := len(j.Tasks) - n[ledger.TaskPending] - n[ledger.TaskPlaced] - n[ledger.TaskDone] - n[ledger.TaskFailed]
		t.add(j.ID, j.Branch, j.Submitted.Format(time.RFC3339), len(j.Tasks), n[ledger.TaskPending], n[ledger.TaskPlaced], n[ledger.TaskDone], n[ledger.TaskFailed], otherCount)
	}
	if list.PartitionsMissing > 0 {
		fmt.Fprintf(c.stderr, "warning: %d partitions did not respond; their jobs are not listed\n", list.PartitionsMissing)
	}
	return c.print(list, t)
}

func countStates(j ledger.Job) map[ledger.TaskState]int {
	n := map[ledger.TaskState]int{}
	for _, t := range j.Tasks {
		n[t.State]++
	}
	return n
}

func (c *cli) fetchJob(ctx context.Context, id string) (entry.JobView, error) {
	var view entry.JobView
	_, err := c.call(ctx, http.MethodGet, entry.PathJobs+"/"+id, "", nil, &view)
	return view, err
}

func (c *cli) jobStatus(ctx context.Context, f *jobFlags) error {
	view, err := c.fetchJob(ctx, f.jobID)
	if err != nil {
		return err
	}
	t := table{header: []any{"TASK", "STATE", "ATTEMPT", "AGENT", "EVICTIONS", "RESUMES", "FAILURES", "REASON"}}
	for i, task := range view.Tasks {
		t.add(i, task.State, task.Attempt, orDash(task.Agent), task.Evictions, task.Resumes, task.Failures, orDash(task.Reason))
	}
	return c.print(view, t)
}

// taskExplain prints the latest decisions about one task: those of the partition's owner and those of the agent.
func (c *cli) taskExplain(ctx context.Context, f *jobFlags) error {
	var records []scheduler.Record
	path := fmt.Sprintf("%s/%s/tasks/%d/decisions", entry.PathJobs, f.jobID, f.taskIndex)
	if _, err := c.call(ctx, http.MethodGet, path, "", nil, &records); err != nil {
		return err
	}
	t := table{header: []any{"TIME", "WHAT", "WHY"}}
	for _, r := range records {
		t.add(r.At.Format(time.RFC3339Nano), r.What, orDash(r.Why))
	}
	return c.print(records, t)
}

func (c *cli) jobExplain(ctx context.Context, f *jobFlags) error {
	if f.taskIndex >= 0 {
		return c.taskExplain(ctx, f)
	}
	view, err := c.fetchJob(ctx, f.jobID)
	if err != nil {
		return err
	}
	t := table{header: []any{"TASK", "STATE", "NEWEST DECISION"}}
	for i, task := range view.Tasks {
		decision := ""
		if i < len(view.Explain) {
			decision = view.Explain[i]
		}
		t.add(i, task.State, orDash(decision))
	}
	return c.print(view.Explain, t)
}

func (c *cli) jobCancel(ctx context.Context, f *jobFlags) error {
	if _, err := c.call(ctx, http.MethodDelete, entry.PathJobs+"/"+f.jobID, "", nil, nil); err != nil {
		return err
	}
	return c.print(map[string]string{"cancelled": f.jobID}, table{header: []any{"CANCELLED"}, rows: [][]any{{f.jobID}}})
}

func (c *cli) jobWait(ctx context.Context, f *jobFlags) error {
	deadline := time.Now().Add(f.waitTimeout)
	lastLine := ""
	for {
		view, err := c.fetchJob(ctx, f.jobID)
		if err == nil && view.Finished() {
			return c.waitResult(ctx, f, view)
		}
		if line := progressLine(view, err); line != lastLine {
			lastLine = line
			fmt.Fprintln(c.stderr, line)
		}
		if time.Now().After(deadline) {
			return notReadyError{fmt.Errorf("job %s has not finished after %s", f.jobID, f.waitTimeout)}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(waitPollInterval):
		}
	}
}

func progressLine(view entry.JobView, err error) string {
	if err != nil {
		return err.Error()
	}
	n := countStates(view.Job)
	return fmt.Sprintf("%d of %d tasks done, %d placed, %d pending", n[ledger.TaskDone], len(view.Tasks), n[ledger.TaskPlaced], n[ledger.TaskPending])
}

// waitResult prints the tasks of a finished job. It returns an error unless all tasks are done.
func (c *cli) waitResult(ctx context.Context, f *jobFlags, view entry.JobView) error {
	if err := c.jobStatus(ctx, f); err != nil {
		return err
	}
	if done := countStates(view.Job)[ledger.TaskDone]; done < len(view.Tasks) {
		return fmt.Errorf("%d of %d tasks done", done, len(view.Tasks))
	}
	return nil
}
