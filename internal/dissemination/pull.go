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

// Limits of transfers. Of the control traffic budget of 7 KB/s, membership exchanges leave about 5 KB/s.
const (
	chunkBytes      = 2 << 10
	bytesPerSec     = 5 << 10
	maxRecordBytes  = 8 << 10 // of records in one reply
	maxTreeBytes    = 4 << 20 // encoded; larger trees are rejected
	pullTimeout     = 2 * time.Second
	maxEncodedTrees = 4 // kept for transfers in progress
)

// Messages of Settings.Pull.
type (
	PullArgs struct {
		Rev    int64 // sender's active revision
		Tree   int64 // revision of the tree being transferred; 0: none
		Offset int   // bytes of the tree already received
	}
	PullReply struct {
		Records []caslog.Record // after PullArgs.Rev; empty if no longer kept
		Sums    []uint64        // checksum of the tree after each record
		Tree    int64           // revision of the tree that Chunk belongs to
		Total   int             // encoded size of the tree in bytes
		Sum     uint64          // checksum of the tree
		Offset  int
		Chunk   []byte
	}
)

// encodedTree is a compressed tree kept for transfers.
type encodedTree struct {
	data []byte
	sum  uint64
}

// Service handles RPCs from other processes; register it as "Settings".
type Service struct{ s *Syncer }

// Service returns the RPC receiver to register.
func (s *Syncer) Service() *Service { return &Service{s} }

// Pull returns the records after the sender's revision, or a chunk of the whole tree if the records are no longer kept.
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
		if size += len(rec.Data); size > maxRecordBytes && len(reply.Records) > 0 {
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
		return eris.Errorf("offset %d outside the encoded tree of %d bytes", args.Offset, len(enc.data))
	}
	end := min(args.Offset+chunkBytes, len(enc.data))
	reply.Tree, reply.Total, reply.Sum, reply.Offset = rev, len(enc.data), enc.sum, args.Offset
	reply.Chunk = enc.data[args.Offset:end]
	return nil
}

// encode compresses the active tree and keeps it along with a few older ones that may still be in transfer.
func (s *Syncer) encode() (int64, encodedTree, error) {
	snap := s.live.Current()
	if enc, ok := s.encoded[snap.Revision]; ok {
		return snap.Revision, enc, nil
	}
	raw, err := json.Marshal(snap.Tree)
	if err != nil {
		return 0, encodedTree{}, eris.Wrap(err, "encode tree")
	}
	var buf bytes.Buffer
	w := gzip.NewWriter(&buf)
	_, err = w.Write(raw)
	if closeErr := w.Close(); err == nil {
		err = closeErr
	}
	enc := encodedTree{data: buf.Bytes(), sum: Checksum(snap.Tree)}
	s.encoded[snap.Revision] = enc
	for len(s.encoded) > maxEncodedTrees {
		delete(s.encoded, oldest(s.encoded))
	}
	return snap.Revision, enc, eris.Wrap(err, "compress tree")
}

func oldest(m map[int64]encodedTree) int64 {
	first := int64(-1)
	for rev := range m {
		if first < 0 || rev < first {
			first = rev
		}
	}
	return first
}

// pull fetches newer records or the whole tree from a process that is ahead.
func (s *Syncer) pull(ctx context.Context, addr string) error {
	reply, err := s.callPull(ctx, addr, PullArgs{Rev: s.current.Load().rev})
	if err != nil {
		return err
	}
	events.SettingsPulled.Log(&s.log).Str("addr", addr).Int("records", len(reply.Records)).Int("tree_bytes", reply.Total).Send()
	if len(reply.Records) > 0 {
		return s.logBadPull(addr, s.ApplyRecords(reply.Records, reply.Sums))
	}
	if reply.Tree <= s.current.Load().rev {
		return errGap // the process is not ahead
	}
	return s.pullTree(ctx, addr, reply)
}

func (s *Syncer) callPull(ctx context.Context, addr string, args PullArgs) (PullReply, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	var reply PullReply
	err := s.pool.Call(ctx, addr, "Settings.Pull", args, &reply)
	return reply, err
}

// maxChunkRetries is the maximum number of retries of one chunk.
const maxChunkRetries = 5

// pullTree fetches the rest of a tree, of which reply holds the first chunk, at bytesPerSec. It verifies the tree and applies it.
func (s *Syncer) pullTree(ctx context.Context, addr string, reply PullReply) error {
	data, retries := []byte{}, 0
	rev := reply.Tree
	for {
		if reply.Tree != rev || reply.Offset != len(data) {
			return errGap // the sender no longer has that tree
		}
		if reply.Total > maxTreeBytes {
			return eris.Errorf("encoded tree of %d bytes exceeds the limit", reply.Total)
		}
		data = append(data, reply.Chunk...)
		if len(data) >= reply.Total {
			return s.logBadPull(addr, s.applyEncoded(rev, reply.Sum, data))
		}
		if len(reply.Chunk) == 0 {
			return errGap
		}
		app.Sleep(ctx, time.Duration(len(reply.Chunk))*time.Second/bytesPerSec)
		next, err := s.callPull(ctx, addr, PullArgs{Rev: s.current.Load().rev, Tree: rev, Offset: len(data)})
		for err != nil && ctx.Err() == nil && retries < maxChunkRetries {
			retries++
			next, err = s.callPull(ctx, addr, PullArgs{Rev: s.current.Load().rev, Tree: rev, Offset: len(data)})
		}
		if err != nil {
			return err
		}
		retries, reply = 0, next
	}
}

func (s *Syncer) applyEncoded(rev int64, sum uint64, data []byte) error {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return eris.Wrap(err, "open compressed tree")
	}
	tree := settings.NewTree()
	// The limit on the decompressed size protects against a decompression bomb.
	if err := json.NewDecoder(io.LimitReader(r, 16*maxTreeBytes)).Decode(&tree); err != nil {
		return eris.Wrap(err, "decode tree")
	}
	if Checksum(tree) != sum {
		return errChecksum
	}
	return s.ApplyTree(rev, tree)
}

// logBadPull logs a failed verification and returns err. A revision that is held back is not the sender's fault.
func (s *Syncer) logBadPull(addr string, err error) error {
	if err != nil && err != errHeld {
		events.SettingsBadPull.Log(&s.log).Str("addr", addr).Err(err).Send()
	}
	return err
}

// jitter returns a random duration between 0.5*d and 1.5*d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }
