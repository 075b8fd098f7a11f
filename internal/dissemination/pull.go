package dissemination

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"bamboofork/internal/app"
	"bamboofork/internal/caslog"
	"bamboofork/internal/events"
	"bamboofork/internal/settings"
)

// Sizes and pace of transfers. A control budget of 7 KB/s leaves about 5 KB/s beside the exchanges.
const (
	chunkBytes   = 2 << 10
	bytesPerSec  = 5 << 10
	deltaBytes   = 8 << 10 // records in one reply
	maxTreeBytes = 4 << 20 // encoded; larger offers are refused
	pullTimeout  = 2 * time.Second
	treesKept    = 4
)

// Messages of a pull.
type (
	PullArgs struct {
		Rev    int64 // revision in force at the caller
		Tree   int64 // revision of a tree under transfer; 0: none
		Offset int   // bytes of it that the caller has
	}
	PullReply struct {
		Records []caslog.Record // after Rev; empty if they are no longer kept
		Sums    []uint64        // checksum of the tree after each record
		Tree    int64           // revision of the tree that Chunk is part of
		Total   int             // its encoded size in bytes
		Sum     uint64          // its checksum
		Offset  int
		Chunk   []byte
	}
)

// encoded is a compressed tree kept for transfer.
type encoded struct {
	data []byte
	sum  uint64
}

// Service answers other processes; register it as "Settings".
type Service struct{ s *Syncer }

// Service returns the receiver to register.
func (s *Syncer) Service() *Service { return &Service{s} }

// Pull returns the records after the caller's revision, or a part of the whole tree if they are no longer kept.
func (v *Service) Pull(args PullArgs, reply *PullReply) error {
	s := v.s
	s.mu.Lock()
	defer s.mu.Unlock()
	if args.Tree == 0 && s.fillRecords(args.Rev, reply) {
		return nil
	}
	return s.fillChunk(args, reply)
}

func (s *Syncer) fillRecords(rev int64, reply *PullReply) bool {
	size := 0
	for i, rec := range s.records {
		if rec.Seq <= rev {
			continue
		}
		if len(reply.Records) == 0 && rec.Seq != rev+1 {
			return false
		}
		if size += len(rec.Data); size > deltaBytes && len(reply.Records) > 0 {
			break
		}
		reply.Records = append(reply.Records, rec)
		reply.Sums = append(reply.Sums, s.sums[i])
	}
	return len(reply.Records) > 0 || rev >= s.current.Load().rev
}

func (s *Syncer) fillChunk(args PullArgs, reply *PullReply) error {
	rev := args.Tree
	enc, ok := s.encoded[rev]
	if !ok {
		var err error
		if rev, enc, err = s.encode(); err != nil {
			return err
		}
		args.Offset = 0
	}
	if args.Offset < 0 || args.Offset > len(enc.data) {
		return eris.Errorf("offset %d of %d bytes", args.Offset, len(enc.data))
	}
	end := min(args.Offset+chunkBytes, len(enc.data))
	reply.Tree, reply.Total, reply.Sum, reply.Offset = rev, len(enc.data), enc.sum, args.Offset
	reply.Chunk = enc.data[args.Offset:end]
	return nil
}

// encode compresses the tree in force and keeps it, with a few older ones that are still being fetched.
func (s *Syncer) encode() (int64, encoded, error) {
	snap := s.live.Current()
	if enc, ok := s.encoded[snap.Revision]; ok {
		return snap.Revision, enc, nil
	}
	raw, err := json.Marshal(snap.Tree)
	if err != nil {
		return 0, encoded{}, eris.Wrap(err, "encode tree")
	}
	var buf bytes.Buffer
	w := gzip.NewWriter(&buf)
	_, err = w.Write(raw)
	if closeErr := w.Close(); err == nil {
		err = closeErr
	}
	enc := encoded{data: buf.Bytes(), sum: Checksum(snap.Tree)}
	s.encoded[snap.Revision] = enc
	for len(s.encoded) > treesKept {
		delete(s.encoded, oldest(s.encoded))
	}
	return snap.Revision, enc, eris.Wrap(err, "compress tree")
}

func oldest(m map[int64]encoded) int64 {
	first := int64(-1)
	for rev := range m {
		if first < 0 || rev < first {
			first = rev
		}
	}
	return first
}

// pull fetches what this process lacks from one that is ahead.
func (s *Syncer) pull(ctx context.Context, addr string) error {
	reply, err := s.ask(ctx, addr, PullArgs{Rev: s.current.Load().rev})
	if err != nil {
		return err
	}
	events.SettingsPulled.Log(&s.log).Str("addr", addr).Int("records", len(reply.Records)).Int("tree_bytes", reply.Total).Send()
	if len(reply.Records) > 0 {
		return s.verdict(addr, s.ApplyRecords(reply.Records, reply.Sums))
	}
	if reply.Tree <= s.current.Load().rev {
		return errGap // the process is not ahead after all
	}
	return s.pullTree(ctx, addr, reply)
}

func (s *Syncer) ask(ctx context.Context, addr string, args PullArgs) (PullReply, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	var reply PullReply
	err := s.pool.Call(ctx, addr, "Settings.Pull", args, &reply)
	return reply, err
}

// chunkRetries bounds the lost calls in a row of one transfer.
const chunkRetries = 5

// pullTree fetches the rest of a tree at a pace within the control budget, verifies and applies it.
func (s *Syncer) pullTree(ctx context.Context, addr string, part PullReply) error {
	data, failed := []byte{}, 0
	rev := part.Tree
	for {
		if part.Tree != rev || part.Offset != len(data) {
			return errGap // the sender no longer has that tree
		}
		if part.Total > maxTreeBytes {
			return eris.Errorf("tree of %d bytes", part.Total)
		}
		data = append(data, part.Chunk...)
		if len(data) >= part.Total {
			return s.verdict(addr, s.applyEncoded(rev, part.Sum, data))
		}
		if len(part.Chunk) == 0 {
			return errGap
		}
		app.Sleep(ctx, time.Duration(len(part.Chunk))*time.Second/bytesPerSec)
		next, err := s.ask(ctx, addr, PullArgs{Rev: s.current.Load().rev, Tree: rev, Offset: len(data)})
		for err != nil && ctx.Err() == nil && failed < chunkRetries {
			failed++
			next, err = s.ask(ctx, addr, PullArgs{Rev: s.current.Load().rev, Tree: rev, Offset: len(data)})
		}
		if err != nil {
			return err
		}
		failed, part = 0, next
	}
}

func (s *Syncer) applyEncoded(rev int64, sum uint64, data []byte) error {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return eris.Wrap(err, "compressed tree")
	}
	tree := settings.NewTree()
	if err := json.NewDecoder(io.LimitReader(r, 16*maxTreeBytes)).Decode(&tree); err != nil {
		return eris.Wrap(err, "decode tree")
	}
	if Checksum(tree) != sum {
		return errChecksum
	}
	return s.ApplyTree(rev, tree)
}

// verdict logs what failed its verification. A revision that is held back is no fault of the sender.
func (s *Syncer) verdict(addr string, err error) error {
	if err != nil && err != errHeld {
		events.SettingsBadPull.Log(&s.log).Str("addr", addr).Err(err).Send()
	}
	return err
}

// jitter returns a time between half of d and one and a half d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }
