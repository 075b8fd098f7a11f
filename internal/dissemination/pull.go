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

// Limits of transfers. The control traffic of a process has a budget of 7 KB/s. Membership exchanges leave about 5 KB/s of the
// budget to transfers.
const (
	maxChunkBytes       = 2 << 10
	transferBytesPerSec = 5 << 10
	maxRecordBytes      = 8 << 10 // total data size of the records in one reply; a single larger record is still sent
	maxTreeBytes        = 4 << 20 // encoded size; larger trees are rejected
	pullTimeout         = 2 * time.Second
	maxEncodedTrees     = 4 // encoded trees kept for transfers in progress
)

// Messages of Settings.Pull.
type (
	PullArgs struct {
		Rev    int64 // sender's active revision
		Tree   int64 // revision of the tree being transferred; 0: none
		Offset int   // bytes of the tree already received
	}
	PullReply struct {
		Records []caslog.Record // records after PullArgs.Rev; empty if they are no longer kept
		Sums    []uint64        // checksum of the tree after each record
		Tree    int64           // revision of the tree that Chunk belongs to
		Total   int             // encoded size of the tree in bytes
		Sum     uint64          // checksum of the tree
		Offset  int             // position of Chunk in the encoded tree, in bytes
		Chunk   []byte          // part of the encoded tree; empty if Records is sent
	}
)

// encodedTree is a compressed settings tree with its checksum.
type encodedTree struct {
	data []byte
	sum  uint64
}

// Service handles RPCs from other processes. It must be registered as "Settings".
type Service struct{ syncer *Syncer }

// Service returns the RPC receiver to register as "Settings".
func (s *Syncer) Service() *Service { return &Service{s} }

// Pull returns the records after the sender's revision. It returns a chunk of the whole tree if the records are no longer kept
// or if args.Tree names a tree whose transfer is in progress.
func (v *Service) Pull(args PullArgs, reply *PullReply) error {
	s := v.syncer
	s.mu.Lock()
	defer s.mu.Unlock()
	if args.Tree == 0 && s.fillRecords(args.Rev, reply) {
		return nil
	}
	return s.fillChunk(args, reply)
}

// fillRecords adds the kept records after rev to the reply, up to maxRecordBytes. It returns false if the sender needs the
// whole tree.
func (s *Syncer) fillRecords(rev int64, reply *PullReply) bool {
	replyBytes := 0
	for i, rec := range s.keptRecords {
		if rec.Seq <= rev {
			continue
		}
		if len(reply.Records) == 0 && rec.Seq != rev+1 {
			return false
		}
		if replyBytes += len(rec.Data); replyBytes > maxRecordBytes && len(reply.Records) > 0 {
			break
		}
		reply.Records = append(reply.Records, rec)
		reply.Sums = append(reply.Sums, s.keptSums[i])
	}
	return len(reply.Records) > 0 || rev >= s.active.Load().rev
}

// fillChunk adds the next chunk of the tree of revision args.Tree to the reply. If that tree is no longer kept, the reply
// starts the transfer of the active tree.
func (s *Syncer) fillChunk(args PullArgs, reply *PullReply) error {
	rev := args.Tree
	enc, ok := s.encodedTrees[rev]
	if !ok {
		var err error
		if rev, enc, err = s.encodeActiveTree(); err != nil {
			return err
		}
		args.Offset = 0
	}
	if args.Offset < 0 || args.Offset > len(enc.data) {
		return eris.Errorf("offset %d outside the encoded tree of %d bytes", args.Offset, len(enc.data))
	}
	end := min(args.Offset+maxChunkBytes, len(enc.data))
	reply.Tree, reply.Total, reply.Sum, reply.Offset = rev, len(enc.data), enc.sum, args.Offset
	reply.Chunk = enc.data[args.Offset:end]
	return nil
}

// encodeActiveTree returns the active revision and its compressed tree. The compressed tree is kept together with up to
// maxEncodedTrees-1 older ones that may still be in transfer.
func (s *Syncer) encodeActiveTree() (int64, encodedTree, error) {
	snap := s.live.Current()
	if enc, ok := s.encodedTrees[snap.Revision]; ok {
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
	s.encodedTrees[snap.Revision] = enc
	for len(s.encodedTrees) > maxEncodedTrees {
		delete(s.encodedTrees, lowestRevision(s.encodedTrees))
	}
	return snap.Revision, enc, eris.Wrap(err, "compress tree")
}

func lowestRevision(trees map[int64]encodedTree) int64 {
	lowest := int64(-1)
	for rev := range trees {
		if lowest < 0 || rev < lowest {
			lowest = rev
		}
	}
	return lowest
}

// pull fetches newer records or the whole tree from the process at addr and applies them.
func (s *Syncer) pull(ctx context.Context, addr string) error {
	reply, err := s.callPull(ctx, addr, PullArgs{Rev: s.active.Load().rev})
	if err != nil {
		return err
	}
	events.SettingsPulled.Log(&s.log).Str("addr", addr).Int("records", len(reply.Records)).Int("tree_bytes", reply.Total).Send()
	if len(reply.Records) > 0 {
		return s.logRejectedPull(addr, s.ApplyRecords(reply.Records, reply.Sums))
	}
	if reply.Tree <= s.active.Load().rev {
		return errGap // the process at addr is not ahead
	}
	return s.pullTree(ctx, addr, reply)
}

func (s *Syncer) callPull(ctx context.Context, addr string, args PullArgs) (PullReply, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	var reply PullReply
	err := s.rpc.Call(ctx, addr, "Settings.Pull", args, &reply)
	return reply, err
}

const maxChunkRetries = 5

// pullTree fetches the rest of a tree whose first chunk is in reply, verifies the tree and applies it. The transfer rate is
// limited to transferBytesPerSec. Each chunk is retried up to maxChunkRetries times.
func (s *Syncer) pullTree(ctx context.Context, addr string, reply PullReply) error {
	encoded, retries := []byte{}, 0
	rev := reply.Tree
	for {
		if reply.Tree != rev || reply.Offset != len(encoded) {
			return errGap // the sender no longer has that tree
		}
		if reply.Total > maxTreeBytes {
			return eris.Errorf("encoded tree of %d bytes exceeds the limit", reply.Total)
		}
		encoded = append(encoded, reply.Chunk...)
		if len(encoded) >= reply.Total {
			return s.logRejectedPull(addr, s.applyEncodedTree(rev, reply.Sum, encoded))
		}
		if len(reply.Chunk) == 0 {
			return errGap
		}
		app.Sleep(ctx, time.Duration(len(reply.Chunk))*time.Second/transferBytesPerSec)
		next, err := s.callPull(ctx, addr, PullArgs{Rev: s.active.Load().rev, Tree: rev, Offset: len(encoded)})
		for err != nil && ctx.Err() == nil && retries < maxChunkRetries {
			retries++
			next, err = s.callPull(ctx, addr, PullArgs{Rev: s.active.Load().rev, Tree: rev, Offset: len(encoded)})
		}
		if err != nil {
			return err
		}
		retries, reply = 0, next
	}
}

// applyEncodedTree decodes a compressed tree, compares its checksum with sum and applies the tree.
func (s *Syncer) applyEncodedTree(rev int64, sum uint64, encoded []byte) error {
	r, err := gzip.NewReader(bytes.NewReader(encoded))
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

// logRejectedPull logs that the content pulled from addr was rejected and returns err. It does not log errHeld, because a
// revision that is held back is not the sender's fault.
func (s *Syncer) logRejectedPull(addr string, err error) error {
	if err != nil && err != errHeld {
		events.SettingsBadPull.Log(&s.log).Str("addr", addr).Err(err).Send()
	}
	return err
}

// jitter returns a random duration between 0.5*d and 1.5*d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }
