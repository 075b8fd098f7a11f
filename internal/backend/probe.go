package backend

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// Probing of the backend server while an answer is due. HTTP/1.1 has no probe inside a connection, so the server is
// asked on a connection of its own; it is found silent within ProbeInterval + ProbeTimeout.
const (
	ProbeInterval = 1 * time.Second
	ProbeTimeout  = 2 * time.Second
)

// ErrSilent: the backend server did not answer a probe; whether the request ran is not known.
var ErrSilent = errors.New("backend server does not answer probes")

// prober asks the server "OPTIONS *" every ProbeInterval while requests are watched. Any answer counts. mu guards the
// fields below it.
type prober struct {
	url       string
	transport *http.Transport

	mu      sync.Mutex
	next    int
	cancels map[int]context.CancelCauseFunc
	stop    context.CancelFunc // of the running loop; nil without one
}

func newProber(addr string) *prober {
	return &prober{
		url:       "http://" + addr,
		cancels:   map[int]context.CancelCauseFunc{},
		transport: &http.Transport{DialContext: dial, MaxConnsPerHost: 1, IdleConnTimeout: 2 * ProbeInterval},
	}
}

// watch returns a context that ends with ErrSilent when the server stops to answer. done must be called once.
func (p *prober) watch(parent context.Context) (ctx context.Context, done func()) {
	ctx, cancel := context.WithCancelCause(parent)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next++
	id := p.next
	p.cancels[id] = cancel
	if p.stop == nil {
		loopCtx, stop := context.WithCancel(context.Background())
		p.stop = stop
		go p.loop(loopCtx)
	}
	return ctx, func() { p.forget(id, cancel) }
}

func (p *prober) forget(id int, cancel context.CancelCauseFunc) {
	cancel(nil)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.cancels, id)
}

func (p *prober) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stop != nil {
		p.stop()
	}
	p.transport.CloseIdleConnections()
}

// loop probes until nothing is watched any more.
func (p *prober) loop(ctx context.Context) {
	ticker := time.NewTicker(ProbeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		watched := p.watched()
		if len(watched) == 0 && p.endLoop() {
			return
		}
		if len(watched) > 0 && !p.ask(ctx) && ctx.Err() == nil {
			p.fail(watched)
		}
	}
}

func (p *prober) watched() []int {
	p.mu.Lock()
	defer p.mu.Unlock()
	ids := make([]int, 0, len(p.cancels))
	for id := range p.cancels {
		ids = append(ids, id)
	}
	return ids
}

func (p *prober) endLoop() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.cancels) > 0 {
		return false
	}
	p.stop()
	p.stop = nil
	return true
}

// ask reports whether the server answers. A refused connection is an answer: the requests in flight see their own
// connections break.
func (p *prober) ask(ctx context.Context) bool {
	err := p.probe(ctx)
	return err == nil || !errors.Is(err, context.DeadlineExceeded)
}

// reachable reports whether the server accepts a connection and answers on it.
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

// fail ends the requests that were due before the probe was sent.
func (p *prober) fail(ids []int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range ids {
		if cancel := p.cancels[id]; cancel != nil {
			cancel(ErrSilent)
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
