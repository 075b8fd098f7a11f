package session

// Messages whose size grows with the work are sent in parts. A part is small enough to arrive within IdleTimeout over a thin link, so that
// neither the heartbeats behind it nor the connection suffer.

// MaxPartBytes is the size up to which lists are put into one message. A single element may be larger.
const MaxPartBytes = 64 << 10

// sized is a pointer to an element whose encoded size is known. Msgsize is an upper bound in bytes.
type sized[T any] interface {
	*T
	Msgsize() int
}

// take removes elements from the front of the list until their size exceeds the budget, and returns them. It takes at least one element
// if the budget is positive. It reduces the budget by the size of the elements.
func take[T any, P sized[T]](list *[]T, budget *int) []T {
	n := 0
	for n < len(*list) && *budget > 0 {
		size := P(&(*list)[n]).Msgsize()
		if size > *budget && *budget < MaxPartBytes {
			break
		}
		*budget -= size
		n++
	}
	taken := (*list)[:n:n]
	*list = (*list)[n:]
	if n == 0 {
		return nil
	}
	return taken
}

// Parts returns messages that together carry the commands of m, in order. All other fields are in the first one.
func (m ToMember) Parts() []ToMember {
	stops, resources, paces, starts := m.Stops, m.RunResources, m.Paces, m.Starts
	var parts []ToMember
	part := m
	for {
		budget := MaxPartBytes
		part.Stops, part.RunResources = take(&stops, &budget), take(&resources, &budget)
		part.Paces, part.Starts = take(&paces, &budget), take(&starts, &budget)
		parts = append(parts, part)
		if len(stops)+len(resources)+len(paces)+len(starts) == 0 {
			return parts
		}
		part = ToMember{LeaseValid: m.LeaseValid, StoreUnreachable: m.StoreUnreachable}
	}
}

// StartsWithin returns the number of leading starts whose size is at most maxBytes, and their size.
func StartsWithin(starts []Start, maxBytes int) (count, bytes int) {
	for count < len(starts) {
		size := starts[count].Msgsize()
		if bytes+size > maxBytes {
			break
		}
		bytes += size
		count++
	}
	return count, bytes
}

// Parts returns messages that together carry the report m, in order. All fields but the lists are in the last one, so that the owner knows
// the ends before it compares the runs. Without joinsRuns, the owner does not join a list of runs, which is then in the last message.
func (m FromMember) Parts(joinsRuns bool) []FromMember {
	ends, refused, runs := m.Ends, m.Refused, m.Runs
	var parts []FromMember
	for runsBefore := 0; ; {
		budget := MaxPartBytes
		part := FromMember{AckSeq: m.AckSeq, BestEffortPaused: m.BestEffortPaused, RunsBefore: runsBefore}
		part.Ends, part.Refused = take(&ends, &budget), take(&refused, &budget)
		if joinsRuns {
			part.Runs = take(&runs, &budget)
			runsBefore += len(part.Runs)
		}
		if len(ends)+len(refused) == 0 && (len(runs) == 0 || !joinsRuns) {
			last := m
			last.Ends, last.Refused, last.Runs, last.RunsBefore = part.Ends, part.Refused, part.Runs, part.RunsBefore
			if !joinsRuns {
				last.Runs = m.Runs
			}
			return append(parts, last)
		}
		part.RunsContinue = m.RunsComplete
		parts = append(parts, part)
	}
}

// RunList joins the parts of a list of runs.
type RunList struct {
	runs []Run
}

// Join adds the part in the message. It returns the complete list and true if the message completes it. A list of which a part is missing
// is discarded.
func (l *RunList) Join(m *FromMember) ([]Run, bool) {
	switch {
	case !m.RunsComplete && !m.RunsContinue:
		return nil, false
	case m.RunsBefore == 0 && !m.RunsContinue:
		l.runs = nil
		return m.Runs, true
	case m.RunsBefore == 0:
		l.runs = nil
	case m.RunsBefore != len(l.runs):
		l.runs = nil
		return nil, false
	}
	l.runs = append(l.runs, m.Runs...)
	if m.RunsContinue {
		return nil, false
	}
	joined := l.runs
	l.runs = nil
	return joined, true
}
