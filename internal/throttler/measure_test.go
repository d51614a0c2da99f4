package throttler

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
)

var measure = flag.Bool("measure", false, "run measurements")

// plan is a way to share a limit among fronts.
type plan interface {
	// tick is called every 10 ms.
	tick(now time.Time)
	// take reports whether a front may send a request to one of the servers now, and takes
	// it.
	take(now time.Time, front int) (server int, ok bool)
}

// workload is a number of servers that name the same rate, and callers that spread evenly
// over fronts.
type workload struct {
	name                  string
	fronts, cores         int
	servers               int
	rate, demandPerSecond float64
	// quiet is how long nothing comes before a burst of as many requests as fronts; 0 plays
	// none.
	quiet time.Duration
	// busyFronts is the number of fronts that get any request; 0 means all.
	busyFronts int
}

// played is the result of a workload: the requests sent as a share of the limits, and the
// most that one server got in 4 s as a share of the rule's bound.
type played struct{ usage, worst float64 }

func (w workload) play(p plan, random *rand.Rand) played {
	const step = 10 * time.Millisecond
	const length = 60 * time.Second
	sends := make([][]time.Time, w.servers)
	busy := w.busyFronts
	if busy == 0 {
		busy = w.fronts
	}
	total := 0
	for elapsed := time.Duration(0); elapsed < length; elapsed += step {
		now := t0.Add(elapsed)
		p.tick(now)
		arrivals := 0
		for range 20 {
			if random.Float64() < w.demandPerSecond*step.Seconds()/20 {
				arrivals++
			}
		}
		if w.quiet > 0 {
			phase := elapsed % (w.quiet + 4*time.Second)
			switch {
			case phase < w.quiet:
				arrivals = 0
			case phase == w.quiet:
				arrivals = 4 * w.fronts
			}
		}
		for range arrivals {
			if s, ok := p.take(now, random.IntN(busy)); ok {
				sends[s] = append(sends[s], now)
				if elapsed > 5*time.Second {
					total++
				}
			}
		}
	}
	out := played{usage: float64(total) / (w.rate * float64(w.servers) * (length - 5*time.Second).Seconds())}
	for _, s := range sends {
		for i, at := range s {
			n := 0
			for j := i; j >= 0 && at.Sub(s[j]) < 4*time.Second; j-- {
				n++
			}
			if at.Sub(t0) > 5*time.Second {
				out.worst = max(out.worst, float64(n)/(1.5*4*w.rate+5))
			}
		}
	}
	return out
}

// bucketPlan gives each front a fixed share in a token bucket that holds one request or as
// many as come in a second.
type bucketPlan struct {
	w      workload
	tokens [][]float64
	last   time.Time
}

func newBucketPlan(w workload, random *rand.Rand) *bucketPlan {
	p := &bucketPlan{w: w, tokens: make([][]float64, w.fronts), last: t0}
	for i := range p.tokens {
		p.tokens[i] = make([]float64, w.servers)
		for j := range p.tokens[i] {
			p.tokens[i][j] = random.Float64()
		}
	}
	return p
}

func (p *bucketPlan) tick(now time.Time) {
	share := p.w.rate / float64(p.w.fronts)
	for i := range p.tokens {
		for j := range p.tokens[i] {
			p.tokens[i][j] = min(p.tokens[i][j]+share*now.Sub(p.last).Seconds(), max(1, share))
		}
	}
	p.last = now
}

func (p *bucketPlan) take(_ time.Time, front int) (int, bool) {
	for s, n := range p.tokens[front] {
		if n >= 1 {
			p.tokens[front][s]--
			return s, true
		}
	}
	return 0, false
}

// allowancePlan is a front's Allowance, with permits from core processes or, if there are
// none, with slots alone.
type allowancePlan struct {
	w      workload
	fronts []*Allowance
	cores  []*Allocator
	limits []*Limit
	// nextPullAt is when each front's pull returns, and calledAt when it was made.
	nextPullAt, calledAt []time.Time
	demand               []map[identifier.VM]float64
	wait                 time.Duration
}

func newAllowancePlan(w workload, random *rand.Rand) *allowancePlan {
	p := &allowancePlan{w: w, nextPullAt: make([]time.Time, w.fronts), calledAt: make([]time.Time, w.fronts), wait: 20 * time.Millisecond}
	if w.fronts > 20 {
		p.wait = 240 * time.Millisecond
	}
	for range w.cores {
		p.cores = append(p.cores, &Allocator{Rand: random})
		p.demand = append(p.demand, map[identifier.VM]float64{})
	}
	for i := range w.fronts {
		a := &Allowance{Rand: random, Fronts: w.fronts}
		for s := range w.servers {
			a.Ledger.Observe(t0, serverName(s), 1, t0, named(Rate(w.rate)))
		}
		p.fronts = append(p.fronts, a)
		p.calledAt[i] = t0
		p.nextPullAt[i] = t0.Add(time.Duration(random.Int64N(int64(p.wait))))
		if w.cores > 0 {
			p.demand[i%w.cores][frontName(i)] = 0.1
			if w.busyFronts == 0 || i < w.busyFronts {
				p.demand[i%w.cores][frontName(i)] = 1
			}
		}
	}
	for s := range w.servers {
		p.limits = append(p.limits, p.fronts[0].Ledger.Get(serverName(s), 1))
	}
	return p
}

func serverName(i int) identifier.Server { return identifier.Server(fmt.Sprint("s", i)) }
func frontName(i int) identifier.VM      { return identifier.VM(fmt.Sprint("f", i)) }

func (p *allowancePlan) tick(now time.Time) {
	if p.w.cores == 0 {
		return
	}
	if now.Sub(t0)%(50*time.Millisecond) == 0 {
		for s, l := range p.limits {
			sum := 0.0
			own := make([]float64, p.w.cores)
			weights := make([]map[identifier.VM]float64, p.w.cores)
			for c, core := range p.cores {
				weights[c], own[c] = core.Weights(serverName(s), p.demand[c])
				sum += own[c]
			}
			for c, core := range p.cores {
				core.Advance(now, serverName(s), l.Rate, own[c]/sum, weights[c])
			}
		}
	}
	for i, f := range p.fronts {
		if now.Before(p.nextPullAt[i]) {
			continue
		}
		core := p.cores[i%p.w.cores]
		f.RecordContact(now, p.calledAt[i], core.Fetch(now, frontName(i)))
		core.Report(frontName(i), f.TakeReports(now)...)
		p.calledAt[i], p.nextPullAt[i] = now, now.Add(p.wait)
	}
}

func (p *allowancePlan) take(now time.Time, front int) (int, bool) {
	f := p.fronts[front]
	for s, l := range p.limits {
		if f.Take(now, l) {
			return s, true
		}
	}
	for _, l := range p.limits {
		f.RecordDenied(l)
	}
	return 0, false
}

// TestMeasureShares compares ways to share limits among fronts.
func TestMeasureShares(t *testing.T) {
	if !*measure {
		t.Skip("run with -measure")
	}
	for _, w := range []workload{
		{name: "9 fronts, demand 3 times", fronts: 9, cores: 3, servers: 3, rate: 5, demandPerSecond: 45},
		{name: "79 fronts, demand 3 times", fronts: 79, cores: 3, servers: 3, rate: 5, demandPerSecond: 45},
		{name: "79 fronts, demand 4 times", fronts: 79, cores: 3, servers: 3, rate: 5, demandPerSecond: 60},
		{name: "79 fronts, 8 cores, demand 4 times", fronts: 79, cores: 8, servers: 3, rate: 5, demandPerSecond: 60},
		{name: "79 fronts, a third of them busy", fronts: 79, cores: 3, servers: 3, rate: 5, demandPerSecond: 60, busyFronts: 26},
		{name: "79 fronts, 10 servers, 1/s", fronts: 79, cores: 8, servers: 10, rate: 1, demandPerSecond: 40},
		{name: "9 fronts, bursts, 0.5/s", fronts: 9, cores: 3, servers: 3, rate: 0.5, demandPerSecond: 20, quiet: 15 * time.Second},
		{name: "79 fronts, bursts, 0.5/s", fronts: 79, cores: 8, servers: 3, rate: 0.5, demandPerSecond: 60, quiet: 15 * time.Second},
		{name: "79 fronts, bursts, 4/s", fronts: 79, cores: 8, servers: 3, rate: 4, demandPerSecond: 60, quiet: 15 * time.Second},
	} {
		slots := w
		slots.cores = 0
		for name, p := range map[string]func(*rand.Rand) plan{
			"bucket of a fixed share": func(r *rand.Rand) plan { return newBucketPlan(w, r) },
			"expiring slots":          func(r *rand.Rand) plan { return newAllowancePlan(slots, r) },
			"permits":                 func(r *rand.Rand) plan { return newAllowancePlan(w, r) },
		} {
			var usage, worst float64
			const seeds = 5
			for seed := range uint64(seeds) {
				got := w.play(p(rand.New(rand.NewPCG(seed, 1))), rand.New(rand.NewPCG(seed, 2)))
				usage += got.usage / seeds
				worst = max(worst, got.worst)
			}
			t.Logf("%-40s %-25s usage %4.0f %%, worst window %4.0f %% of the bound", w.name, name, 100*usage, 100*worst)
		}
	}
}
