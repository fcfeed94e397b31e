// Package metrics keeps counters, gauges and histograms with labels in a
// go-metrics registry, and exposes them to Prometheus.
package metrics

import (
	"net/http"
	"net/http/pprof"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	gometrics "github.com/rcrowley/go-metrics"
)

// Label is one label of a metric.
type Label struct {
	Name  string
	Value string
}

// Set is one process's metrics. A metric's name in the registry includes its
// labels, with separators that must not occur in a label's value.
type Set struct {
	registry gometrics.Registry
}

const (
	labelSeparator = "\x1f"
	valueSeparator = "\x1e"
	namespace      = "larchwinch_"
	sampleSize     = 256
	sampleAlpha    = 0.015
)

var quantiles = []float64{0.5, 0.9, 0.95, 0.99}

// New returns an empty set.
func New() *Set {
	return &Set{
		registry: gometrics.NewRegistry(),
	}
}

// Counter returns the counter with this name and labels, creating it if needed.
func (s *Set) Counter(name string, labels ...Label) gometrics.Counter {
	return gometrics.GetOrRegisterCounter(key(name, labels), s.registry)
}

// Gauge returns the gauge with this name and labels, creating it if needed.
func (s *Set) Gauge(name string, labels ...Label) gometrics.Gauge {
	return gometrics.GetOrRegisterGauge(key(name, labels), s.registry)
}

// Histogram returns the histogram with this name and labels, creating it if
// needed. Its sample covers the last few minutes and prefers newer values.
func (s *Set) Histogram(name string, labels ...Label) gometrics.Histogram {
	return s.registry.GetOrRegister(key(name, labels), func() gometrics.Histogram {
		return gometrics.NewHistogram(gometrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}).(gometrics.Histogram)
}

// Observe adds a duration to a histogram of microseconds.
func Observe(h gometrics.Histogram, d time.Duration) {
	h.Update(d.Microseconds())
}

// Remove removes every metric with this label.
func (s *Set) Remove(label Label) {
	part := labelSeparator + label.Name + valueSeparator + label.Value
	s.registry.Each(func(k string, _ any) {
		if strings.HasSuffix(k, part) || strings.Contains(k, part+labelSeparator) {
			s.registry.Unregister(k)
		}
	})
}

func key(name string, labels []Label) string {
	var b strings.Builder
	b.WriteString(name)
	for _, l := range labels {
		b.WriteString(labelSeparator + l.Name + valueSeparator + l.Value)
	}
	return b.String()
}

// Handler serves the set in the Prometheus text format, and the profiles of the
// process below /debug/pprof/.
func (s *Set) Handler() http.Handler {
	r := prometheus.NewRegistry()
	r.MustRegister(&collector{
		set: s,
	})
	mux := http.NewServeMux()
	mux.Handle("/", promhttp.HandlerFor(r, promhttp.HandlerOpts{}))
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	return mux
}

// collector exports the go-metrics registry to Prometheus.
type collector struct {
	set *Set
}

// Describe implements prometheus.Collector. It describes nothing, which makes the
// collector an unchecked one: its metrics are not known in advance.
func (c *collector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (c *collector) Collect(out chan<- prometheus.Metric) {
	c.set.registry.Each(func(k string, metric any) {
		name, names, values := split(k)
		desc := prometheus.NewDesc(namespace+name, name, names, nil)
		switch m := metric.(type) {
		case gometrics.Counter:
			out <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(m.Count()), values...)
		case gometrics.Gauge:
			out <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, float64(m.Value()), values...)
		case gometrics.Histogram:
			out <- summary(desc, m.Snapshot(), values)
		}
	})
}

func summary(desc *prometheus.Desc, h gometrics.Histogram, values []string) prometheus.Metric {
	q := map[float64]float64{}
	for i, v := range h.Percentiles(quantiles) {
		q[quantiles[i]] = v
	}
	return prometheus.MustNewConstSummary(desc, uint64(h.Count()), float64(h.Sum()), q, values...)
}

func split(k string) (name string, names, values []string) {
	parts := strings.Split(k, labelSeparator)
	for _, p := range parts[1:] {
		n, v, _ := strings.Cut(p, valueSeparator)
		names = append(names, n)
		values = append(values, v)
	}
	return parts[0], names, values
}
