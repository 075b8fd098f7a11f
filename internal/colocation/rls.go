package colocation

import "math"

// regression is a Bayesian linear regression with forgetting: recursive least squares in the form of a Kalman filter
// whose coefficients drift. Forgetting by a factor on the covariance was measured to fail after hours on a host that is
// always full: directions without new evidence lose all their certainty, and the estimates wander.
type regression struct {
	dim   int
	mean  []float64
	prior []float64 // variances
	cov   [][]float64
	noise float64 // variance of one measurement, estimated
	count int
	gain  []float64 // scratch
}

// drift is the variance that a coefficient gains per observation, as a share of its prior variance. With evidence an
// estimate follows a change within some thousand observations; without evidence its deviation grows to 5% of the prior's
// in a day at one observation per second.
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

// initialNoise is the variance of a normalised latency before residuals are known.
const initialNoise = 0.05

// observe takes in one measurement y of the features. samples is the number of requests behind it.
func (r *regression) observe(features []float64, y float64, samples int) {
	r.age()
	r.multiply(features)
	expected, spread := 0.0, 0.0
	for i, f := range features {
		expected += f * r.mean[i]
		spread += f * r.gain[i]
	}
	residual := y - expected
	noise := r.noise / math.Max(1, math.Min(float64(samples), maxSamples))
	total := spread + noise
	for i := range r.mean {
		r.mean[i] += r.gain[i] / total * residual
	}
	for i := range r.cov {
		for j := range r.cov[i] {
			r.cov[i][j] -= r.gain[i] * r.gain[j] / total
		}
	}
	r.learnNoise(residual, spread, samples)
	r.count++
}

// maxSamples bounds the weight of one measurement: the requests of one window share the same disturbances.
const maxSamples = 16

// age lets the coefficients drift, up to the uncertainty of the prior.
func (r *regression) age() {
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

func (r *regression) learnNoise(residual, spread float64, samples int) {
	per := (residual*residual - spread) * math.Max(1, math.Min(float64(samples), maxSamples))
	r.noise = math.Max(1e-4, (1-noiseGain)*r.noise+noiseGain*math.Max(0, per))
}

// combine returns the mean and deviation of a linear combination of the coefficients.
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

// reset returns one coefficient to the prior.
func (r *regression) reset(i int, mean float64) {
	r.mean[i] = mean
	for j := range r.cov {
		r.cov[i][j], r.cov[j][i] = 0, 0
	}
	r.cov[i][i] = r.prior[i]
}
