package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"bamboofork/internal/app"
	"bamboofork/internal/entry"
	"bamboofork/internal/settings"
	"bamboofork/internal/store/etcdgw"
	"bamboofork/internal/wire"
	"bamboofork/internal/worker"
)

// response is the response of an entry to a request.
type response struct {
	status  int
	outcome wire.Outcome
	body    string
}

// send sends one request to the entry with the given index. key is the idempotency key; "": none. An error means that no complete
// response arrived.
func (r *Run) send(ctx context.Context, method, path, key, body string, entryIndex int) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, r.fleet.EntryURL(entryIndex)+path, strings.NewReader(body))
	if err != nil {
		return response{}, err
	}
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set(wire.HeaderKey, key)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, wire.Outcome(resp.Header.Get(wire.HeaderOutcome)), string(data)}, err
}

// requestTimeout limits the duration of one attempt of a request.
const requestTimeout = 12 * time.Second

// runScanCaller sends latency-critical requests until ctx is done and checks that each response belongs to its request.
func (r *Run) runScanCaller(ctx context.Context, caller int) {
	rng := rand.New(rand.NewPCG(r.cfg.Seed, 100+uint64(caller)))
	for i := 0; ctx.Err() == nil; i++ {
		body := fmt.Sprintf("scan-%d-%d", caller, i)
		got, err := r.send(ctx, http.MethodPost, "/v1/run/workshop/foot-scan/fitting-desk/-/scan", "", body, rng.IntN(r.entryCount))
		switch {
		case ctx.Err() != nil:
		case err != nil:
			r.countEvent("quick no answer")
		case got.status == http.StatusOK && strings.HasSuffix(got.body, " /scan "+body+"\n"):
			r.countEvent("quick answered")
		case got.status == http.StatusOK:
			r.recordFailure("response %q to request %q", got.body, body)
		default:
			r.countEvent("quick " + string(got.outcome))
		}
		app.Sleep(ctx, time.Duration(rng.IntN(40))*time.Millisecond)
	}
}

// order is a request with an idempotency key and the outcome that its caller received.
type order struct {
	key            string
	reportedNotRun bool // sent only once, and the response had the outcome not_run
	succeeded      bool // a response had the status 200
}

// runOrderCaller sends requests with an idempotency key until ctx is done. Every third request is sent only once, so that checkOrders
// can verify a response with the outcome not_run. The other requests are retried at random entries with the same key, up to four
// attempts in all.
func (r *Run) runOrderCaller(ctx context.Context, caller int) {
	rng := rand.New(rand.NewPCG(r.cfg.Seed, 200+uint64(caller)))
	for i := 0; ctx.Err() == nil; i++ {
		o := order{key: fmt.Sprintf("order-%d-%d-%d", r.cfg.Seed, caller, i)}
		maxAttempts := 4
		if i%3 == 0 {
			maxAttempts = 1
		}
		for range maxAttempts {
			got, err := r.send(context.WithoutCancel(ctx), http.MethodPost, "/v1/run/workshop/moulding-orders/-/order", o.key, o.key, rng.IntN(r.entryCount))
			if err == nil && got.status == http.StatusOK {
				o.succeeded = true
				if !strings.HasSuffix(got.body, " /order "+o.key+"\n") {
					r.recordFailure("response %q to request %q", got.body, o.key)
				}
				break
			}
			o.reportedNotRun = maxAttempts == 1 && err == nil && got.outcome == wire.OutcomeNotRun
			app.Sleep(ctx, 100*time.Millisecond)
		}
		r.addOrder(o)
		app.Sleep(ctx, time.Duration(rng.IntN(80))*time.Millisecond)
	}
}

// jobRecord is what the caller knows about a job that was accepted.
type jobRecord struct {
	id              string
	cancelRequested bool // the caller requested the cancellation of the job, and the request may have been accepted
}

// runJobCaller submits jobs until ctx is done. It requests the cancellation of about one job in eight.
func (r *Run) runJobCaller(ctx context.Context, caller int) {
	rng := rand.New(rand.NewPCG(r.cfg.Seed, 300+uint64(caller)))
	for i := 0; ctx.Err() == nil; i++ {
		id, ok := r.submitJob(ctx, rng, fmt.Sprintf("job-%d-%d-%d", r.cfg.Seed, caller, i))
		if ok {
			rec := jobRecord{id: id}
			if rng.IntN(8) == 0 {
				app.Sleep(ctx, time.Duration(rng.IntN(1500))*time.Millisecond)
				rec.cancelRequested = true
				if _, err := r.send(context.WithoutCancel(ctx), http.MethodDelete, entry.PathJobs+"/"+id, "", "", rng.IntN(r.entryCount)); err != nil {
					r.countEvent("cancel no answer")
				}
			}
			r.addJob(rec)
		}
		app.Sleep(ctx, time.Duration(200+rng.IntN(600))*time.Millisecond)
	}
}

// submitJob submits a job and repeats the submission with the same idempotency key until it is accepted or ctx is done. It returns the
// job's ID, and false if the job was not accepted.
func (r *Run) submitJob(ctx context.Context, rng *rand.Rand, key string) (string, bool) {
	body, err := json.Marshal(entry.JobRequest{
		Branch: "workshop/moulding-plans", Tasks: 1 + rng.IntN(4), RunMs: int64(100 + rng.IntN(3000)),
		Need: worker.Resources{Cores: float64(1 + rng.IntN(24)), MemoryMB: int64(100 + rng.IntN(20_000))},
	})
	if err != nil {
		r.recordFailure("encode job: %v", err)
		return "", false
	}
	for ctx.Err() == nil {
		got, err := r.send(ctx, http.MethodPost, entry.PathJobs, key, string(body), rng.IntN(r.entryCount))
		if err == nil && got.status == http.StatusAccepted {
			var out struct{ ID string }
			if err := json.Unmarshal([]byte(got.body), &out); err != nil {
				r.recordFailure("decode %q: %v", got.body, err)
				return "", false
			}
			r.countEvent("job accepted")
			return out.ID, true
		}
		r.countEvent("job submission repeated")
		app.Sleep(ctx, 300*time.Millisecond)
	}
	return "", false
}

// runEditor edits the settings tree until ctx is done. It records the latest accepted revision; settle checks that this revision becomes
// active in every process.
func (r *Run) runEditor(ctx context.Context) {
	st := etcdgw.NewClient(r.fleet.StoreURL, time.Second)
	defer st.Close()
	repo := settings.NewRepository(st, "soak")
	rng := rand.New(rand.NewPCG(r.cfg.Seed, 400))
	for ctx.Err() == nil {
		weight := fmt.Sprint(20 + rng.IntN(60))
		callCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
		_, base, err := repo.Load(callCtx)
		if err == nil {
			var rev int64
			rev, err = repo.Commit(callCtx, base, settings.Edit{Author: "soak", Changes: []settings.Change{
				{Branch: "workshop/foot-scan/fitting-desk", Set: map[string]*string{"weight": &weight}}}})
			if err == nil {
				r.countEvent("edit accepted")
				r.latestRevision.Store(max(rev, r.latestRevision.Load()))
			}
		}
		cancel()
		if err != nil {
			r.countEvent("edit not accepted or uncertain")
		}
		app.Sleep(ctx, 500*time.Millisecond)
	}
}
