package forwarder

import (
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"trefoilhead.org/trefoilhead/internal/throttler"
)

// observeLimit records what the answer says about the request rate of its server. An answer
// that does not come from the server itself says nothing.
func (x *exchange) observeLimit() {
	if x.resp.StatusCode == http.StatusMisdirectedRequest || !x.respInfo.Signed && !x.respInfo.NotRun {
		return
	}
	f := x.q.f
	now := time.Now()
	s := x.respInfo.Limit
	f.mu.Lock()
	defer f.mu.Unlock()
	was := f.limits.Get(x.server, x.incarnation)
	rate := throttler.Rate(0)
	if was != nil {
		rate = was.Rate
	}
	switch f.limits.Observe(now, x.server, x.incarnation, x.sentAt, s) {
	case throttler.Began:
		_ = level.Info(f.Logger).Log("msg", "server names a limit", "server", x.server, "per_s", float64(s.Rate), "id", x.q.info.ID)
	case throttler.RateChanged:
		_ = level.Info(f.Logger).Log("msg", "server names another limit", "server", x.server, "per_s", float64(s.Rate), "was_per_s", float64(rate), "id", x.q.info.ID)
	case throttler.Ended:
		_ = level.Info(f.Logger).Log("msg", "server names no limit any more", "server", x.server, "was_per_s", float64(rate), "id", x.q.info.ID)
	}
	if s.Kind == throttler.UnreadableLimit {
		_ = level.Info(f.Logger).Log("msg", "limit of a server cannot be read", "server", x.server, "id", x.q.info.ID)
	}
}

// limitCount returns the number of limits in force that this front knows.
func (f *Forwarder) limitCount() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return int64(len(f.limits.Limits()))
}
