package placement

// Interference learns which images of filling tasks push which images of serving tasks over their latency target. It
// answers filling work that disturbs some neighbours and not others: the effect depends on the pair, so one worker's
// evidence holds for the whole fleet. The zero guilt is unknown.
type Interference struct{ guilt map[pair]float64 }

type pair struct{ serving, filling string }

const (
	// The bounds of guilt keep old evidence from outweighing a change of load for more than a few samples.
	minGuilt = -3.0
	maxGuilt = 3.0
	// Guilty is the guilt from which a pair is kept apart.
	Guilty = 1.0
	// cleared is the guilt below which an image is not suspected while another one is.
	cleared = -1.0
	// soleGuilt and innocence are the steps of one sample: with one suspect a sample over the target decides, while a
	// sample under it may only show that the load is low just now.
	soleGuilt = 2.0
	innocence = 0.3
	// clearRatio is the share of the target below which a sample speaks for the neighbours.
	clearRatio = 0.6
	// minAgeMs is how long a run must have worked before the half-second averages of its neighbours show its effect.
	minAgeMs = 900
	// minPace is the share of full speed, in percent, below which a run is too slow to be judged.
	minPace = 50
)

// ServingSample is one look at a serving task.
type ServingSample struct {
	Image string
	Ratio float64 // tail latency in multiples of its target
}

// FillingSample is one look at a filling task on the same worker.
type FillingSample struct {
	Image string
	AgeMs int64
	Pace  int // percent
}

// NewInterference returns an Interference without evidence.
func NewInterference() *Interference { return &Interference{guilt: map[pair]float64{}} }

// Guilt returns the evidence against the pair, from -3 to 3.
func (f *Interference) Guilt(serving, filling string) float64 {
	return f.guilt[pair{serving, filling}]
}

// Observe takes in the samples of one worker.
func (f *Interference) Observe(serving []ServingSample, filling []FillingSample) {
	images := working(filling)
	if len(images) == 0 {
		return
	}
	for _, s := range serving {
		switch {
		case s.Ratio > 1:
			f.accuse(s.Image, images)
		case s.Ratio < clearRatio:
			for _, image := range images {
				f.add(s.Image, image, -innocence)
			}
		}
	}
}

// working returns the distinct images that work at a speed and for a time that shows their effect.
func working(filling []FillingSample) []string {
	var images []string
	seen := map[string]bool{}
	for _, s := range filling {
		if s.AgeMs >= minAgeMs && s.Pace >= minPace && !seen[s.Image] {
			seen[s.Image] = true
			images = append(images, s.Image)
		}
	}
	return images
}

// accuse spreads the evidence over the images that are not cleared.
func (f *Interference) accuse(serving string, images []string) {
	var suspects []string
	for _, image := range images {
		if f.Guilt(serving, image) > cleared {
			suspects = append(suspects, image)
		}
	}
	if len(suspects) == 0 {
		suspects = images
	}
	for _, image := range suspects {
		f.add(serving, image, soleGuilt/float64(len(suspects)))
	}
}

func (f *Interference) add(serving, filling string, d float64) {
	p := pair{serving, filling}
	f.guilt[p] = min(maxGuilt, max(minGuilt, f.guilt[p]+d))
}
