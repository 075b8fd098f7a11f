package membership

import (
	"context"
	"errors"
	"time"
)

// ErrNotFound means that no process that responded knows the member.
var ErrNotFound = errors.New("member not found")

// Location is the location of a member as far as the caller of Find knows it. If both fields are empty, all failure domains are
// searched.
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

// findTimeout is the timeout of a query to one process, and of the queries to all racks of a failure domain together.
const findTimeout = 2 * time.Second

// Find looks up a member in the local table. If the member is not there, Find queries the representatives of the rack and the
// failure domain in the location at, or of all failure domains if the location is empty. It returns ErrNotFound if no process
// that responds knows the member.
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

// findTargets returns one list of representatives for each cell to query. A rack comes before its failure domain.
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

// findVia queries the contacts in order until one responds. The bool is false if none responds.
func (t *Table) findVia(ctx context.Context, contacts []Contact, args FindArgs) (FindReply, bool) {
	for _, c := range contacts {
		if c.ID == t.cfg.Self.ID {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, findTimeout)
		var reply FindReply
		err := t.rpc.Call(callCtx, c.Addr, "Member.Find", args, &reply)
		cancel()
		if err == nil {
			return reply, true
		}
	}
	return FindReply{}, false
}

// Find handles Member.Find. It looks up the member in the local table and, if args.Wide is set, in the other racks of the
// failure domain.
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

// findInRacks queries the other racks of the failure domain concurrently. If args.Place names a rack, only that rack is
// queried.
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

// rackReps returns one list of representatives for each rack of this failure domain except this process's own cell. If the
// location names a rack, only the list of that rack is returned.
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
