package jobowner

import (
	"context"
	"time"

	"bamboofork/internal/app"
	"bamboofork/internal/events"
	"bamboofork/internal/placement"
	"bamboofork/internal/store"
)

const (
	// interferenceStoreInterval is how often the interference model is stored. After a takeover, the model needs about one
	// interval to learn again what was not stored.
	interferenceStoreInterval = 3 * time.Second
	// interferenceStoreTimeout bounds one store call that loads or stores the model. A failed write is retried after the next
	// interval.
	interferenceStoreTimeout = 500 * time.Millisecond
	// learnedShare is the share of the memory for jobs that what is learned of their images may take beside them.
	learnedShare = 0.01
	// maxLearnedBytes leaves room in the stored value for the loads of the groups.
	maxLearnedBytes = store.MaxValueBytes / 2
)

// learnedBudget returns the budget of the interference model in bytes. memoryLimit is the limit of what is kept of the jobs; 0: none.
func learnedBudget(memoryLimit int64) int64 {
	if memoryLimit == 0 {
		return maxLearnedBytes
	}
	return min(maxLearnedBytes, int64(learnedShare*float64(memoryLimit)))
}

func (o *Owner) interferenceKey() string { return o.cfg.Prefix + "/learned" }

// loadInterference loads the interference model that the previous owner stored. If that fails, the owner learns the model
// again, because the model only guides placement.
func (o *Owner) loadInterference(ctx context.Context) {
	defer func() { o.interference.SetLearnedBudget(learnedBudget(o.cfg.MemoryLimit)) }()
	callCtx, cancel := context.WithTimeout(ctx, interferenceStoreTimeout)
	defer cancel()
	kv, err := o.cfg.Store.Get(callCtx, o.interferenceKey())
	if err == nil && kv.ModRevision == 0 {
		return
	}
	var model *placement.Interference
	if err == nil {
		model, err = placement.DecodeInterference(kv.Value, bootTimeMs())
	}
	events.LearnedLoaded.Log(&o.cfg.Log).Int64("revision", kv.ModRevision).Int("bytes", len(kv.Value)).AnErr("cause", err).Send()
	if err == nil {
		o.interference = model
	}
}

// storeInterferenceLoop stores the interference model periodically until ctx is done. If another owner has written the key in
// the meantime, the write fails and the next write overwrites the value of that owner. A previous owner stops writing when its
// term ends.
func (o *Owner) storeInterferenceLoop(ctx context.Context) {
	var kv store.KV
	app.Every(ctx, interferenceStoreInterval, func() {
		o.mu.Lock()
		data, err := o.interference.Encode()
		shouldSkip := !o.isCurrent()
		learned, _ := o.interference.LearnedBytes()
		o.cfg.Metrics.Gauge("owner_learned_bytes").Update(learned)
		o.mu.Unlock()
		if shouldSkip {
			return // the model is stored after a later interval
		}
		if err == nil {
			var res store.CASResult
			callCtx, cancel := context.WithTimeout(ctx, interferenceStoreTimeout)
			res, err = o.cfg.Store.CompareAndSwap(callCtx, o.interferenceKey(), kv.ModRevision, data, 0)
			cancel()
			kv = res.Current
		}
		if err != nil {
			events.LearnedFailed.Log(&o.cfg.Log).Int("bytes", len(data)).Err(err).Send()
		}
	})
}
