package placement

// pair is what a planning pass needs to know about a best-effort image beside a serving image: the pressure that plans assume, and
// the estimated mean.
type pair struct{ planned, mean float64 }

// pairTable holds the pairs of images that occur in one planning pass, by index. A pass compares each waiting best-effort task with
// the serving tasks of hundreds of workers; the learned estimates do not change meanwhile, and looking them up by name for each
// comparison would take most of the time of a pass.
type pairTable struct {
	interference  *Interference
	servingImages []string
	servingIndex  map[string]int    // index in servingImages
	rows          map[string][]pair // by best-effort image; pairs by index of the serving image
}

func newPairTable(interference *Interference) *pairTable {
	return &pairTable{interference: interference, servingIndex: map[string]int{}, rows: map[string][]pair{}}
}

// indexOfServing returns the index of a serving image.
func (t *pairTable) indexOfServing(image string) int {
	index, ok := t.servingIndex[image]
	if !ok {
		index = len(t.servingImages)
		t.servingImages = append(t.servingImages, image)
		t.servingIndex[image] = index
	}
	return index
}

// row returns the pairs of a best-effort image with all serving images that have an index so far.
func (t *pairTable) row(bestEffort string) []pair {
	row := t.rows[bestEffort]
	if len(row) == len(t.servingImages) {
		return row
	}
	for _, serving := range t.servingImages[len(row):] {
		mean, _ := t.interference.estimate(serving, bestEffort)
		row = append(row, pair{planned: t.interference.plannedPressure(serving, bestEffort), mean: mean})
	}
	t.rows[bestEffort] = row
	return row
}

// pairTable returns the table of the pass, or nil if the snapshot has no Interference.
func (s *Snapshot) pairTable() *pairTable {
	if s.pairs == nil && s.Interference != nil {
		s.pairs = newPairTable(s.Interference)
	}
	return s.pairs
}
