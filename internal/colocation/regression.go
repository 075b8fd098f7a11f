package colocation

import "math"

// regression is recursive least squares in the form of a Kalman filter whose coefficients drift. It uses no exponential forgetting
// factor on the covariance, because that fails after hours on a host that is always full: combinations of features without new
// measurements lose all precision, and their estimates diverge.
type regression struct {
	dim              int
	mean             []float64 // estimated coefficients
	priorVariance    []float64 // prior variance of each coefficient
	covariance       [][]float64
	noiseVariance    float64 // estimated variance of one measurement
	observationCount int
	gain             []float64 // scratch: the product of the covariance matrix and the features
}

// driftPerObservation is the variance that a coefficient gains per observation, as a fraction of its prior variance. An estimate
// with measurements follows a change within a few thousand observations. The deviation of an estimate without measurements grows
// to 5% of the prior deviation in a day, at one observation per second.
const driftPerObservation = 3e-8

func newRegression(priorVariance []float64) *regression {
	r := &regression{dim: len(priorVariance), mean: make([]float64, len(priorVariance)), priorVariance: priorVariance,
		gain: make([]float64, len(priorVariance)), noiseVariance: initialNoiseVariance}
	r.covariance = make([][]float64, r.dim)
	for i := range r.covariance {
		r.covariance[i] = make([]float64, r.dim)
		r.covariance[i][i] = priorVariance[i]
	}
	return r
}

// initialNoiseVariance is the assumed variance of a normalised latency before the first residual is known.
const initialNoiseVariance = 0.05

// observe updates the coefficients with one measurement at the given features. samples is the number of requests in the measurement.
func (r *regression) observe(features []float64, measured float64, samples int) {
	r.addDrift()
	r.multiply(features)
	expected, variance := 0.0, 0.0
	for i, f := range features {
		expected += f * r.mean[i]
		variance += f * r.gain[i]
	}
	residual := measured - expected
	noiseVariance := r.noiseVariance / math.Max(1, math.Min(float64(samples), maxSampleWeight))
	residualVariance := variance + noiseVariance
	for i := range r.mean {
		r.mean[i] += r.gain[i] / residualVariance * residual
	}
	for i := range r.covariance {
		for j := range r.covariance[i] {
			r.covariance[i][j] -= r.gain[i] * r.gain[j] / residualVariance
		}
	}
	r.updateNoise(residual, variance, samples)
	r.observationCount++
}

// maxSampleWeight bounds the number of requests with which one measurement is weighted, because the errors of the requests in one
// window are correlated.
const maxSampleWeight = 16

// addDrift increases the variance of each coefficient by driftPerObservation, up to its prior variance.
func (r *regression) addDrift() {
	for i := range r.covariance {
		if r.covariance[i][i] < r.priorVariance[i] {
			r.covariance[i][i] += driftPerObservation * r.priorVariance[i]
		}
	}
}

// multiply sets gain to the product of the covariance matrix and the features.
func (r *regression) multiply(features []float64) {
	for i := range r.gain {
		sum := 0.0
		for j, f := range features {
			sum += r.covariance[i][j] * f
		}
		r.gain[i] = sum
	}
}

// noiseUpdateWeight is the weight of a new residual in the estimate of the noise variance.
const noiseUpdateWeight = 0.02

func (r *regression) updateNoise(residual, variance float64, samples int) {
	noiseSample := (residual*residual - variance) * math.Max(1, math.Min(float64(samples), maxSampleWeight))
	r.noiseVariance = math.Max(1e-4, (1-noiseUpdateWeight)*r.noiseVariance+noiseUpdateWeight*math.Max(0, noiseSample))
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

// reset sets coefficient i to the given mean and its prior variance, without correlation to the others.
func (r *regression) reset(i int, mean float64) {
	r.mean[i] = mean
	for j := range r.covariance {
		r.covariance[i][j], r.covariance[j][i] = 0, 0
	}
	r.covariance[i][i] = r.priorVariance[i]
}
