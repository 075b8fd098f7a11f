package membership

import (
	"context"
	"errors"
	"time"
)

// ErrNotFound means that no process that responded knows the member.
var ErrNotFound = errors.New("member not found")

// Location is the location of a member, as far as it is known. With both fields empty all failure domains are searched.
type Location struct{ Domain, Rack string }

// Messages of Member.Find.
type (
	FindArgs struct {
		ID    string
		Place Location
		Wide  bool // also search the other racks of the receiver's failure domain
	}
	FindReply struct {
		Found bool
		Item  Item
	}
)

// findTimeout limits a lookup in one failure domain.
const findTimeout = 2 * time.Second

// Find looks up a member in the local table, then through the representatives of its rack and failure domain, or of all
// failure domains if its location is unknown. It returns ErrNotFound if the member is not found.
func (t *Table) Find(ctx context.Context, id string, at Location) (Status, error) {
	if s, ok := t.Lookup(id); ok {
		return s, nil
	}
	for _, list := range t.findTargets(at) {
		reply, ok := t.findVia(ctx, list, FindArgs{ID: id, Place: at, Wide: true})
		if ok && reply.Found {
			return Status{Member: reply.Item.Member, Suspect: reply.Item.State == StateSuspect, Heard: time.Now()}, nil
		}
	}
	return Status{}, ErrNotFound
}

// findTargets returns the representatives of each cell to query, the most specific cell first.
func (t *Table) findTargets(at Location) [][]Contact {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := [][]Contact{}
	if s := t.summaries[rackCell(at.Domain, at.Rack)]; s != nil {
		out = append(out, s.Reps)
	}
	if s := t.summaries[domainCell(at.Domain)]; s != nil {
		return append(out, s.Reps)
	}
	for cell, s := range t.summaries {
		if at.Domain == "" && !isRackCell(cell) {
			out = append(out, s.Reps)
		}
	}
	return out
}

// findVia queries the contacts in order until one responds.
func (t *Table) findVia(ctx context.Context, list []Contact, args FindArgs) (FindReply, bool) {
	for _, c := range list {
		if c.ID == t.cfg.Self.ID {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, findTimeout)
		var reply FindReply
		err := t.pool.Call(callCtx, c.Addr, "Member.Find", args, &reply)
		cancel()
		if err == nil {
			return reply, true
		}
	}
	return FindReply{}, false
}

// Find serves a lookup from the local table and, if args.Wide is set, from the other racks of the failure domain.
func (s *Service) Find(args FindArgs, reply *FindReply) error {
	t := s.table
	if st, ok := t.Lookup(args.ID); ok {
		reply.Found = true
		reply.Item = Item{Member: st.Member}
		if st.Suspect {
			reply.Item.State = StateSuspect
		}
		return nil
	}
	if !args.Wide {
		return nil
	}
	args.Wide = false
	*reply = t.findInRacks(args)
	return nil
}

// findInRacks queries the other racks of the failure domain concurrently. Without a rack in args.Place it costs one call
// per rack.
func (t *Table) findInRacks(args FindArgs) FindReply {
	ctx, cancel := context.WithTimeout(context.Background(), findTimeout)
	defer cancel()
	lists := t.rackReps(args.Place)
	replies := make(chan FindReply, len(lists))
	for _, list := range lists {
		go func() {
			r, _ := t.findVia(ctx, list, args)
			replies <- r
		}()
	}
	for range lists {
		if r := <-replies; r.Found {
			return r
		}
	}
	return FindReply{}
}

func (t *Table) rackReps(at Location) [][]Contact {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := [][]Contact{}
	for cell, s := range t.summaries {
		excluded := cell == t.ownCell() || cellDomain(cell) != t.self.Domain
		if isRackCell(cell) && !excluded && (at.Rack == "" || cell == rackCell(t.self.Domain, at.Rack)) {
			out = append(out, s.Reps)
		}
	}
	return out
}
