// Package faultnet is a TCP relay for tests and measurements. A relay forwards bytes between two processes and injects faults:
// delay, packet loss (which TCP shows as stalls), silently discarded bytes, resets and half-open connections.
package faultnet

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Direction is a direction of the data flow of a connection.
type Direction int

// Directions of the data flow. The client is the process that dials the relay.
const (
	ToServer Direction = iota
	ToClient
)

// Faults are the faults that a relay injects. A change affects only bytes that are read and connections that are accepted after it.
type Faults struct {
	Delay               time.Duration // one-way delay
	Jitter              time.Duration // maximum of a random, uniformly distributed delay that is added to Delay
	LossRate            float64       // fraction of segments that are lost; a lost segment delays its direction by RetransmissionDelay
	RetransmissionDelay time.Duration // delay until the retransmission of a lost segment arrives; 0: 200 ms
	RefuseNew           bool          // new connections are reset
	BlackholeNew        bool          // new connections are accepted, but all their bytes are discarded
}

// Limits and defaults of a relay.
const (
	segmentBytes = 16 << 10 // maximum size of a segment, the unit to which delay and loss apply
	queueLength  = 64       // maximum number of segments in flight per direction
	defaultStall = 200 * time.Millisecond
	dialTimeout  = time.Second
)

// Relay forwards the connections made to Addr to a target address. mu guards the fields below it.
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

// NewRelay starts a relay on a free loopback port. The seed determines delays and losses.
func NewRelay(target string, seed uint64) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "relay listener")
	}
	r := &Relay{target: target, listener: l, rng: rand.New(rand.NewPCG(seed, 0)), links: map[*link]bool{}}
	r.wg.Add(1)
	go r.accept()
	return r, nil
}

// Addr returns the address to dial instead of the target.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// SetFaults replaces the injected faults.
func (r *Relay) SetFaults(f Faults) {
	if f.RetransmissionDelay == 0 {
		f.RetransmissionDelay = defaultStall
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

// Blackhole makes the established connections discard all further bytes in the given directions, without closing them. New
// connections are not affected. Blackhole returns the number of established connections.
func (r *Relay) Blackhole(directions ...Direction) int {
	links := r.currentLinks()
	for _, l := range links {
		for _, d := range directions {
			l.blackhole(d)
		}
	}
	return len(links)
}

// Reset closes the established connections at both ends with a TCP reset and returns the number of these connections.
func (r *Relay) Reset() int {
	links := r.currentLinks()
	for _, l := range links {
		l.reset()
	}
	return len(links)
}

// HalfOpen resets the established connections at the server's end only. The client's end stays open and receives no more bytes.
// HalfOpen returns the number of established connections.
func (r *Relay) HalfOpen() int {
	links := r.currentLinks()
	for _, l := range links {
		l.blackhole(ToServer)
		l.blackhole(ToClient)
		abort(l.server)
	}
	return len(links)
}

// LinkCount returns the number of established connections.
func (r *Relay) LinkCount() int { return len(r.currentLinks()) }

// Close stops the relay, resets its connections and waits for its goroutines.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.listener.Close()
	r.Reset()
	r.wg.Wait()
}

func (r *Relay) currentLinks() []*link {
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
		go r.connect(client)
	}
}

func (r *Relay) currentFaults() Faults {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults
}

// connect dials the target for an accepted connection and starts forwarding.
func (r *Relay) connect(client net.Conn) {
	defer r.wg.Done()
	f := r.currentFaults()
	if f.RefuseNew {
		abort(client)
		return
	}
	server, err := net.DialTimeout("tcp", r.target, dialTimeout)
	if err != nil {
		abort(client)
		return
	}
	l := newLink(client, server)
	if f.BlackholeNew {
		l.blackhole(ToServer)
		l.blackhole(ToClient)
	}
	if !r.add(l) {
		l.reset()
		return
	}
	r.wg.Add(2)
	go r.forward(l, ToServer, client, server)
	go r.forward(l, ToClient, server, client)
}

// add registers the link. It returns false if the relay is closed.
func (r *Relay) add(l *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.links[l] = true
	}
	return !r.closed
}

func (r *Relay) remove(l *link) {
	l.reset()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, l)
}

// segment is a part of the bytes of one direction and the time at which the part is delivered.
type segment struct {
	data      []byte
	deliverAt time.Time
}

// forward reads the bytes of one direction and queues them as segments. deliver writes the segments in the same order.
func (r *Relay) forward(l *link, d Direction, from, to net.Conn) {
	defer r.wg.Done()
	queue := make(chan segment, queueLength)
	delivered := make(chan struct{})
	go func() {
		defer close(delivered)
		deliver(l, d, to, queue)
	}()
	var lastDeliveryAt time.Time
	var readErr error
	for readErr == nil {
		buf := make([]byte, segmentBytes)
		var n int
		n, readErr = from.Read(buf)
		if n > 0 && !l.isBlackholed(d) {
			lastDeliveryAt = r.deliveryTime(lastDeliveryAt)
			queue <- segment{data: buf[:n], deliverAt: lastDeliveryAt}
		}
	}
	close(queue)
	<-delivered
	isEndHandled := l.isBlackholed(d) || readErr == io.EOF && closeWrite(to) // a blackholed direction discards the end of the stream as well
	if l.endedDirections.Add(1) == 2 || !isEndHandled {
		r.remove(l)
	}
}

// deliveryTime returns the delivery time of a segment that is read now. last is the delivery time of the previous segment; the returned
// time is not before last.
func (r *Relay) deliveryTime(last time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.faults
	at := time.Now().Add(f.Delay)
	if f.Jitter > 0 {
		at = at.Add(time.Duration(r.rng.Int64N(int64(f.Jitter))))
	}
	if f.LossRate > 0 && r.rng.Float64() < f.LossRate {
		at = at.Add(f.RetransmissionDelay)
	}
	if at.Before(last) {
		return last
	}
	return at
}

// deliver writes the segments of the queue at their delivery times until the queue is closed. After a write error, deliver discards
// the remaining segments.
func deliver(l *link, d Direction, to net.Conn, queue <-chan segment) {
	writeFailed := false
	for s := range queue {
		if writeFailed {
			continue
		}
		if wait := time.Until(s.deliverAt); wait > 0 {
			select {
			case <-time.After(wait):
			case <-l.resetDone:
			}
		}
		if l.isBlackholed(d) {
			continue
		}
		if _, err := to.Write(s.data); err != nil {
			writeFailed = true
		}
	}
}
