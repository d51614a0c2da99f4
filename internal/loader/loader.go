// Package loader sends open-loop load to a trefoilhead and checks every answer.
//
// Arrivals do not wait for answers, as real callers do not, so a slow system
// meets the same load as a fast one. Each chat request carries a mark that the
// stand-ins repeat in every token; an answer counts as complete only with its
// end mark and exactly its own tokens.
package loader

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"trefoilhead.org/trefoilhead/internal/emulator"
	"trefoilhead.org/trefoilhead/internal/refuser"
)

// ArrivalPattern is the pattern of arrivals.
type ArrivalPattern string

// Patterns of arrivals.
const (
	Constant ArrivalPattern = "constant"
	Poisson  ArrivalPattern = "poisson"
	// Ramp grows evenly from nothing to the rate.
	Ramp ArrivalPattern = "ramp"
	// Peak is half the rate with a peak of the whole rate in the middle
	// third.
	Peak ArrivalPattern = "festival"
)

// Traffic is one team's load. Exported fields are set before Run.
type Traffic struct {
	Team   string `json:"team"`
	APIKey string `json:"-"`
	// Service is the model service that is asked.
	Service string `json:"service"`
	// RequestsPerSecond is the number of requests per second.
	RequestsPerSecond float64        `json:"rate"`
	Arrivals          ArrivalPattern `json:"arrivals"`
	// MeanAnswerTokens is the number of tokens asked for.
	MeanAnswerTokens int `json:"tokens"`
	// AnswerTokenSpread is the share by which the number of tokens varies evenly around
	// Tokens: 0.5 means from half to one and a half times as many.
	AnswerTokenSpread float64 `json:"spread"`
	// MeanPromptBytes is the mean length of a prompt; lengths are exponentially
	// distributed.
	MeanPromptBytes int `json:"prompt_bytes"`
	// PromptPrefixes is the number of distinct starts of prompts; 0 means that all
	// differ.
	PromptPrefixes int `json:"prefixes"`
}

// LoadTest is a run of the load tool.
type LoadTest struct {
	// EntryURLs are the base URLs of entries; requests go to them in turn.
	EntryURLs []string
	Traffic   []Traffic
	Duration  time.Duration
	// Timeout is what callers wait at most.
	Timeout time.Duration
	Seed    uint64
	Client  *http.Client
	// Progress is called once a second, if set, with the counts so far.
	Progress func(Counts)

	mu      sync.Mutex
	reports map[string]*TeamReport
	group   sync.WaitGroup
	sent    int
}

// Counts adds up the ends of requests.
type Counts struct {
	Sent     int `json:"sent"`
	Complete int `json:"complete"`
	// NotRun and Unknown are refusals by statement.
	NotRun     int `json:"not_run"`
	MayHaveRun int `json:"unknown"`
	// Broken answers ended early, with an error; Wrong ones look complete but
	// are not the request's own.
	Broken int `json:"broken"`
	Wrong  int `json:"wrong"`
	Failed int `json:"failed"`
}

// TeamReport is the outcome for one team.
type TeamReport struct {
	Team string `json:"team"`
	Counts
	Codes             map[refuser.Code]int `json:"codes,omitempty"`
	TimeToFirstToken  Quantiles            `json:"first_token_ms"`
	TimeBetweenTokens Quantiles            `json:"between_tokens_ms"`
	TotalTime         Quantiles            `json:"total_ms"`

	first, between, total *hdrhistogram.Histogram
}

// Quantiles are in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Bounds of the histograms, in microseconds.
const (
	lowestMicros  = 1
	highestMicros = 600_000_000
	digits        = 3
)

func newTeamReport(team string) *TeamReport {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(lowestMicros, highestMicros, digits) }
	return &TeamReport{Team: team, Codes: map[refuser.Code]int{}, first: h(), between: h(), total: h()}
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	const microsPerMilli = 1000
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / microsPerMilli }
	return Quantiles{P50: at(50), P95: at(95), P99: at(99), Max: float64(h.Max()) / microsPerMilli}
}

// Run sends the load and waits for every answer.
func (l *LoadTest) Run(ctx context.Context) []TeamReport {
	l.reports = map[string]*TeamReport{}
	for _, t := range l.Traffic {
		l.reports[t.Team] = newTeamReport(t.Team)
	}
	done := make(chan struct{})
	go l.progress(done)
	var senders sync.WaitGroup
	for i, t := range l.Traffic {
		r := rand.New(rand.NewPCG(l.Seed, uint64(i)))
		senders.Go(func() { l.send(ctx, t, r) })
	}
	senders.Wait()
	l.group.Wait()
	close(done)
	var out []TeamReport
	for _, t := range l.Traffic {
		rep := l.reports[t.Team]
		rep.TimeToFirstToken, rep.TimeBetweenTokens, rep.TotalTime = quantiles(rep.first), quantiles(rep.between), quantiles(rep.total)
		out = append(out, *rep)
	}
	return out
}

func (l *LoadTest) progress(done chan struct{}) {
	if l.Progress == nil {
		return
	}
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			l.Progress(l.counts())
		}
	}
}

func (l *LoadTest) counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	var sum Counts
	for _, r := range l.reports {
		sum.Sent += r.Sent
		sum.Complete += r.Complete
		sum.NotRun += r.NotRun
		sum.MayHaveRun += r.MayHaveRun
		sum.Broken += r.Broken
		sum.Wrong += r.Wrong
		sum.Failed += r.Failed
	}
	return sum
}

// send starts one team's requests on time, whatever becomes of earlier ones.
func (l *LoadTest) send(ctx context.Context, t Traffic, r *rand.Rand) {
	start := time.Now()
	at := time.Duration(0)
	for {
		at += t.gap(r, at, l.Duration)
		if at >= l.Duration {
			return
		}
		wait := time.NewTimer(time.Until(start.Add(at)))
		select {
		case <-ctx.Done():
			wait.Stop()
			return
		case <-wait.C:
		}
		tokens := t.tokens(r)
		l.startRequest(ctx, t, t.body(r, tokens), tokens)
	}
}

// gap returns the time to the next arrival.
func (t *Traffic) gap(r *rand.Rand, at, whole time.Duration) time.Duration {
	rate := t.RequestsPerSecond
	share := float64(at) / float64(whole)
	switch t.Arrivals {
	case Ramp:
		rate *= max(share, 0.05)
	case Peak:
		if share < 1.0/3 || share > 2.0/3 {
			rate /= 2
		}
	}
	mean := float64(time.Second) / rate
	if t.Arrivals == Poisson || t.Arrivals == Peak {
		return time.Duration(r.ExpFloat64() * mean)
	}
	return time.Duration(mean)
}

func (t *Traffic) tokens(r *rand.Rand) int {
	return max(1, int(float64(t.MeanAnswerTokens)*(1+t.AnswerTokenSpread*(2*r.Float64()-1))))
}

func (t *Traffic) body(r *rand.Rand, tokens int) []byte {
	start := r.Uint64()
	if t.PromptPrefixes > 0 {
		start = uint64(r.IntN(t.PromptPrefixes))
	}
	n := int(r.ExpFloat64() * float64(t.MeanPromptBytes))
	prompt := fmt.Sprintf("prefix %d %s", start, strings.Repeat("x", n))
	b, err := json.Marshal(map[string]any{
		"model": t.Service, "stream": true, "max_tokens": tokens,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	if err != nil {
		// Strings and numbers can always be encoded.
		panic(err)
	}
	return b
}

func (l *LoadTest) startRequest(ctx context.Context, t Traffic, body []byte, tokens int) {
	l.mu.Lock()
	l.sent++
	n := l.sent
	l.reports[t.Team].Sent++
	l.mu.Unlock()
	url := l.EntryURLs[n%len(l.EntryURLs)]
	l.group.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, l.Timeout)
		defer cancel()
		res := l.ask(ctx, url, t, body, fmt.Sprintf("load-%d-%d", l.Seed, n))
		l.note(t, res, tokens)
	})
}

// result is the end of one request.
type result struct {
	refusal  *refuser.Refusal
	err      error
	marked   bool
	tokens   int
	foreign  int
	first    time.Duration
	total    time.Duration
	between  []time.Duration
	answered bool
}

func (l *LoadTest) ask(ctx context.Context, url string, t Traffic, body []byte, mark string) result {
	var res result
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		res.err = err
		return res
	}
	req.Header.Set("Authorization", "Bearer "+t.APIKey)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(emulator.HeaderRequestMark, mark)
	start := time.Now()
	resp, err := l.Client.Do(req)
	if err != nil {
		res.err = err
		return res
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		data, err := io.ReadAll(resp.Body)
		res.refusal, res.err = refuser.Parse(resp.StatusCode, data), err
		return res
	}
	res.answered = true
	res.read(resp.Body, start, "."+mark+" ")
	return res
}

// read takes a stream and checks that every token is the request's own.
func (r *result) read(body io.Reader, start time.Time, own string) {
	last := start
	lines := bufio.NewReader(body)
	for {
		line, err := lines.ReadSlice('\n')
		if err != nil {
			if err != io.EOF {
				r.err = err
			}
			r.total = time.Since(start)
			return
		}
		switch {
		case bytes.HasPrefix(line, []byte("data: [DONE]")):
			r.marked = true
		case bytes.Contains(line, []byte(own)):
			now := time.Now()
			if r.tokens == 0 {
				r.first = now.Sub(start)
			} else {
				r.between = append(r.between, now.Sub(last))
			}
			last = now
			r.tokens++
		case bytes.Contains(line, []byte(`.load-`)):
			r.foreign++
		}
	}
}

func (l *LoadTest) note(t Traffic, r result, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rep := l.reports[t.Team]
	switch {
	case r.refusal != nil:
		rep.Codes[r.refusal.Code]++
		if r.refusal.Statement == refuser.NotRun {
			rep.NotRun++
		} else {
			rep.MayHaveRun++
		}
	case !r.answered:
		rep.Failed++
	case r.err != nil || !r.marked:
		rep.Broken++
	case r.foreign > 0 || r.tokens != tokens:
		rep.Wrong++
	default:
		rep.Complete++
		_ = rep.first.RecordValue(r.first.Microseconds())
		_ = rep.total.RecordValue(r.total.Microseconds())
		for _, d := range r.between {
			_ = rep.between.RecordValue(d.Microseconds())
		}
	}
}
