package backend

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// Parameters of the probes of the backend server. HTTP/1.1 has no ping within a connection, so probes use a separate
// connection. A server that stops responding is detected within ProbeInterval + ProbeTimeout.
const (
	ProbeInterval = 1 * time.Second
	ProbeTimeout  = 2 * time.Second
)

// ErrUnresponsive means that the backend server did not respond to a probe. It is unknown whether the pending request was
// run.
var ErrUnresponsive = errors.New("backend server does not answer probes")

// prober sends "OPTIONS *" to the server every ProbeInterval while requests are pending. Any response counts as success. mu
// guards the fields below it.
type prober struct {
	url       string
	transport *http.Transport

	mu            sync.Mutex
	lastRequestID int                             // ID of the newest watched request
	cancelByID    map[int]context.CancelCauseFunc // cancel functions of the watched requests
	stopLoop      context.CancelFunc              // stops the running loop; nil if none runs
}

func newProber(addr string, dial dialContext) *prober {
	return &prober{
		url:        "http://" + addr,
		cancelByID: map[int]context.CancelCauseFunc{},
		transport:  &http.Transport{DialContext: dial, MaxConnsPerHost: 1, IdleConnTimeout: 2 * ProbeInterval},
	}
}

// watch returns a context for a request. The context is cancelled with cause ErrUnresponsive when the server stops responding.
// The caller must call done when the request has ended.
func (p *prober) watch(parent context.Context) (ctx context.Context, done func()) {
	ctx, cancel := context.WithCancelCause(parent)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastRequestID++
	id := p.lastRequestID
	p.cancelByID[id] = cancel
	if p.stopLoop == nil {
		loopCtx, stop := context.WithCancel(context.Background())
		p.stopLoop = stop
		go p.runProbeLoop(loopCtx)
	}
	return ctx, func() { p.unwatch(id, cancel) }
}

// unwatch ends the watch of a request and cancels the context of the request.
func (p *prober) unwatch(id int, cancel context.CancelCauseFunc) {
	cancel(nil)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.cancelByID, id)
}

// stop stops the probe loop and closes the idle connection of the prober.
func (p *prober) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopLoop != nil {
		p.stopLoop()
	}
	p.transport.CloseIdleConnections()
}

// runProbeLoop probes the server every ProbeInterval until no request is watched or ctx is done.
func (p *prober) runProbeLoop(ctx context.Context) {
	ticker := time.NewTicker(ProbeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		watched := p.watchedRequestIDs()
		if len(watched) == 0 && p.stopLoopIfIdle() {
			return
		}
		if len(watched) > 0 && !p.responds(ctx) && ctx.Err() == nil {
			p.cancelRequests(watched)
		}
	}
}

// watchedRequestIDs returns the IDs of the watched requests.
func (p *prober) watchedRequestIDs() []int {
	p.mu.Lock()
	defer p.mu.Unlock()
	ids := make([]int, 0, len(p.cancelByID))
	for id := range p.cancelByID {
		ids = append(ids, id)
	}
	return ids
}

// stopLoopIfIdle stops the loop if no request is watched. It reports whether the loop was stopped.
func (p *prober) stopLoopIfIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.cancelByID) > 0 {
		return false
	}
	p.stopLoop()
	p.stopLoop = nil
	return true
}

// responds reports whether the server responds to a probe within ProbeTimeout. A refused connection counts as a response,
// because the requests in flight then fail on their own connections.
func (p *prober) responds(ctx context.Context) bool {
	err := p.probe(ctx)
	return err == nil || !errors.Is(err, context.DeadlineExceeded)
}

// reachable reports whether the server accepts a connection and responds to a probe on it.
func (p *prober) reachable(ctx context.Context) bool { return p.probe(ctx) == nil }

// probe sends one probe. It returns nil if the server sent any response within ProbeTimeout.
func (p *prober) probe(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, ProbeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodOptions, p.url, nil)
	if err != nil {
		return err
	}
	req.URL.Opaque = "*"
	resp, err := p.transport.RoundTrip(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// cancelRequests cancels those of the given requests that are still watched.
func (p *prober) cancelRequests(ids []int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range ids {
		if cancel := p.cancelByID[id]; cancel != nil {
			cancel(ErrUnresponsive)
		}
	}
}

// watchedBody is a response body that ends the watch of its request when the body is closed.
type watchedBody struct {
	io.ReadCloser
	done func()
}

// Close implements io.Closer.
func (b *watchedBody) Close() error {
	err := b.ReadCloser.Close()
	b.done()
	return err
}
