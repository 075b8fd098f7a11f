// Package scale runs many nodes in one process over an in-memory network with injected loss and delay. It measures what membership
// and settings dissemination cost per node. The nodes run the production code of both; the transport is simulated, and the other
// components of a process are left out.
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

// Bytes that the counters add to the encoded size of a message. rpcHeaderBytes is the net/rpc header with the method name, tcpipBytes
// the TCP/IP headers with timestamps. ackBytes is added once per call, for the acknowledgement of the reply; the reply itself
// acknowledges the request.
const (
	rpcHeaderBytes = 24
	tcpipBytes     = 52
	ackBytes       = 52
)

// ProbeBytesPerSecond is the number of bytes that each end of an open connection sends and receives per second for the probes of
// package peer. A probe is a request and a reply of about 12 bytes each, plus headers.
const ProbeBytesPerSecond = 2*(rpcHeaderBytes+tcpipBytes+12) + ackBytes

// Errors that Endpoint.Call returns for network faults.
var (
	errRefused = errors.New("connection refused")
	errLost    = errors.New("no reply in time")
)

// Link describes the network path from one endpoint to another.
type Link struct {
	Delay    time.Duration // one way
	LossRate float64       // probability that a message is lost; the call then fails at its deadline
	Cut      bool          // all messages are lost
}

// Network is an in-memory network of endpoints. mu guards all fields.
type Network struct {
	mu        sync.Mutex
	endpoints map[string]*Endpoint // by address
	link      func(from, to *Endpoint) Link
	rng       *rand.Rand
}

// NewNetwork returns a network without faults. The seed and the order of the messages determine which messages are lost.
func NewNetwork(seed uint64) *Network {
	return &Network{
		endpoints: map[string]*Endpoint{}, rng: rand.New(rand.NewPCG(seed, seed)),
		link: func(_, _ *Endpoint) Link { return Link{} },
	}
}

// SetLink replaces the function that returns the link from one endpoint to another.
func (n *Network) SetLink(link func(from, to *Endpoint) Link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.link = link
}

// Endpoint is the network interface of one process: it handles incoming calls and makes outgoing calls. mu guards methods, streams,
// stopped, paused and callsByMethod.
type Endpoint struct {
	Addr, Domain, Region string
	net                  *Network

	mu      sync.Mutex
	methods map[string]method
	streams map[string]*stream // key: the remote address and ">" for messages sent to it, or "<" for messages received from it
	stopped chan struct{}      // closed by Stop: messages from and to the endpoint are lost
	paused  chan struct{}      // non-nil while the endpoint is paused; closed when it resumes

	Sent, Received, Calls atomic.Int64 // bytes sent, bytes received and outgoing calls
	callsByMethod         map[string]int64
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
		stopped: make(chan struct{}), callsByMethod: map[string]int64{},
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.endpoints[addr] = e
	return e
}

// Handle registers f as the handler of calls of the named method.
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

// Pause delays all messages from and to the endpoint until the returned function is called.
func (e *Endpoint) Pause() (resume func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	resumed := make(chan struct{})
	e.paused = resumed
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.paused = nil
		close(resumed)
	}
}

// Connections returns the number of addresses that this endpoint has called within the last peer.ClientIdleTimeout. Package peer would hold
// a connection to each of them.
func (e *Endpoint) Connections() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for key, s := range e.streams {
		s.mu.Lock()
		if strings.HasSuffix(key, ">") && time.Since(s.usedAt) < peer.ClientIdleTimeout {
			n++
		}
		s.mu.Unlock()
	}
	return n
}

// CallsByMethod returns the number of outgoing calls by method name.
func (e *Endpoint) CallsByMethod() map[string]int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := map[string]int64{}
	for k, v := range e.callsByMethod {
		out[k] = v
	}
	return out
}

// stream encodes and decodes the messages in one direction of a simulated connection. As on a real connection, gob sends the
// description of a type only once.
type stream struct {
	mu     sync.Mutex
	usedAt time.Time // of the last message
	buf    bytes.Buffer
	enc    *gob.Encoder
	dec    *gob.Decoder
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
	s.usedAt = time.Now()
	if err := s.enc.Encode(from); err != nil {
		return 0, fmt.Errorf("encode: %w", err)
	}
	size := s.buf.Len()
	return size, s.dec.Decode(to)
}

// sampleLink returns the delay of the link between two endpoints and, chosen at random, whether the next message is lost.
func (n *Network) sampleLink(from, to *Endpoint) (delay time.Duration, lost bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.link(from, to)
	return l.Delay, l.Cut || l.LossRate > 0 && n.rng.Float64() < l.LossRate
}

// Call implements membership.Caller and dissemination.Caller. It calls the named method at the address.
func (e *Endpoint) Call(ctx context.Context, addr, name string, args, reply any) error {
	e.net.mu.Lock()
	to := e.net.endpoints[addr]
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
	e.countCall(name)
	decodedArgs := reflect.New(m.args).Interface()
	if err := e.deliver(ctx, e, to, addr+">", args, decodedArgs); err != nil {
		return err
	}
	out := reflect.New(m.reply).Interface()
	if err := m.call(decodedArgs, out); err != nil {
		return err
	}
	e.Received.Add(ackBytes / 2)
	to.Received.Add(ackBytes / 2)
	return e.deliver(ctx, to, e, addr+"<", out, reply)
}

func (e *Endpoint) countCall(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.callsByMethod[name]++
	e.Calls.Add(1)
}

// deliver transmits a message from one endpoint to another and adds its size to the counters of both. The receiver is e for a reply,
// and the sender is e for a request; key selects the stream of e. The message is decoded into into.
func (e *Endpoint) deliver(ctx context.Context, from, to *Endpoint, key string, msg, into any) error {
	if err := from.waitRunning(ctx); err != nil {
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
	if err := to.waitRunning(ctx); err != nil {
		return err
	}
	to.Received.Add(int64(size))
	return nil
}

// waitRunning blocks while the endpoint is paused and returns errLost if ctx is done in that time. If the endpoint is stopped,
// waitRunning blocks until ctx is done and returns errLost.
func (e *Endpoint) waitRunning(ctx context.Context) error {
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
