// Package scale runs many small nodes in one process over an in-memory network with injected loss and delay, and
// measures what membership and settings dissemination cost per node. The nodes run the production membership and
// dissemination code; only the transport and the rest of the process are simulated.
package scale

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bamboofork/internal/peer"
)

// Bytes added to each message: the net/rpc header with its method name, and TCP/IP headers with timestamps. One
// separate acknowledgement is counted per call, because the reply acknowledges the request.
const (
	rpcHeaderBytes = 24
	tcpipBytes     = 52
	ackBytes       = 52
)

// ProbeBytesPerSecond is the traffic, sent and received, that package peer's probe of one open connection costs each end per
// second, with headers: a request and a reply of about 12 bytes each.
const ProbeBytesPerSecond = 2*(rpcHeaderBytes+tcpipBytes+12) + ackBytes

// Errors of calls.
var (
	errRefused = errors.New("connection refused")
	errLost    = errors.New("no reply in time")
)

// Link describes the network path from one endpoint to another.
type Link struct {
	Delay time.Duration // one way
	Loss  float64       // probability that a message is lost; the call then fails at its deadline
	Cut   bool          // all messages are lost
}

// Network is an in-memory network of endpoints. mu guards all fields.
type Network struct {
	mu    sync.Mutex
	nodes map[string]*Endpoint
	link  func(from, to *Endpoint) Link
	rng   *rand.Rand
}

// NewNetwork returns a network without faults. For a given order of calls the seed determines which messages are lost.
func NewNetwork(seed uint64) *Network {
	return &Network{
		nodes: map[string]*Endpoint{}, rng: rand.New(rand.NewPCG(seed, seed)),
		link: func(_, _ *Endpoint) Link { return Link{} },
	}
}

// SetLink replaces the function that returns the link from one endpoint to another.
func (n *Network) SetLink(link func(from, to *Endpoint) Link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.link = link
}

// Endpoint is the network address of one process and its transport for outgoing calls.
type Endpoint struct {
	Addr, Domain, Region string
	net                  *Network

	mu      sync.Mutex
	methods map[string]method
	streams map[string]*stream // by remote address, followed by ">" for messages to it and "<" for messages from it
	stopped chan struct{}      // closed by Stop: messages from and to the endpoint are lost
	paused  chan struct{}      // non-nil while paused: messages wait

	Sent, Received, Calls atomic.Int64
	byMethod              map[string]int64
}

type method struct {
	args  reflect.Type
	reply reflect.Type
	call  func(args, reply any) error
}

// NewEndpoint adds an endpoint to the network.
func (n *Network) NewEndpoint(addr, domain, region string) *Endpoint {
	e := &Endpoint{
		Addr: addr, Domain: domain, Region: region, net: n, methods: map[string]method{}, streams: map[string]*stream{},
		stopped: make(chan struct{}), byMethod: map[string]int64{},
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[addr] = e
	return e
}

// Handle registers a method with the signature that net/rpc uses.
func Handle[A, R any](e *Endpoint, name string, f func(A, *R) error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.methods[name] = method{
		args: reflect.TypeFor[A](), reply: reflect.TypeFor[R](),
		call: func(args, reply any) error { return f(*args.(*A), reply.(*R)) },
	}
}

// Stop disconnects the endpoint: all messages from and to it are lost.
func (e *Endpoint) Stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.stopped)
}

// Pause holds all messages from and to the endpoint until resume is called.
func (e *Endpoint) Pause() (resume func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ch := make(chan struct{})
	e.paused = ch
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.paused = nil
		close(ch)
	}
}

// Connections returns the number of addresses that this endpoint has called within peer.IdleTimeout, after which package peer
// closes an idle connection.
func (e *Endpoint) Connections() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for key, s := range e.streams {
		s.mu.Lock()
		if strings.HasSuffix(key, ">") && time.Since(s.used) < peer.IdleTimeout {
			n++
		}
		s.mu.Unlock()
	}
	return n
}

// ByMethod returns the number of calls made per method.
func (e *Endpoint) ByMethod() map[string]int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := map[string]int64{}
	for k, v := range e.byMethod {
		out[k] = v
	}
	return out
}

// stream encodes messages of one direction as a connection does: gob type descriptions are sent only once.
type stream struct {
	mu   sync.Mutex
	used time.Time
	buf  bytes.Buffer
	enc  *gob.Encoder
	dec  *gob.Decoder
}

func (e *Endpoint) stream(key string) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.streams[key]
	if s == nil {
		s = &stream{}
		s.enc, s.dec = gob.NewEncoder(&s.buf), gob.NewDecoder(&s.buf)
		e.streams[key] = s
	}
	return s
}

// transfer encodes from, decodes the result into to and returns the encoded size in bytes.
func (s *stream) transfer(from any, to any) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used = time.Now()
	if err := s.enc.Encode(from); err != nil {
		return 0, fmt.Errorf("encode: %w", err)
	}
	size := s.buf.Len()
	return size, s.dec.Decode(to)
}

// sampleLink returns the delay of the link and draws whether the next message is lost.
func (n *Network) sampleLink(from, to *Endpoint) (delay time.Duration, lost bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.link(from, to)
	return l.Delay, l.Cut || l.Loss > 0 && n.rng.Float64() < l.Loss
}

// Call implements membership.Caller and dissemination.Caller.
func (e *Endpoint) Call(ctx context.Context, addr, name string, args, reply any) error {
	e.net.mu.Lock()
	to := e.net.nodes[addr]
	e.net.mu.Unlock()
	if to == nil {
		return errRefused
	}
	to.mu.Lock()
	m, ok := to.methods[name]
	to.mu.Unlock()
	if !ok {
		return fmt.Errorf("no method %s at %s", name, addr)
	}
	e.count(name)
	in := reflect.New(m.args).Interface()
	if err := e.deliver(ctx, e, to, addr+">", args, in); err != nil {
		return err
	}
	out := reflect.New(m.reply).Interface()
	if err := m.call(in, out); err != nil {
		return err
	}
	e.Received.Add(ackBytes / 2)
	to.Received.Add(ackBytes / 2)
	return e.deliver(ctx, to, e, addr+"<", out, reply)
}

func (e *Endpoint) count(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.byMethod[name]++
	e.Calls.Add(1)
}

// deliver transmits one message between two endpoints over a stream of the calling endpoint and counts its bytes.
func (e *Endpoint) deliver(ctx context.Context, from, to *Endpoint, key string, msg, into any) error {
	if err := from.wait(ctx); err != nil {
		return err
	}
	size, err := e.stream(key).transfer(msg, into)
	if err != nil {
		return err
	}
	size += rpcHeaderBytes + tcpipBytes
	from.Sent.Add(int64(size))
	delay, lost := e.net.sampleLink(from, to)
	if lost {
		<-ctx.Done()
		return errLost
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return errLost
	}
	if err := to.wait(ctx); err != nil {
		return err
	}
	to.Received.Add(int64(size))
	return nil
}

// wait blocks while the endpoint is paused. If the endpoint is stopped, it blocks until ctx is done and returns errLost.
func (e *Endpoint) wait(ctx context.Context) error {
	e.mu.Lock()
	stopped, paused := e.stopped, e.paused
	e.mu.Unlock()
	select {
	case <-stopped:
		<-ctx.Done()
		return errLost
	default:
	}
	if paused == nil {
		return nil
	}
	select {
	case <-paused:
		return nil
	case <-ctx.Done():
		return errLost
	}
}
