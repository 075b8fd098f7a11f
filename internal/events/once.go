package events

import "sync"

// Once tells which keys are new, so that an event is logged once for each. The zero value knows no keys. It is safe for concurrent use.
type Once struct {
	mu   sync.Mutex
	seen map[string]bool
}

// First reports whether it is called with the key for the first time.
func (o *Once) First(key string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.seen[key] {
		return false
	}
	if o.seen == nil {
		o.seen = map[string]bool{}
	}
	o.seen[key] = true
	return true
}
