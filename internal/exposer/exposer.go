// Package exposer serves the metrics of a process as text and a dump of its state as
// JSON over HTTP.
package exposer

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/rcrowley/go-metrics"
)

// shownQuantiles are the quantiles that are shown of each histogram.
var shownQuantiles = []float64{0.5, 0.9, 0.99, 0.999}

// NewHandler returns a handler that serves the metrics of the registry on /metrics, one
// name and value per line, and the result of dump as JSON on /dump.
func NewHandler(registry metrics.Registry, dump func() any) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		registry.Each(func(name string, m any) { writeMetric(w, name, m) })
	})
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, _ *http.Request) {
		b, err := json.MarshalIndent(dump(), "", "  ")
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// Write fails only if the client has closed the connection.
		_, _ = w.Write(b)
	})
	return mux
}

func writeMetric(w http.ResponseWriter, name string, m any) {
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
		for i, v := range s.Percentiles(shownQuantiles) {
			_, _ = fmt.Fprintf(w, "%s{quantile=\"%g\"} %g\n", name, shownQuantiles[i], v)
		}
	}
}
