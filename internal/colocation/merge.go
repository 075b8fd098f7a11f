package colocation

import "math"

// MergedModel holds the slowdowns measured by several hosts. Hosts and schedulers without measurements of their own use it. A
// MergedModel is immutable.
type MergedModel struct{ pairs map[[2]string]Pair }

// betweenHostDeviation is the standard deviation of the slowdown between hosts of one failure domain. Merging more hosts does not
// reduce it.
const betweenHostDeviation = 0.002

// Merge combines the pairs of several hosts. Each estimate is weighted by the inverse of its variance.
func Merge(pairsByHost ...[]Pair) *MergedModel {
	lowByPair, highByPair := map[[2]string]*weightedMean{}, map[[2]string]*weightedMean{}
	for _, hostPairs := range pairsByHost {
		for _, p := range hostPairs {
			key := [2]string{p.Quick, p.Batch}
			addEstimate(lowByPair, key, p.Low)
			addEstimate(highByPair, key, p.High)
		}
	}
	m := &MergedModel{pairs: make(map[[2]string]Pair, len(lowByPair))}
	for key := range lowByPair {
		m.pairs[key] = Pair{Quick: key[0], Batch: key[1], Low: lowByPair[key].estimate(), High: highByPair[key].estimate()}
	}
	return m
}

// weightedMean accumulates estimates that are weighted by their inverse variance.
type weightedMean struct{ weightSum, weightedSum float64 }

func addEstimate(m map[[2]string]*weightedMean, key [2]string, e Estimate) {
	p := m[key]
	if p == nil {
		p = &weightedMean{}
		m[key] = p
	}
	w := 1 / (e.Deviation*e.Deviation + betweenHostDeviation*betweenHostDeviation)
	p.weightSum += w
	p.weightedSum += w * e.Mean
}

func (p *weightedMean) estimate() Estimate {
	return Estimate{Mean: p.weightedSum / p.weightSum, Deviation: math.Sqrt(1/p.weightSum + betweenHostDeviation*betweenHostDeviation)}
}

// Len returns the number of pairs of kinds with an estimate.
func (m *MergedModel) Len() int { return len(m.pairs) }

// Slowdown returns the relative slowdown of the latency-critical kind per core of the batch kind at the load, a fraction of the
// slots in use. It returns PriorSlowdown for an unknown pair.
func (m *MergedModel) Slowdown(criticalKind, batchKind string, load float64) Estimate {
	p, ok := m.pairs[[2]string{criticalKind, batchKind}]
	if !ok {
		return PriorSlowdown
	}
	fraction := (load - lowLoad) / (highLoad - lowLoad)
	mean := p.Low.Mean + fraction*(p.High.Mean-p.Low.Mean)
	return Estimate{Mean: mean, Deviation: max(p.Low.Deviation, p.High.Deviation)}
}
