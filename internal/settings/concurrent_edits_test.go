package settings_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/settings"
	"bamboofork/internal/store"
	"bamboofork/internal/store/memstore"
)

var (
	editsFlag = flag.Int("edits", 300, "total number of edits made by the concurrent operators")
	seedFlag  = flag.Uint64("seed", 1, "random seed of the edits and store faults")
)

// editOutcome is the outcome of an edit as reported to the operator.
type editOutcome struct {
	id       string
	accepted bool
	rev      int64 // revision reported for the edit; 0 if the edit was rejected without one
}

// Guards against edits that are lost, applied twice or reported with the wrong outcome. Operators edit concurrently while the
// store loses responses and has outages. Longer run: go test ./internal/settings -run ConcurrentOperators -edits 10000 -seed 7
func TestConcurrentOperators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const operators = 6
		st := memstore.NewFaulty(memstore.New(), *seedFlag)
		st.SetFaults(memstore.Faults{LoseAnswer: 0.2, Delay: time.Millisecond})
		stop := make(chan struct{})
		var injectorWG sync.WaitGroup
		injectorWG.Add(1)
		go func() { defer injectorWG.Done(); injectOutages(st, stop) }()
		var operatorsWG sync.WaitGroup
		outcomes := make([][]editOutcome, operators)
		for i := range operators {
			operatorsWG.Add(1)
			go func() {
				defer operatorsWG.Done()
				outcomes[i] = runOperator(t, st, i, *editsFlag/operators)
			}()
		}
		operatorsWG.Wait()
		close(stop)
		injectorWG.Wait()
		st.SetFaults(memstore.Faults{})
		checkLog(t, st, outcomes)
	})
}

// injectOutages alternates between 2 s in which the store loses responses and an outage of 700 ms, until stop is closed.
func injectOutages(st *memstore.Faulty, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(2 * time.Second):
		}
		st.SetFaults(memstore.Faults{Down: true})
		time.Sleep(700 * time.Millisecond)
		st.SetFaults(memstore.Faults{LoseAnswer: 0.2, Delay: time.Millisecond})
	}
}

// runOperator makes the given number of edits as one operator and returns their outcomes.
func runOperator(t *testing.T, st store.Store, operator, editCount int) []editOutcome {
	rng := rand.New(rand.NewPCG(*seedFlag, uint64(operator)))
	repo := settings.NewRepository(st, fmt.Sprintf("operator-%d", operator))
	outcomes := []editOutcome{}
	for range editCount {
		weight := fmt.Sprint(1 + rng.IntN(1000))
		edit := settings.Edit{
			ID: settings.NewEditID(), Author: fmt.Sprint(operator),
			Changes: []settings.Change{{Branch: fmt.Sprintf("team-%d", rng.IntN(60)), Set: map[string]*string{"weight": &weight}}},
		}
		outcome := commitAndResolve(t, repo, edit)
		outcomes = append(outcomes, outcome)
		if !outcome.accepted {
			time.Sleep(50 * time.Millisecond) // keeps an outage from consuming all edits of the run
		}
	}
	return outcomes
}

// commitAndResolve commits one edit and returns the outcome. An uncertain outcome is resolved first.
func commitAndResolve(t *testing.T, repo *settings.Repository, edit settings.Edit) editOutcome {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, base, err := repo.Load(ctx)
	if err != nil {
		return editOutcome{id: edit.ID}
	}
	rev, err := repo.Commit(ctx, base, edit)
	if err == nil {
		return editOutcome{id: edit.ID, accepted: true, rev: rev}
	}
	var uncertain settings.UncertainError
	if !errors.As(err, &uncertain) {
		return editOutcome{id: edit.ID}
	}
	for {
		resolveCtx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		accepted, err := repo.ResolveEdit(resolveCtx, uncertain.EditID, uncertain.Number)
		cancel()
		if err == nil {
			return editOutcome{id: edit.ID, accepted: accepted, rev: uncertain.Number}
		}
		if !errors.Is(err, store.ErrUnavailable) && !errors.Is(err, store.ErrUncertain) {
			t.Errorf("resolve edit: %v", err)
			return editOutcome{id: edit.ID}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// checkLog checks the outcomes reported to the operators against the log. Each accepted edit must be in the log once, and no
// rejected edit may be in the log.
func checkLog(t *testing.T, st store.Store, outcomes [][]editOutcome) {
	repo := settings.NewRepository(st, "checker")
	history, err := repo.History(context.Background(), 1<<30)
	qt.Assert(t, err, qt.IsNil)
	revisionByEdit := map[string]int64{}
	oldestRevision := int64(1 << 62)
	for _, rev := range history {
		_, isDuplicate := revisionByEdit[rev.ID]
		qt.Assert(t, isDuplicate, qt.IsFalse, qt.Commentf("edit %s appears twice", rev.ID))
		revisionByEdit[rev.ID] = rev.Number
		oldestRevision = min(oldestRevision, rev.Number)
	}
	acceptedCount, rejectedCount := 0, 0
	for _, list := range outcomes {
		for _, outcome := range list {
			number, found := revisionByEdit[outcome.id]
			if outcome.accepted {
				acceptedCount++
				qt.Assert(t, found && number == outcome.rev || outcome.rev < oldestRevision, qt.IsTrue,
					qt.Commentf("accepted edit %s is revision %d in the log, reported as %d", outcome.id, number, outcome.rev))
				continue
			}
			rejectedCount++
			qt.Assert(t, found, qt.IsFalse, qt.Commentf("rejected edit %s is revision %d in the log", outcome.id, number))
		}
	}
	qt.Assert(t, acceptedCount > 0 && rejectedCount > 0, qt.IsTrue, qt.Commentf("%d accepted, %d rejected", acceptedCount, rejectedCount))
	t.Logf("%d edits accepted, %d rejected, latest revision %d", acceptedCount, rejectedCount, history[0].Number)
}
