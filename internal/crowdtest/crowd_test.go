package crowdtest_test

import (
	"bytes"
	"encoding/binary"
	"flag"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bamboofork/platform/standin"
)

var large = flag.Bool("large", false, "play the crowds of 3,000 connections against the limits of a small entry host")

const (
	maxBodyBytes = 262_144 // of the manifest that standin.Store.PutManifest writes
	missingBytes = 8       // of each body
	entryCrowd   = 400     // connections
	stepsCrowd   = 100     // connections that send a complete job
	idleCrowd    = 400     // connections that stay open after an answer

	registrationCrowd = 1000     // connections
	registrationBytes = 64 << 10 // sent by each of them
	declaredBytes     = 4 << 20
	peerCrowd         = 32      // connections
	frameBytes        = 8 << 20 // maximum of a session

	largeJobs       = 500 // of all clients together
	largeJobClients = 8   // each hands in one job after the other
	largeJobSteps   = 250 // each runs after all earlier ones

	imageJobs       = 500 // of all clients together, each with an image of its own
	imageJobClients = 8   // each hands in one job after the other, and cancels it
	imageNameBytes  = 200_000
	imageJobTime    = 60 * time.Millisecond // until it is cancelled; its task is placed meanwhile
)

var (
	// lowered are the limits under which the crowds are played, and wide those of the process that has no crowd.
	lowered = limits{memoryMB: 96, maxFDs: 4100}
	// loweredAgent are the limits under which the crowds at an agent are played. A registration is smaller than a job.
	loweredAgent = limits{memoryMB: 64, maxFDs: 4100}
	wide         = limits{memoryMB: 512, maxFDs: 4100}
	// loweredOwner are the limits under which a crowd of accepted jobs is played.
	loweredOwner = limits{memoryMB: 96, maxFDs: 4100}
	// fewDescriptors are the limits under which the crowds of idle connections are played.
	fewDescriptors = limits{memoryMB: 96, maxFDs: 450}
)

// legalBody returns the beginning of a body of the maximum size without its last bytes.
func legalBody() []byte {
	body := bytes.Repeat([]byte{' '}, maxBodyBytes-missingBytes)
	copy(body, standin.OneStepJob[:len(standin.OneStepJob)-1])
	return body
}

// Ways in which a client of the crowd sends its body.

func sendWhole(conn net.Conn, body []byte) error {
	if _, err := conn.Write(standin.SubmissionHead(fmt.Sprint("Content-Length: ", maxBodyBytes))); err != nil {
		return err
	}
	_, err := conn.Write(body)
	return err
}

func sendPieces(conn net.Conn, body []byte) error {
	if _, err := conn.Write(standin.SubmissionHead(fmt.Sprint("Content-Length: ", maxBodyBytes))); err != nil {
		return err
	}
	const pieceBytes = 1 << 10
	for len(body) > 0 {
		n, err := conn.Write(body[:min(pieceBytes, len(body))])
		if err != nil {
			return err
		}
		body = body[n:]
	}
	return nil
}

// chunked returns the body in chunks of the size in bytes, without the end of the last chunk.
func chunked(body []byte, chunkBytes int) []byte {
	var encoded bytes.Buffer
	for len(body) > 0 {
		chunk := body[:min(chunkBytes, len(body))]
		fmt.Fprintf(&encoded, "%x\r\n%s\r\n", len(chunk), chunk)
		body = body[len(chunk):]
	}
	return encoded.Bytes()[:encoded.Len()-missingBytes]
}

func sendChunked(conn net.Conn, encoded []byte) error {
	if _, err := conn.Write(standin.SubmissionHead("Transfer-Encoding: chunked")); err != nil {
		return err
	}
	_, err := conn.Write(encoded)
	return err
}

// playOnEntry plays a crowd of clients against an entry.
func playOnEntry(t *testing.T, count int, of limits, send func(conn net.Conn) error) {
	s := newSystem(t, of, wide)
	crowd(t, count, s.front.ip+":7002", send)
	s.checkOrdinaryCaller("c1")
	s.checkLimits(s.front)
}

// Guards against an entry that holds whatever whole bodies its clients begin.
func TestEntryHoldsACrowdOfWholeBodies(t *testing.T) {
	body := legalBody()
	playOnEntry(t, entryCrowd, lowered, func(conn net.Conn) error { return sendWhole(conn, body) })
}

// Guards against an entry that holds whatever bodies its clients send piece by piece.
func TestEntryHoldsACrowdOfBodiesInPieces(t *testing.T) {
	body := legalBody()
	playOnEntry(t, entryCrowd, lowered, func(conn net.Conn) error { return sendPieces(conn, body) })
}

// Guards against an entry that holds whatever its clients send in large chunks.
func TestEntryHoldsACrowdOfLargeChunks(t *testing.T) {
	encoded := chunked(legalBody(), 64<<10)
	playOnEntry(t, entryCrowd, lowered, func(conn net.Conn) error { return sendChunked(conn, encoded) })
}

// Guards against an entry that holds whatever its clients send in tiny chunks.
func TestEntryHoldsACrowdOfTinyChunks(t *testing.T) {
	encoded := chunked(legalBody(), 16)
	playOnEntry(t, entryCrowd, lowered, func(conn net.Conn) error { return sendChunked(conn, encoded) })
}

// Guards against an entry that needs many times the size of a body to decode it: complete jobs of as many steps as fit.
func TestEntryHoldsACrowdOfManySteps(t *testing.T) {
	body := append([]byte(`{"steps":[{}`), bytes.Repeat([]byte(",{}"), (maxBodyBytes-32)/3)...)
	body = append(body, bytes.Repeat([]byte{' '}, maxBodyBytes-2-len(body))...)
	body = append(body, "]}"...)
	playOnEntry(t, stepsCrowd, lowered, func(conn net.Conn) error {
		if err := sendWhole(conn, body); err != nil {
			return err
		}
		return awaitAnswer(conn)
	})
}

// Guards against an entry that has no descriptor left for the store and its peers, because clients keep their connections.
func TestEntryHoldsACrowdOfOpenConnections(t *testing.T) {
	playOnEntry(t, idleCrowd, fewDescriptors, func(conn net.Conn) error {
		if _, err := conn.Write([]byte("GET / HTTP/1.1\r\nHost: unknown.example\r\n\r\n")); err != nil {
			return err
		}
		return awaitAnswer(conn)
	})
}

// playOnAgent plays a crowd of strangers against a port of an agent, which also owns the jobs.
func playOnAgent(t *testing.T, count int, of limits, port string, send func(conn net.Conn) error) {
	s := newSystem(t, wide, of)
	crowd(t, count, s.host.ip+":"+port, send)
	s.checkOrdinaryCaller("c1")
	s.checkLimits(s.host)
}

// Guards against an agent that holds whatever registrations strangers begin.
func TestAgentHoldsACrowdOfRegistrations(t *testing.T) {
	head := standin.RegistrationHead(declaredBytes)
	body := bytes.Repeat([]byte{' '}, registrationBytes-missingBytes)
	playOnAgent(t, registrationCrowd, loweredAgent, "7004", func(conn net.Conn) error {
		if _, err := conn.Write(head); err != nil {
			return err
		}
		_, err := conn.Write(body)
		return err
	})
}

// Guards against an agent that holds whatever messages strangers begin at its peer port.
func TestAgentHoldsACrowdAtItsPeerPort(t *testing.T) {
	frame := binary.BigEndian.AppendUint32(nil, frameBytes)
	frame = append(frame, bytes.Repeat([]byte{' '}, frameBytes-missingBytes)...)
	playOnAgent(t, peerCrowd, loweredAgent, "7001", func(conn net.Conn) error {
		_, err := conn.Write(frame)
		return err
	})
}

// Guards against an agent that has no descriptor left for the store, its worker and the owner, because strangers keep their connections.
func TestAgentHoldsACrowdOfOpenConnections(t *testing.T) {
	playOnAgent(t, idleCrowd, fewDescriptors, "7004", func(conn net.Conn) error {
		if _, err := conn.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n")); err != nil {
			return err
		}
		return awaitAnswer(conn)
	})
}

// largeJob returns a job of under half of the maximum size that waits for a worker with a label that none has.
func largeJob() string {
	var steps, after []string
	for i := range largeJobSteps {
		steps = append(steps, fmt.Sprintf(`{"count":1,"cpu":1,"mem_mb":1,"estimate_ms":40,"requirements":"none","after":[%s]}`, strings.Join(after, ",")))
		after = append(after, fmt.Sprint(i))
	}
	return `{"spec":"x","steps":[` + strings.Join(steps, ",") + "]}"
}

// Guards against an owner that accepts more jobs than it has memory for: it ended, and so did each successor that recovered them, so that
// no accepted job was answered for anybody any more.
func TestOwnerHoldsACrowdOfAcceptedJobs(t *testing.T) {
	s := newSystem(t, wide, loweredOwner)
	body, accepted, numbers := largeJob(), []string{}, make(chan int)
	var wg sync.WaitGroup
	var mu sync.Mutex
	for range largeJobClients {
		wg.Go(func() {
			for n := range numbers {
				id := fmt.Sprintf("b%015x", n)
				if status, _ := s.send(http.MethodPost, id, body); status == http.StatusOK { // the status of an incomplete answer counts too
					mu.Lock()
					accepted = append(accepted, id)
					mu.Unlock()
				}
			}
		})
	}
	for n := range largeJobs {
		numbers <- n
	}
	close(numbers)
	wg.Wait()
	t.Logf("%d of %d jobs of %d bytes accepted", len(accepted), largeJobs, len(body))
	s.checkOrdinaryCaller("c1")
	s.checkLimits(s.host)
	for _, name := range []string{"c2", "c3"} {
		s.replaceHost()
		s.checkOrdinaryCaller(name)
		for _, id := range accepted {
			s.untilOK("read of an accepted job", http.MethodGet, id, "")
		}
		s.checkLimits(s.host)
	}
}

// Guards against an owner that keeps the names of images after their jobs have ended (review/11): it ended, and so did each successor.
func TestOwnerForgetsTheNamesOfImages(t *testing.T) {
	s := newSystem(t, wide, loweredOwner)
	filling, numbers := strings.Repeat("x", imageNameBytes), make(chan int)
	var accepted atomic.Int64
	var wg sync.WaitGroup
	for range imageJobClients {
		wg.Go(func() {
			for n := range numbers {
				id := fmt.Sprintf("a%015x", n)
				body := fmt.Sprintf(`{"spec":"x","steps":[{"count":1,"cpu":100,"mem_mb":1,"estimate_ms":1000,"perpetual":true,"target_ms":100,"image":"%08d%s"}]}`, n, filling)
				if status, _ := s.send(http.MethodPost, id, body); status != http.StatusOK {
					continue
				}
				accepted.Add(1)
				for status := 0; status != http.StatusOK && status != http.StatusGone; {
					time.Sleep(imageJobTime)
					status, _ = s.send(http.MethodDelete, id, "") // repeated until it is answered
				}
			}
		})
	}
	for n := range imageJobs {
		numbers <- n
	}
	close(numbers)
	wg.Wait()
	t.Logf("%d of %d jobs accepted", accepted.Load(), imageJobs)
	s.checkOrdinaryCaller("c1")
	s.checkLimits(s.host)
	s.replaceHost()
	s.checkOrdinaryCaller("c2")
	s.checkLimits(s.host)
}

// Played by hand: the limits of the smallest entry host, and as many connections as it has descriptors for.
func TestEntryHoldsALargeCrowd(t *testing.T) {
	if !*large {
		t.Skip("by hand, with -large")
	}
	raiseDescriptorLimit(t)
	small := limits{memoryMB: 184, maxFDs: 4100}
	body := legalBody()
	largeChunks, tinyChunks := chunked(body, 64<<10), chunked(body, 16)
	for name, send := range map[string]func(conn net.Conn) error{
		"whole":        func(conn net.Conn) error { return sendWhole(conn, body) },
		"pieces":       func(conn net.Conn) error { return sendPieces(conn, body) },
		"large chunks": func(conn net.Conn) error { return sendChunked(conn, largeChunks) },
		"tiny chunks":  func(conn net.Conn) error { return sendChunked(conn, tinyChunks) },
	} {
		t.Run(name, func(t *testing.T) { playOnEntry(t, 3000, small, send) })
	}
}

// Guards against limits that a single caller inside the operators' limits meets: a body of the maximum size in pieces of 1 KB is served.
func TestEntryServesALegalBodyInPieces(t *testing.T) {
	s := newSystem(t, lowered, wide)
	conn, err := net.Dial("tcp", s.front.ip+":7002")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := sendPieces(conn, legalBody()); err != nil {
		t.Fatal(err)
	}
	end := bytes.Repeat([]byte{' '}, missingBytes)
	end[0] = '}'
	if _, err := conn.Write(end); err != nil {
		t.Fatal(err)
	}
	answer := make([]byte, len("HTTP/1.1 200"))
	if _, err := conn.Read(answer); err != nil || string(answer) != "HTTP/1.1 200" {
		t.Fatalf("answer %q, %v", answer, err)
	}
	s.checkLimits(s.front)
}
