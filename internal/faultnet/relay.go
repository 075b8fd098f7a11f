// Package faultnet relays TCP connections and injects faults into them: delay, loss
// (seen by TCP as stalls), silence, resets and half-open connections. It serves tests
// and measurements; a relay stands between two processes and forwards bytes.
package faultnet

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Direction selects the flow of bytes of a connection.
type Direction int

// Directions, as seen from the side that dialled.
const (
	ToServer Direction = iota
	ToClient
)

// Faults of a link. They apply to bytes that are read after they were set.
type Faults struct {
	Delay  time.Duration // one way
	Jitter time.Duration // added to Delay, uniformly distributed
	Loss   float64       // share of segments that are lost; a loss stalls its direction by Stall
	Stall  time.Duration // until the retransmission arrives, default 200 ms
	Refuse bool          // new connections are reset
	Mute   bool          // new connections are accepted and stay silent
}

// Sizes and defaults of a relay.
const (
	segmentBytes = 16 << 10
	queueLength  = 64 // segments in flight of one direction
	defaultStall = 200 * time.Millisecond
	dialTimeout  = time.Second
)

// Relay forwards the connections made to Addr to a target. mu guards the fields below it.
type Relay struct {
	target   string
	listener net.Listener

	mu     sync.Mutex
	rng    *rand.Rand
	faults Faults
	links  map[*link]bool
	closed bool
	wg     sync.WaitGroup
}

// New starts a relay on a free loopback port. The seed determines delays and losses.
func New(target string, seed uint64) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "relay listener")
	}
	r := &Relay{target: target, listener: l, rng: rand.New(rand.NewPCG(seed, 0)), links: map[*link]bool{}}
	r.wg.Add(1)
	go r.accept()
	return r, nil
}

// Addr is the address to dial instead of the target's.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// SetFaults replaces the faults of the link.
func (r *Relay) SetFaults(f Faults) {
	if f.Stall == 0 {
		f.Stall = defaultStall
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

// Silence makes the established connections swallow everything in the directions for good, without closing them. New
// connections work. It returns the number of connections.
func (r *Relay) Silence(directions ...Direction) int {
	links := r.snapshot()
	for _, l := range links {
		for _, d := range directions {
			l.silence(d)
		}
	}
	return len(links)
}

// Reset aborts the established connections at both ends and returns their number.
func (r *Relay) Reset() int {
	links := r.snapshot()
	for _, l := range links {
		l.reset()
	}
	return len(links)
}

// HalfOpen aborts the established connections at the server's end only; the client's end stays open and silent.
func (r *Relay) HalfOpen() int {
	links := r.snapshot()
	for _, l := range links {
		l.silence(ToServer)
		l.silence(ToClient)
		abort(l.server)
	}
	return len(links)
}

// Links is the number of established connections.
func (r *Relay) Links() int { return len(r.snapshot()) }

// Close ends the relay and its connections and waits for its goroutines.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.listener.Close()
	r.Reset()
	r.wg.Wait()
}

func (r *Relay) snapshot() []*link {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]*link, 0, len(r.links))
	for l := range r.links {
		out = append(out, l)
	}
	return out
}

func (r *Relay) accept() {
	defer r.wg.Done()
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.wg.Add(1)
		go r.open(client)
	}
}

func (r *Relay) current() Faults {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults
}

// open connects an accepted connection with the target.
func (r *Relay) open(client net.Conn) {
	defer r.wg.Done()
	f := r.current()
	if f.Refuse {
		abort(client)
		return
	}
	server, err := net.DialTimeout("tcp", r.target, dialTimeout)
	if err != nil {
		abort(client)
		return
	}
	l := newLink(client, server)
	if f.Mute {
		l.silence(ToServer)
		l.silence(ToClient)
	}
	if !r.add(l) {
		l.reset()
		return
	}
	r.wg.Add(2)
	go r.pump(l, ToServer, client, server)
	go r.pump(l, ToClient, server, client)
}

func (r *Relay) add(l *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.links[l] = true
	}
	return !r.closed
}

func (r *Relay) drop(l *link) {
	l.reset()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, l)
}

// segment is a piece of a stream with the time at which it arrives.
type segment struct {
	data []byte
	due  time.Time
}

// pump reads one direction and hands the segments to a writer that keeps their order.
func (r *Relay) pump(l *link, d Direction, from, to net.Conn) {
	defer r.wg.Done()
	queue := make(chan segment, queueLength)
	written := make(chan struct{})
	go func() {
		defer close(written)
		deliver(l, d, to, queue)
	}()
	var last time.Time
	var readErr error
	for readErr == nil {
		buf := make([]byte, segmentBytes)
		var n int
		n, readErr = from.Read(buf)
		if n > 0 && !l.silent(d) {
			last = r.due(last)
			queue <- segment{data: buf[:n], due: last}
		}
	}
	close(queue)
	<-written
	passed := l.silent(d) || readErr == io.EOF && closeWrite(to) // a silent direction swallows its end as well
	if l.ended.Add(1) == 2 || !passed {
		r.drop(l)
	}
}

// due is the arrival time of a segment that is sent now, after the one before it.
func (r *Relay) due(last time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.faults
	at := time.Now().Add(f.Delay)
	if f.Jitter > 0 {
		at = at.Add(time.Duration(r.rng.Int64N(int64(f.Jitter))))
	}
	if f.Loss > 0 && r.rng.Float64() < f.Loss {
		at = at.Add(f.Stall)
	}
	if at.Before(last) {
		return last
	}
	return at
}

func deliver(l *link, d Direction, to net.Conn, queue <-chan segment) {
	broken := false
	for s := range queue {
		if broken {
			continue
		}
		if wait := time.Until(s.due); wait > 0 {
			select {
			case <-time.After(wait):
			case <-l.done:
			}
		}
		if l.silent(d) {
			continue
		}
		if _, err := to.Write(s.data); err != nil {
			broken = true
		}
	}
}
