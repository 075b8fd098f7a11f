package placement

import "encoding/json"

// storedInterference is the stored form of an Interference.
type storedInterference struct {
	Serving map[string]storedImage `json:"serving"` // by serving image
	Loads   map[string][2]float64  `json:"loads"`   // level and slope by group
}

// storedImage is the stored form of the model of one serving image.
type storedImage struct {
	Unloaded float64               `json:"unloaded"` // latency without load, in ms
	Pressure map[string][2]float64 `json:"pressure"` // mean and variance by best-effort image
}

// Encode returns the learned state in the form that the next owner of the jobs passes to DecodeInterference.
func (f *Interference) Encode() ([]byte, error) {
	storedState := storedInterference{Serving: map[string]storedImage{}, Loads: map[string][2]float64{}}
	for group, g := range f.loadByGroup {
		storedState.Loads[group] = [2]float64{g.level, g.slope}
	}
	for image, imageModel := range f.modelByImage {
		pressureByImage := make(map[string][2]float64, len(imageModel.pressureByImage))
		for bestEffort, c := range imageModel.pressureByImage {
			pressureByImage[bestEffort] = [2]float64{c.mean, c.variance}
		}
		storedState.Serving[image] = storedImage{Unloaded: imageModel.unloadedMs, Pressure: pressureByImage}
	}
	return json.Marshal(storedState)
}

// DecodeInterference restores an Interference from data that Interference.Encode returned. nowMs is the current time on the boot clock
// of this process.
func DecodeInterference(data []byte, nowMs int64) (*Interference, error) {
	var storedState storedInterference
	if err := json.Unmarshal(data, &storedState); err != nil {
		return nil, err
	}
	f := NewInterference()
	for group, load := range storedState.Loads {
		g := newGroupLoad(clampLoad(load[0]), nowMs)
		g.slope = load[1]
		f.loadByGroup[group] = g
	}
	for image, stored := range storedState.Serving {
		imageModel := &servingModel{unloadedMs: max(1, stored.Unloaded), pressureByImage: map[string]*coefficient{}}
		f.keepModel(image, imageModel)
		for bestEffort, c := range stored.Pressure {
			f.keepPair(image, bestEffort, &coefficient{mean: max(0, c[0]),
				variance: min(priorPressureVariance, max(0, c[1])), atMs: nowMs})
		}
	}
	return f, nil
}
