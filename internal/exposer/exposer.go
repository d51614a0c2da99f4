// Package exposer serves what a process shows of itself: metrics as text and a
// dump of its state.
package exposer

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/rcrowley/go-metrics"
)

// quantiles are the shares of a histogram that are shown.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// NewHandler serves the registry on /metrics, one name and number in each line,
// and what dump returns as JSON on /dump.
func NewHandler(registry metrics.Registry, dump func() any) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		registry.Each(func(name string, m any) { write(w, name, m) })
	})
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, _ *http.Request) {
		b, err := json.MarshalIndent(dump(), "", "  ")
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// A reader that is gone needs no answer.
		_, _ = w.Write(b)
	})
	return mux
}

func write(w http.ResponseWriter, name string, m any) {
	switch m := m.(type) {
	case metrics.Counter:
		_, _ = fmt.Fprintf(w, "%s %d\n", name, m.Count())
	case metrics.Gauge:
		_, _ = fmt.Fprintf(w, "%s %d\n", name, m.Value())
	case metrics.GaugeFloat64:
		_, _ = fmt.Fprintf(w, "%s %g\n", name, m.Value())
	case metrics.Histogram:
		s := m.Snapshot()
		_, _ = fmt.Fprintf(w, "%s_count %d\n", name, s.Count())
		for i, v := range s.Percentiles(quantiles) {
			_, _ = fmt.Fprintf(w, "%s{quantile=\"%g\"} %g\n", name, quantiles[i], v)
		}
	}
}
