package backend

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// Parameters of the probes of the backend server. HTTP/1.1 has no ping within a connection, so probes use a connection of
// their own. A server that stops responding is detected within ProbeInterval + ProbeTimeout.
const (
	ProbeInterval = 1 * time.Second
	ProbeTimeout  = 2 * time.Second
)

// ErrUnresponsive means that the backend server did not respond to a probe; it is unknown whether the request was run.
var ErrUnresponsive = errors.New("backend server does not answer probes")

// prober sends "OPTIONS *" to the server every ProbeInterval while requests are watched. Any response counts as success.
// mu guards the fields below it.
type prober struct {
	url       string
	transport *http.Transport

	mu       sync.Mutex
	lastID   int
	cancels  map[int]context.CancelCauseFunc
	stopLoop context.CancelFunc // stops the running loop; nil if none runs
}

func newProber(addr string) *prober {
	return &prober{
		url:       "http://" + addr,
		cancels:   map[int]context.CancelCauseFunc{},
		transport: &http.Transport{DialContext: dial, MaxConnsPerHost: 1, IdleConnTimeout: 2 * ProbeInterval},
	}
}

// watch returns a context that is cancelled with cause ErrUnresponsive when the server stops responding. done must be called
// when the request has ended.
func (p *prober) watch(parent context.Context) (ctx context.Context, done func()) {
	ctx, cancel := context.WithCancelCause(parent)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastID++
	id := p.lastID
	p.cancels[id] = cancel
	if p.stopLoop == nil {
		loopCtx, stop := context.WithCancel(context.Background())
		p.stopLoop = stop
		go p.loop(loopCtx)
	}
	return ctx, func() { p.unwatch(id, cancel) }
}

// unwatch ends the watch of a request.
func (p *prober) unwatch(id int, cancel context.CancelCauseFunc) {
	cancel(nil)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.cancels, id)
}

func (p *prober) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopLoop != nil {
		p.stopLoop()
	}
	p.transport.CloseIdleConnections()
}

// loop probes the server until no request is watched.
func (p *prober) loop(ctx context.Context) {
	ticker := time.NewTicker(ProbeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		watched := p.watchedIDs()
		if len(watched) == 0 && p.stopLoopIfIdle() {
			return
		}
		if len(watched) > 0 && !p.responds(ctx) && ctx.Err() == nil {
			p.cancelRequests(watched)
		}
	}
}

// watchedIDs returns the IDs of the watched requests.
func (p *prober) watchedIDs() []int {
	p.mu.Lock()
	defer p.mu.Unlock()
	ids := make([]int, 0, len(p.cancels))
	for id := range p.cancels {
		ids = append(ids, id)
	}
	return ids
}

// stopLoopIfIdle stops the loop if no request is watched, and reports whether it did.
func (p *prober) stopLoopIfIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.cancels) > 0 {
		return false
	}
	p.stopLoop()
	p.stopLoop = nil
	return true
}

// responds reports whether the server responds to a probe within ProbeTimeout. A refused connection counts as a response:
// the requests in flight then fail on their own connections.
func (p *prober) responds(ctx context.Context) bool {
	err := p.probe(ctx)
	return err == nil || !errors.Is(err, context.DeadlineExceeded)
}

// reachable reports whether the server accepts a connection and responds to a probe on it.
func (p *prober) reachable(ctx context.Context) bool { return p.probe(ctx) == nil }

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

// cancelRequests cancels the requests that were watched before the probe was sent and still are.
func (p *prober) cancelRequests(ids []int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range ids {
		if cancel := p.cancels[id]; cancel != nil {
			cancel(ErrUnresponsive)
		}
	}
}

// watchedBody ends the watch when the body is closed.
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
