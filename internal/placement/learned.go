package placement

import "encoding/json"

// learned is the stored form of an Interference.
type learned struct {
	Serving map[string]learnedImage `json:"serving"`
	Loads   map[string]float64      `json:"loads"`
}

type learnedImage struct {
	Unloaded float64               `json:"unloaded"`
	Pressure map[string][2]float64 `json:"pressure"` // mean and variance
}

// Encode returns what was learned, for a successor.
func (f *Interference) Encode() ([]byte, error) {
	l := learned{Serving: map[string]learnedImage{}, Loads: f.loads}
	for image, m := range f.serving {
		pressure := make(map[string][2]float64, len(m.pressure))
		for filling, c := range m.pressure {
			pressure[filling] = [2]float64{c.mean, c.variance}
		}
		l.Serving[image] = learnedImage{Unloaded: m.unloaded, Pressure: pressure}
	}
	return json.Marshal(l)
}

// DecodeInterference restores what Encode returned.
func DecodeInterference(data []byte) (*Interference, error) {
	var l learned
	if err := json.Unmarshal(data, &l); err != nil {
		return nil, err
	}
	f := NewInterference()
	for task, load := range l.Loads {
		f.loads[task] = load
	}
	for image, stored := range l.Serving {
		m := &servingModel{unloaded: max(1, stored.Unloaded), pressure: map[string]*coefficient{}}
		for filling, c := range stored.Pressure {
			m.pressure[filling] = &coefficient{mean: max(0, c[0]), variance: min(priorVariance, max(0, c[1]))}
		}
		f.serving[image] = m
	}
	return f, nil
}
