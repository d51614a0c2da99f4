package forwarder

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"trefoilhead.org/trefoilhead/internal/throttler"
)

// randomRun is one arrival of a request at a server of a random test.
type randomRun struct {
	server   string
	rejected bool
	// end says how the run ended: "" if it has not, "whole", "failed", "broke off", or "canceled" if the front closed the connection.
	end     string
	endedAt time.Time
	beganAt time.Time
}

// randomServers are the servers of a random test.
type randomServers struct {
	seed uint64
	mu   sync.Mutex
	runs map[string][]*randomRun
	// limited is set if the server second names a rate.
	limited bool
}

const (
	randomRequests = 24
	randomEvents   = 6
	// randomLimit is the time limit of all requests.
	randomLimit = 8 * time.Second
)

// begin records an arrival and returns random numbers that depend on it only.
func (s *randomServers) begin(id, server string) (*randomRun, *rand.Rand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, id, " ", server, " ", len(s.runs[id]))
	run := &randomRun{server: server, beganAt: time.Now()}
	s.runs[id] = append(s.runs[id], run)
	return run, rand.New(rand.NewPCG(s.seed, h.Sum64()))
}

func (s *randomServers) end(run *randomRun, how string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run.end, run.endedAt = how, time.Now()
}

// pause waits, and reports false if the front closes the connection meanwhile.
func pause(c net.Conn, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	_ = c.SetReadDeadline(time.Now().Add(d))
	_, err := c.Read(make([]byte, 1))
	_ = c.SetReadDeadline(time.Time{})
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// randomTime returns a random time. Half of them are multiples of StallCheckInterval, so that events come at the very time of
// a check.
func randomTime(r *rand.Rand, most time.Duration) time.Duration {
	d := time.Duration(r.Int64N(int64(most)))
	if r.IntN(2) == 0 {
		d = d.Truncate(StallCheckInterval)
	}
	return d
}

// serve returns a server that pauses, rejects, fails and breaks off at random.
func (s *randomServers) serve(name string) func(net.Conn, *http.Request) bool {
	return func(c net.Conn, req *http.Request) bool {
		id := req.Header.Get("Id")
		run, r := s.begin(id, name)
		how := s.respond(c, req, run, r)
		s.end(run, how)
		return how == "whole" || how == "failed"
	}
}

func (s *randomServers) respond(c net.Conn, req *http.Request, run *randomRun, r *rand.Rand) string {
	id := req.Header.Get("Id")
	write := func(text string) bool {
		_, err := c.Write([]byte(text))
		return err == nil
	}
	limit := ""
	if s.limited && run.server == "second" {
		limit = "Limit: 5\r\n"
	}
	wait := time.Duration(0)
	if r.IntN(3) == 0 {
		wait = randomTime(r, 1500*time.Millisecond)
	}
	if !pause(c, wait) {
		return "canceled"
	}
	switch r.IntN(20) {
	case 0, 1, 2, 3, 4:
		run.rejected = true
		if !write("HTTP/1.1 503 Full\r\nNot-Run: 1\r\n" + limit + "Content-Length: 0\r\n\r\n") {
			return "canceled"
		}
		return "failed"
	case 5:
		if !write(fmt.Sprintf("HTTP/1.1 500 No\r\nId: %s\r\nSigned: s\r\n%sContent-Length: 0\r\n\r\n", id, limit)) {
			return "canceled"
		}
		return "failed"
	case 6:
		return "broke off"
	case 7:
		// Silent for good.
		pause(c, time.Hour)
		return "canceled"
	}
	if !strings.HasPrefix(req.URL.Path, "/stream/") {
		whole := wholeStream(randomEvents)
		if !write(fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSigned: s\r\n%sContent-Length: %d\r\n\r\n%s", id, limit, len(whole), whole[:len(whole)/2])) {
			return "canceled"
		}
		if r.IntN(10) == 0 {
			return "broke off"
		}
		if r.IntN(3) == 0 && !pause(c, randomTime(r, 1500*time.Millisecond)) || !write(whole[len(whole)/2:]) {
			return "canceled"
		}
		return "whole"
	}
	from := 0
	_, _ = fmt.Sscan(req.Header.Get("Last"), &from)
	if !write(strings.Replace(fmt.Sprintf(streamHeaderFormat, id), "Content-Type", limit+"Content-Type", 1)) {
		return "canceled"
	}
	for i := from + 1; i <= randomEvents; i++ {
		d := 50 * time.Millisecond
		if r.IntN(6) == 0 {
			d = randomTime(r, 1500*time.Millisecond)
		}
		if !pause(c, d) {
			return "canceled"
		}
		text := fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i)
		switch r.IntN(25) {
		case 0:
			write(fmt.Sprintf("%x\r\n%s\r\n", len(text)-4, text[:len(text)-4]))
			return "broke off"
		case 1, 2, 3:
			write(chunk(commentText))
		case 4:
			// The event comes in two pieces.
			half := len(text) / 2
			if !write(chunk(text[:half])) || !pause(c, randomTime(r, time.Second)) || !write(chunk(text[half:])) {
				return "canceled"
			}
			continue
		}
		if !write(chunk(text)) {
			return "canceled"
		}
	}
	if r.IntN(6) == 0 && !pause(c, randomTime(r, time.Second)) || !write("0\r\n\r\n") {
		return "canceled"
	}
	return "whole"
}

// randomCall is what became of one request.
type randomCall struct {
	callResult
	id, path        string
	left            bool
	sentAt, endedAt time.Time
}

// TestRandomServersAndCallers guards against answers that are given up, joined wrongly, run too often or left running, in any
// order of pauses, rejections, failures, broken connections and callers who leave.
func TestRandomServersAndCallers(t *testing.T) {
	for seed := range uint64(randomSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playRandomAnswers(t, seed) })
	}
}

const randomSeeds = 1000

func playRandomAnswers(t *testing.T, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 47))
	servers := &randomServers{seed: seed, runs: map[string][]*randomRun{}}
	backends := backendHandlers{"first": servers.serve("first")}
	for _, name := range []string{"second", "third", "fourth", "fifth"}[:1+r.IntN(4)] {
		backends[name] = servers.serve(name)
	}
	servers.limited = r.IntN(3) == 0
	// The front ends all requests at endAfter, and is suspended at times.
	endAfter, suspended := time.Hour, r.IntN(3) == 0
	if r.IntN(6) == 0 {
		endAfter = time.Second + randomTime(r, 3*time.Second)
	}
	maxAttempts, slack := 2+r.IntN(3), []float64{0, 5, 1000}[r.IntN(3)]
	withTestbed(t, backends, func(tb *testbed) {
		tb.setMaxAttempts(maxAttempts)
		tb.RetryRatio, tb.RetrySlack = 0, slack/retryBudgetShare+0.01
		tb.disturb(servers, endAfter, suspended)
		endsAt := time.Now().Add(endAfter)
		var calls [randomRequests]randomCall
		var wg sync.WaitGroup
		for i := range calls {
			c := &calls[i]
			c.id, c.path = fmt.Sprintf("q%d", i), []string{"/stream/x", "/stream/x", "/stream/x", "/any/x", "/once/x"}[r.IntN(5)]
			delay, leaveAfter := randomTime(r, 3*time.Second), time.Hour
			if r.IntN(8) == 0 {
				leaveAfter = randomTime(r, 3*time.Second)
			}
			wg.Go(func() {
				time.Sleep(delay)
				ctx, leave := context.WithTimeout(context.Background(), leaveAfter)
				defer leave()
				c.sentAt = time.Now()
				c.callResult = tb.call(ctx, "POST", c.path, "", "Id", c.id)
				c.endedAt, c.left = time.Now(), ctx.Err() != nil || !time.Now().Before(endsAt)
			})
		}
		wg.Wait()
		time.Sleep(maxSkipTime + time.Millisecond)
		servers.mu.Lock()
		defer servers.mu.Unlock()
		repeats := 0
		for i := range calls {
			repeats += max(0, len(servers.runs[calls[i].id])-1)
			if fault := calls[i].fault(servers.runs[calls[i].id], maxAttempts); fault != "" {
				t.Errorf("%s %s: %s; status %d, cut %v, left %v, after %s; runs:%s", calls[i].id, calls[i].path, fault, calls[i].status, calls[i].cut, calls[i].left,
					calls[i].endedAt.Sub(calls[i].sentAt), describeRuns(servers.runs[calls[i].id], calls[i].sentAt))
			}
		}
		if slack < 1000 && repeats > int(slack)*2 {
			t.Errorf("%d repeats, the budget allows %g each 10 s", repeats, slack)
		}
		tb.checkAtRest(servers)
	})
}

// fault returns what is wrong with a request, or an empty string.
func (c *randomCall) fault(runs []*randomRun, maxAttempts int) string {
	executed, brokeOff, givenUp := 0, 0, 0
	for i, run := range runs {
		for _, earlier := range runs[:i] {
			if earlier.server == run.server && earlier.end != "" && earlier.endedAt.After(run.beganAt) {
				return "two runs at one server"
			}
		}
		if run.rejected {
			continue
		}
		executed++
		switch run.end {
		case "":
			return "a server is still at work"
		case "broke off", "failed":
			brokeOff++
		case "canceled":
			if run.endedAt.Sub(c.endedAt) > -time.Millisecond {
				givenUp++
			}
			if run.endedAt.Sub(c.endedAt) > time.Millisecond {
				return "a server was at work after the end"
			}
		}
	}
	allowed := maxAttempts
	if c.path == "/once/x" {
		allowed = 1
	}
	whole := c.status == http.StatusOK && !c.cut
	switch {
	case executed > allowed:
		return fmt.Sprintf("%d runs, allowed are %d", executed, allowed)
	case whole && strings.ReplaceAll(c.body, commentText, "") != wholeStream(randomEvents):
		return fmt.Sprintf("wrong body %q", c.body)
	case c.cut && c.status == http.StatusOK && !strings.HasPrefix(wholeStream(randomEvents), strings.ReplaceAll(c.body, commentText, "")):
		return fmt.Sprintf("wrong part %q", c.body)
	case c.status == http.StatusServiceUnavailable && executed > 0:
		return "refused and ran"
	case whole || c.left || c.endedAt.Sub(c.sentAt) >= randomLimit:
		return ""
	case givenUp > 0:
		return "given up while a server was at work"
	case executed > 0 && brokeOff == 0:
		return "given up although no server failed"
	}
	return ""
}

func describeRuns(runs []*randomRun, from time.Time) string {
	var b strings.Builder
	for _, run := range runs {
		_, _ = fmt.Fprintf(&b, " %s rejected=%v %q at %s", run.server, run.rejected, run.end, run.endedAt.Sub(from))
	}
	return b.String()
}

// checkAtRest checks that nothing is left of the requests.
func (tb *testbed) checkAtRest(servers *randomServers) {
	tb.t.Helper()
	arrivals := 0
	for _, runs := range servers.runs {
		for _, run := range runs {
			if run.server == "second" {
				arrivals++
			}
		}
	}
	used := 0
	for _, report := range tb.TakePermitReports(time.Now()) {
		used += report.Used
	}
	if servers.limited && used != arrivals {
		tb.t.Errorf("%d permits were used for %d requests", used, arrivals)
	}
	for id, l := range tb.OwnLoads() {
		if l.Running != 0 || l.PendingPromptTokens != 0 {
			tb.t.Errorf("load of %s: %+v", id, l)
		}
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if n, m := len(tb.activeExchanges), len(tb.requests); n > 0 || m > 0 {
		tb.t.Errorf("%d exchanges and %d requests are left", n, m)
	}
}

// disturb suspends the front at times, ends its requests after a while, and grants it permits for the server second if that
// names a rate.
func (tb *testbed) disturb(servers *randomServers, endAfter time.Duration, suspended bool) {
	time.AfterFunc(endAfter, tb.EndRequests)
	if servers.limited {
		tb.mu.Lock()
		now := time.Now()
		tb.chooser.Allowance.Ledger.Observe(now, "second", 1, now, throttler.Statement{Kind: throttler.NamedLimit, Rate: 5})
		tb.mu.Unlock()
	}
	ctx := tb.t.Context()
	go func() {
		for i := 0; ctx.Err() == nil; i++ {
			if servers.limited {
				now := time.Now()
				tb.ApplyLimits(now, "core", nil, []throttler.Grant{{Server: "second", Issuer: 1, Permits: 2, Lifetime: time.Second}})
			}
			if suspended {
				tb.loopPaused.Store(i%3 == 0)
			}
			select {
			case <-ctx.Done():
			case <-time.After(333 * time.Millisecond):
			}
		}
	}()
}
