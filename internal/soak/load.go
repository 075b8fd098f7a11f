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

// send sends one request to an entry. An error means that no complete response arrived.
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

const requestTimeout = 12 * time.Second

// runQuickCaller sends latency-critical requests and checks that each response belongs to its request.
func (r *Run) runQuickCaller(ctx context.Context, caller int) {
	rng := rand.New(rand.NewPCG(r.cfg.Seed, 100+uint64(caller)))
	for i := 0; ctx.Err() == nil; i++ {
		body := fmt.Sprintf("scan-%d-%d", caller, i)
		got, err := r.send(ctx, http.MethodPost, "/v1/run/workshop/foot-scan/fitting-desk/-/scan", "", body, rng.IntN(r.entries))
		switch {
		case ctx.Err() != nil:
		case err != nil:
			r.count("quick no answer")
		case got.status == http.StatusOK && strings.HasSuffix(got.body, " /scan "+body+"\n"):
			r.count("quick answered")
		case got.status == http.StatusOK:
			r.fail("response %q to request %q", got.body, body)
		default:
			r.count("quick " + string(got.outcome))
		}
		app.Sleep(ctx, time.Duration(rng.IntN(40))*time.Millisecond)
	}
}

// order is a request with an idempotency key and the outcome that its caller saw.
type order struct {
	key     string
	notRun  bool // sent once and reported as not run
	success bool
}

// runOrderCaller sends requests with an idempotency key. Every third is sent only once, so that a reported "not run" can be
// checked; the others are retried with the same key at random entries.
func (r *Run) runOrderCaller(ctx context.Context, caller int) {
	rng := rand.New(rand.NewPCG(r.cfg.Seed, 200+uint64(caller)))
	for i := 0; ctx.Err() == nil; i++ {
		o := order{key: fmt.Sprintf("order-%d-%d-%d", r.cfg.Seed, caller, i)}
		attempts := 4
		if i%3 == 0 {
			attempts = 1
		}
		for range attempts {
			got, err := r.send(context.WithoutCancel(ctx), http.MethodPost, "/v1/run/workshop/moulding-orders/-/order", o.key, o.key, rng.IntN(r.entries))
			if err == nil && got.status == http.StatusOK {
				o.success = true
				if !strings.HasSuffix(got.body, " /order "+o.key+"\n") {
					r.fail("response %q to request %q", got.body, o.key)
				}
				break
			}
			o.notRun = attempts == 1 && err == nil && got.outcome == wire.OutcomeNotRun
			app.Sleep(ctx, 100*time.Millisecond)
		}
		r.addOrder(o)
		app.Sleep(ctx, time.Duration(rng.IntN(80))*time.Millisecond)
	}
}

// jobRecord is an accepted job as its caller knows it.
type jobRecord struct {
	id        string
	cancelled bool // its cancellation was requested and may have been accepted
}

// runJobCaller submits jobs and requests the cancellation of about every eighth.
func (r *Run) runJobCaller(ctx context.Context, caller int) {
	rng := rand.New(rand.NewPCG(r.cfg.Seed, 300+uint64(caller)))
	for i := 0; ctx.Err() == nil; i++ {
		id, ok := r.submit(ctx, rng, fmt.Sprintf("job-%d-%d-%d", r.cfg.Seed, caller, i))
		if ok {
			rec := jobRecord{id: id}
			if rng.IntN(8) == 0 {
				app.Sleep(ctx, time.Duration(rng.IntN(1500))*time.Millisecond)
				rec.cancelled = true
				if _, err := r.send(context.WithoutCancel(ctx), http.MethodDelete, entry.PathJobs+"/"+id, "", "", rng.IntN(r.entries)); err != nil {
					r.count("cancel no answer")
				}
			}
			r.addJob(rec)
		}
		app.Sleep(ctx, time.Duration(200+rng.IntN(600))*time.Millisecond)
	}
}

// submit retries a submission with the same idempotency key until it is accepted or ctx is done.
func (r *Run) submit(ctx context.Context, rng *rand.Rand, key string) (string, bool) {
	body, err := json.Marshal(entry.JobRequest{
		Branch: "workshop/moulding-plans", Tasks: 1 + rng.IntN(4), RunMs: int64(100 + rng.IntN(3000)),
		Need: worker.Resources{Cores: float64(1 + rng.IntN(24)), MemoryMB: int64(100 + rng.IntN(20_000))},
	})
	if err != nil {
		r.fail("encode job: %v", err)
		return "", false
	}
	for ctx.Err() == nil {
		got, err := r.send(ctx, http.MethodPost, entry.PathJobs, key, string(body), rng.IntN(r.entries))
		if err == nil && got.status == http.StatusAccepted {
			var out struct{ ID string }
			if err := json.Unmarshal([]byte(got.body), &out); err != nil {
				r.fail("decode %q: %v", got.body, err)
				return "", false
			}
			r.count("job accepted")
			return out.ID, true
		}
		r.count("job submission repeated")
		app.Sleep(ctx, 300*time.Millisecond)
	}
	return "", false
}

// runEditor edits the settings tree and records the latest accepted revision, which settle expects to become active everywhere.
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
				r.count("edit accepted")
				r.latestRevision.Store(max(rev, r.latestRevision.Load()))
			}
		}
		cancel()
		if err != nil {
			r.count("edit not accepted or uncertain")
		}
		app.Sleep(ctx, 500*time.Millisecond)
	}
}
