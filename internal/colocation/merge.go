package colocation

import "math"

// MergedModel is the interference measured by several hosts, for hosts and schedulers without measurements of their own. It is
// immutable.
type MergedModel struct{ pairs map[[2]string]Pair }

// hostDeviation is the standard deviation between hosts of one failure domain, which remains however many hosts are merged.
const hostDeviation = 0.002

// Merge combines the pairs of several hosts, each weighted by its precision.
func Merge(lists ...[]Pair) *MergedModel {
	low, high := map[[2]string]*precision{}, map[[2]string]*precision{}
	for _, list := range lists {
		for _, p := range list {
			key := [2]string{p.Quick, p.Batch}
			addPrecision(low, key, p.Low)
			addPrecision(high, key, p.High)
		}
	}
	m := &MergedModel{pairs: make(map[[2]string]Pair, len(low))}
	for key := range low {
		m.pairs[key] = Pair{Quick: key[0], Batch: key[1], Low: low[key].estimate(), High: high[key].estimate()}
	}
	return m
}

// precision accumulates estimates weighted by their inverse variance.
type precision struct{ weight, weighted float64 }

func addPrecision(m map[[2]string]*precision, key [2]string, e Estimate) {
	p := m[key]
	if p == nil {
		p = &precision{}
		m[key] = p
	}
	w := 1 / (e.Deviation*e.Deviation + hostDeviation*hostDeviation)
	p.weight += w
	p.weighted += w * e.Mean
}

func (p *precision) estimate() Estimate {
	return Estimate{Mean: p.weighted / p.weight, Deviation: math.Sqrt(1/p.weight + hostDeviation*hostDeviation)}
}

// Len returns the number of known pairs.
func (m *MergedModel) Len() int { return len(m.pairs) }

// Slowdown returns the relative slowdown of quick per core of batch at the load; Prior for an unknown pair.
func (m *MergedModel) Slowdown(quick, batch string, load float64) Estimate {
	p, ok := m.pairs[[2]string{quick, batch}]
	if !ok {
		return Prior
	}
	fraction := (load - lowLoad) / (highLoad - lowLoad)
	mean := p.Low.Mean + fraction*(p.High.Mean-p.Low.Mean)
	return Estimate{Mean: mean, Deviation: max(p.Low.Deviation, p.High.Deviation)}
}
