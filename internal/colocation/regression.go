package colocation

import "math"

// regression is recursive least squares in the form of a Kalman filter whose coefficients drift. An exponential forgetting
// factor on the covariance fails after hours on a host that is always full: directions without new measurements lose all
// precision, and their estimates diverge.
type regression struct {
	dim   int
	mean  []float64
	prior []float64 // variances
	cov   [][]float64
	noise float64 // estimated variance of one measurement
	count int
	gain  []float64 // scratch: covariance times features
}

// drift is the variance that a coefficient gains per observation, as a fraction of its prior variance. With measurements an
// estimate follows a change within a few thousand observations; without, its deviation grows to 5% of the prior's in a day
// at one observation per second.
const drift = 3e-8

func newRegression(prior []float64) *regression {
	r := &regression{dim: len(prior), mean: make([]float64, len(prior)), prior: prior, gain: make([]float64, len(prior)), noise: initialNoise}
	r.cov = make([][]float64, r.dim)
	for i := range r.cov {
		r.cov[i] = make([]float64, r.dim)
		r.cov[i][i] = prior[i]
	}
	return r
}

// initialNoise is the assumed variance of a normalised latency before there are residuals.
const initialNoise = 0.05

// observe updates the estimate with one measurement y at the features. samples is the number of requests in it.
func (r *regression) observe(features []float64, y float64, samples int) {
	r.addDrift()
	r.multiply(features)
	expected, variance := 0.0, 0.0
	for i, f := range features {
		expected += f * r.mean[i]
		variance += f * r.gain[i]
	}
	residual := y - expected
	noise := r.noise / math.Max(1, math.Min(float64(samples), maxSamples))
	total := variance + noise
	for i := range r.mean {
		r.mean[i] += r.gain[i] / total * residual
	}
	for i := range r.cov {
		for j := range r.cov[i] {
			r.cov[i][j] -= r.gain[i] * r.gain[j] / total
		}
	}
	r.updateNoise(residual, variance, samples)
	r.count++
}

// maxSamples bounds the weight of one measurement, because the errors of requests in one window are correlated.
const maxSamples = 16

// addDrift increases the variances by the drift, up to those of the prior.
func (r *regression) addDrift() {
	for i := range r.cov {
		if r.cov[i][i] < r.prior[i] {
			r.cov[i][i] += drift * r.prior[i]
		}
	}
}

func (r *regression) multiply(features []float64) {
	for i := range r.gain {
		sum := 0.0
		for j, f := range features {
			sum += r.cov[i][j] * f
		}
		r.gain[i] = sum
	}
}

// noiseGain is the weight of a new residual in the noise estimate.
const noiseGain = 0.02

func (r *regression) updateNoise(residual, variance float64, samples int) {
	sample := (residual*residual - variance) * math.Max(1, math.Min(float64(samples), maxSamples))
	r.noise = math.Max(1e-4, (1-noiseGain)*r.noise+noiseGain*math.Max(0, sample))
}

// combine returns the mean and standard deviation of a linear combination of the coefficients.
func (r *regression) combine(features []float64) Estimate {
	r.multiply(features)
	e := Estimate{}
	variance := 0.0
	for i, f := range features {
		e.Mean += f * r.mean[i]
		variance += f * r.gain[i]
	}
	e.Deviation = math.Sqrt(math.Max(0, variance))
	return e
}

// reset sets one coefficient back to its prior.
func (r *regression) reset(i int, mean float64) {
	r.mean[i] = mean
	for j := range r.cov {
		r.cov[i][j], r.cov[j][i] = 0, 0
	}
	r.cov[i][i] = r.prior[i]
}
