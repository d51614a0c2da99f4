package exposer

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
)

func TestHandlerServesMetricsAndDump(t *testing.T) {
	r := metrics.NewRegistry()
	metrics.NewRegisteredCounter("a_total", r).Inc(3)
	h := metrics.NewRegisteredHistogram("b_ms", r, metrics.NewUniformSample(10))
	h.Update(7)
	metrics.NewRegisteredFunctionalGauge("c", r, func() int64 { return 5 })
	handler := NewHandler(r, func() any { return map[string]int{"x": 1} })
	for path, wants := range map[string][]string{
		"/metrics": {"a_total 3\n", "b_ms_count 1\n", "b_ms{quantile=\"0.5\"} 7\n", "c 5\n"},
		"/dump":    {`"x": 1`},
	} {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest("GET", path, nil))
		for _, want := range wants {
			if !strings.Contains(w.Body.String(), want) {
				t.Errorf("%s holds no %q: %s", path, want, w.Body)
			}
		}
	}
}
