package placement

import "encoding/json"

// storedInterference is the stored form of an Interference.
type storedInterference struct {
	Serving map[string]storedImage `json:"serving"`
	Loads   map[string][2]float64  `json:"loads"` // level and slope
}

type storedImage struct {
	Unloaded float64               `json:"unloaded"`
	Pressure map[string][2]float64 `json:"pressure"` // mean and variance
}

// Encode returns the learned state for the next owner.
func (f *Interference) Encode() ([]byte, error) {
	l := storedInterference{Serving: map[string]storedImage{}, Loads: map[string][2]float64{}}
	for group, g := range f.loads {
		l.Loads[group] = [2]float64{g.level, g.slope}
	}
	for image, m := range f.serving {
		pressure := make(map[string][2]float64, len(m.pressure))
		for bestEffort, c := range m.pressure {
			pressure[bestEffort] = [2]float64{c.mean, c.variance}
		}
		l.Serving[image] = storedImage{Unloaded: m.unloadedMs, Pressure: pressure}
	}
	return json.Marshal(l)
}

// DecodeInterference restores the result of Encode. nowMs is the reader's boot clock.
func DecodeInterference(data []byte, nowMs int64) (*Interference, error) {
	var l storedInterference
	if err := json.Unmarshal(data, &l); err != nil {
		return nil, err
	}
	f := NewInterference()
	for group, load := range l.Loads {
		g := newGroupLoad(clampLoad(load[0]), nowMs)
		g.slope = load[1]
		f.loads[group] = g
	}
	for image, stored := range l.Serving {
		m := &servingModel{unloadedMs: max(1, stored.Unloaded), pressure: map[string]*coefficient{}}
		for bestEffort, c := range stored.Pressure {
			m.pressure[bestEffort] = &coefficient{mean: max(0, c[0]), variance: min(priorVariance, max(0, c[1])), atMs: nowMs}
		}
		f.serving[image] = m
	}
	return f, nil
}
