// Package telemetry provides a registry of metrics and writes the metrics in the Prometheus
// text exposition format.
package telemetry

import (
	"fmt"
	"io"
	"sort"
	"strings"

	gometrics "github.com/rcrowley/go-metrics"
)

// Registry collects the metrics of one process (or of one node inside bf-dev).
type Registry struct{ metrics gometrics.Registry }

// New returns an empty registry.
func New() *Registry { return &Registry{metrics: gometrics.NewRegistry()} }

// Counter returns the counter with the given name, creating it on first use.
func (r *Registry) Counter(name string) gometrics.Counter {
	return gometrics.GetOrRegisterCounter(name, r.metrics)
}

// Gauge returns the gauge with the given name, creating it on first use.
func (r *Registry) Gauge(name string) gometrics.Gauge {
	return gometrics.GetOrRegisterGauge(name, r.metrics)
}

// Parameters of the exponentially decaying reservoir that a histogram samples into: the number of samples and the decay factor
// alpha. With an alpha of 0.015, the samples are mostly from the last five minutes.
const (
	histogramSamples = 1028
	histogramAlpha   = 0.015
)

// Histogram returns the histogram with the given name, creating it on first use.
func (r *Registry) Histogram(name string) gometrics.Histogram {
	return r.metrics.GetOrRegister(name, func() gometrics.Histogram {
		return gometrics.NewHistogram(gometrics.NewExpDecaySample(histogramSamples, histogramAlpha))
	}).(gometrics.Histogram)
}

// Values returns the values of all counters and gauges by name, without histograms. Tests and status pages use it.
func (r *Registry) Values() map[string]int64 {
	out := map[string]int64{}
	r.metrics.Each(func(name string, metric any) {
		switch m := metric.(type) {
		case gometrics.Counter:
			out[name] = m.Count()
		case gometrics.Gauge:
			out[name] = m.Value()
		}
	})
	return out
}

// WriteText writes all metrics in the Prometheus text exposition format.
func (r *Registry) WriteText(w io.Writer) error {
	names := []string{}
	metricByName := map[string]any{}
	r.metrics.Each(func(name string, metric any) {
		names = append(names, name)
		metricByName[name] = metric
	})
	sort.Strings(names)
	for _, name := range names {
		if err := writeMetric(w, metricName(name), metricByName[name]); err != nil {
			return err
		}
	}
	return nil
}

func writeMetric(w io.Writer, name string, metric any) error {
	var err error
	switch m := metric.(type) {
	case gometrics.Counter:
		_, err = fmt.Fprintf(w, "# TYPE %s counter\n%s %d\n", name, name, m.Count())
	case gometrics.Gauge:
		_, err = fmt.Fprintf(w, "# TYPE %s gauge\n%s %d\n", name, name, m.Value())
	case gometrics.Histogram:
		s := m.Snapshot()
		p := s.Percentiles([]float64{0.5, 0.99, 0.999})
		_, err = fmt.Fprintf(w,
			"# TYPE %s summary\n%s{quantile=\"0.5\"} %g\n%s{quantile=\"0.99\"} %g\n%s{quantile=\"0.999\"} %g\n%s_sum %d\n%s_count %d\n",
			name, name, p[0], name, p[1], name, p[2], name, s.Sum(), name, s.Count())
	}
	return err
}

// metricName returns the name of a metric in the exposition format: the prefix bamboofork_ and the name, in which each
// character other than an ASCII letter, a digit or _ is replaced by _.
func metricName(name string) string {
	return "bamboofork_" + strings.Map(func(c rune) rune {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '_':
			return c
		}
		return '_'
	}, name)
}
