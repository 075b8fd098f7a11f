package main

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

const (
	headBytes = 16_000 // of 16,384 that the manifest allows
	// headCrowd is the number of connections at each entry.
	headCrowd = 1500
	headTime  = 20 * time.Second
	// brokenEnds and brokenMachines are the figures of the rule: three ends on a tenth of the machines, two at least.
	brokenEnds     = 3
	brokenMachines = 2
)

// crowdHead returns the head of a submission with as many header lines as fit.
func crowdHead() []byte {
	var b strings.Builder
	b.WriteString("POST " + prefix + "00000000000000aa HTTP/1.1\r\nHost: " + queueHost +
		"\r\nContent-Type: application/json\r\nX-Deadline-Ms: 3000\r\nContent-Length: 262144\r\n")
	for n := 0; b.Len()+12 < headBytes; n++ {
		fmt.Fprintf(&b, "%x:\r\n", n)
	}
	b.WriteString("\r\n")
	return []byte(b.String())
}

// stopShort keeps a connection to the entry until ctx is done, again whenever it ends. Its client sends the head of a submission and the
// beginning of the body, and stops.
func stopShort(ctx context.Context, front *process, head []byte, opened *atomic.Int64) {
	dialer := net.Dialer{Timeout: 5 * time.Second}
	for ctx.Err() == nil {
		conn, err := dialer.DialContext(ctx, "tcp", front.ip+":8161")
		if err != nil {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		opened.Add(1)
		stop := context.AfterFunc(ctx, func() { conn.Close() })
		if _, err = conn.Write(append(head, `{"spec":"x",`...)); err == nil {
			_, _ = conn.Read(make([]byte, 512)) // until the entry answers or ends the connection
		}
		stop()
		conn.Close()
		time.Sleep(100 * time.Millisecond)
	}
}

// playHeaders lets a crowd of clients begin submissions with heads of legal size. The rule is broken if two entries end three times.
func playHeaders(r *record, trouble bool) bool {
	w := newWorld(r)
	f := newFleet(w, 11, 3, true)
	defer f.stop()
	c := f.newCaller()
	if !c.handIn(ordinaryID, ordinaryJob(), 10*time.Second) {
		cannotRun("the ordinary job was not accepted")
	}
	ctx, cancel := context.WithCancel(f.ctx)
	defer cancel()
	var opened atomic.Int64
	if trouble {
		head := crowdHead()
		r.note("crowd: %d connections at each entry, heads of %d bytes in %d lines", headCrowd, len(head), strings.Count(string(head), "\n"))
		for _, front := range f.fronts {
			for range headCrowd {
				go stopShort(ctx, front, head, &opened)
			}
		}
	}
	time.Sleep(headTime)
	cancel()
	for _, p := range f.processes() {
		p.mu.Lock()
		if p.program == "bf-front" {
			fmt.Printf("%s: peak %d of %d MB, ended %d times\n", p.name, p.peakKB>>10, p.memoryMB, p.ownEnds)
		}
		p.mu.Unlock()
	}
	machines := f.machinesWith(brokenEnds)
	r.note("crowd: %d connections in all", opened.Load())
	fmt.Printf("%d connections in all; on %d machines a process ended %d times or more\n", opened.Load(), machines, brokenEnds)
	return machines >= brokenMachines
}
