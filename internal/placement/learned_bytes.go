package placement

import "slices"

// The names of images come from callers, in any number and of any length that a job may have. What is learned of images outlives the jobs, so
// it has a budget of its own, and what was used least recently is forgotten first.

const (
	// DefaultLearnedBudget is the budget of a model, in bytes, until SetLearnedBudget is called.
	DefaultLearnedBudget = 512 << 10
	// learnedModelBytes and learnedPairBytes bound the memory, and the encoded size, of the model of a serving image and of a coefficient
	// without the names.
	learnedModelBytes = 512
	learnedPairBytes  = 192
	// maxEscapedBytes is the encoded size of a byte that JSON escapes.
	maxEscapedBytes = 6
	// evictedShare is the share of the budget that is freed at a time, so that not each new image costs a search for the oldest one.
	evictedShare = 0.25
	// maxNameShare is the share of the budget that a single entry may take. What exceeds it is not learned.
	maxNameShare = 0.125
)

// learnedBytes counts what a model has learned of images, in bytes.
type learnedBytes struct {
	budget, used int64
	uses         int64 // number of uses so far; each entry has the number of its last use
}

// modelBytes and pairBytes bound what an entry takes, in memory and encoded.
func modelBytes(serving string) int64 { return learnedModelBytes + encodedNameBytes(serving) }
func pairBytes(bestEffort string) int64 {
	return learnedPairBytes + encodedNameBytes(bestEffort)
}

// encodedNameBytes bounds the size of a name in JSON, and with it that of the name itself.
func encodedNameBytes(name string) int64 {
	size := int64(0)
	for i := range len(name) {
		if b := name[i]; b < ' ' || b >= 0x7f || b == '"' || b == '\\' || b == '<' || b == '>' || b == '&' {
			size += maxEscapedBytes
		} else {
			size++
		}
	}
	return size
}

// nextUse returns the number of a use that happens now.
func (l *learnedBytes) nextUse() int64 {
	l.uses++
	return l.uses
}

// fits reports whether an entry may be kept at all.
func (l *learnedBytes) fits(bytes int64) bool {
	return float64(bytes) <= maxNameShare*float64(l.budget)
}

// SetLearnedBudget sets the number of bytes that what is learned of images may take, in memory and encoded.
func (f *Interference) SetLearnedBudget(bytes int64) {
	f.learned.budget = bytes
	f.evictLearned()
}

// LearnedBytes returns an upper bound of what is learned of images, in bytes, and the budget.
func (f *Interference) LearnedBytes() (used, budget int64) { return f.learned.used, f.learned.budget }

// keepModel keeps the model of a serving image, if a single entry may be that large.
func (f *Interference) keepModel(serving string, m *servingModel) {
	if bytes := modelBytes(serving); f.learned.fits(bytes) {
		f.modelByImage[serving] = m
		f.learned.used += bytes
		f.evictLearned()
	}
}

// keepPair keeps the coefficient of a pair of images, if a single entry may be that large and the serving image is kept.
func (f *Interference) keepPair(serving, bestEffort string, c *coefficient) {
	m := f.modelByImage[serving]
	if bytes := pairBytes(bestEffort); m != nil && f.learned.fits(bytes) {
		m.pressureByImage[bestEffort] = c
		f.learned.used += bytes
		f.evictLearned()
	}
}

// evictLearned forgets what was used least recently if the budget is exceeded. The use of a pair is one of its serving image, so the pairs of
// an image go before it.
func (f *Interference) evictLearned() {
	if f.learned.used <= f.learned.budget {
		return
	}
	type entry struct {
		lastUse             int64
		serving, bestEffort string
		isPair              bool
	}
	var entries []entry
	for serving, m := range f.modelByImage {
		entries = append(entries, entry{lastUse: m.lastUse, serving: serving})
		for bestEffort, c := range m.pressureByImage {
			entries = append(entries, entry{lastUse: c.lastUse, serving: serving, bestEffort: bestEffort, isPair: true})
		}
	}
	slices.SortFunc(entries, func(a, b entry) int { return int(a.lastUse - b.lastUse) })
	target := int64((1 - evictedShare) * float64(f.learned.budget))
	for _, e := range entries {
		if f.learned.used <= target {
			return
		}
		f.forgetLearned(e.serving, e.bestEffort, e.isPair)
	}
}

// forgetLearned forgets a pair of images, or a serving image and all its pairs.
func (f *Interference) forgetLearned(serving, bestEffort string, isPair bool) {
	m := f.modelByImage[serving]
	if m == nil {
		return // gone with its last pairs
	}
	if isPair {
		if m.pressureByImage[bestEffort] != nil {
			delete(m.pressureByImage, bestEffort)
			f.learned.used -= pairBytes(bestEffort)
		}
		return
	}
	for name := range m.pressureByImage {
		f.learned.used -= pairBytes(name)
	}
	delete(f.modelByImage, serving)
	f.learned.used -= modelBytes(serving)
}
