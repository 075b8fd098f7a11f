package hostagent

import (
	"context"
	"time"

	"bamboofork/internal/app"
)

// lastReportCheckInterval is how often AwaitLastReport checks whether the last report has been acknowledged.
const lastReportCheckInterval = 20 * time.Millisecond

// AwaitLastReport waits until an owner knows that the worker is gone and how its runs have ended, or ctx is done. It returns at once if
// the worker has not gone: the next process of the agent can then learn all of that from the worker.
func (a *Agent) AwaitLastReport(ctx context.Context) {
	for ctx.Err() == nil && a.owesLastReport() {
		app.Sleep(ctx, lastReportCheckInterval)
	}
}

func (a *Agent) owesLastReport() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.worker != nil && a.worker.Gone {
		return !a.goneAcked || len(a.unackedEnds) > 0
	}
	return a.refusedConns > 0 // further calls show whether it is gone
}
