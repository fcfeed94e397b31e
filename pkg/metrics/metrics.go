// Package metrics keeps counters, gauges and histograms in a go-metrics
// registry, with labels, and shows them to Prometheus.
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

// Set is one process's metrics. The name of a metric in the registry holds
// its labels too, parted by separators that no label value may hold.
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

// Counter returns the counter of that name and labels.
func (s *Set) Counter(name string, labels ...Label) gometrics.Counter {
	return gometrics.GetOrRegisterCounter(key(name, labels), s.registry)
}

// Gauge returns the gauge of that name and labels.
func (s *Set) Gauge(name string, labels ...Label) gometrics.Gauge {
	return gometrics.GetOrRegisterGauge(key(name, labels), s.registry)
}

// Histogram returns the histogram of that name and labels. Its sample holds
// the last few minutes, the newest more than the older.
func (s *Set) Histogram(name string, labels ...Label) gometrics.Histogram {
	return s.registry.GetOrRegister(key(name, labels), func() gometrics.Histogram {
		return gometrics.NewHistogram(gometrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}).(gometrics.Histogram)
}

// Observe adds a time to a histogram of microseconds.
func Observe(h gometrics.Histogram, d time.Duration) {
	h.Update(d.Microseconds())
}

// Remove forgets every metric with that label.
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

// Handler shows the set in the Prometheus text format, and below /debug/pprof/
// the profiles of the process.
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

// collector bridges the registry. The known bridge can't be had, so this is
// its nearest kin, on the client library it would use.
type collector struct {
	set *Set
}

// Describe implements prometheus.Collector; an unchecked one describes nothing.
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
