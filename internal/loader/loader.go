// Package loader runs open-loop load tests against a trefoilhead system and checks every
// answer.
//
// Requests are sent on schedule whether or not earlier ones were answered, as by real
// callers, so a slow system gets the same load as a fast one. Each chat request carries a
// request mark that the emulated servers repeat in every token. An answer counts as
// complete only if it has its end mark "data: [DONE]", exactly as many tokens as the
// request asked for, and no token of another request.
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

// ArrivalPattern says how the arrival rate of requests varies during a load test.
type ArrivalPattern string

// Values of ArrivalPattern. Constant has equal intervals between requests, Poisson
// exponentially distributed ones.
const (
	Constant ArrivalPattern = "constant"
	Poisson  ArrivalPattern = "poisson"
	// Ramp raises the rate linearly from 0 to RequestsPerSecond, but is never below 5 %
	// of it.
	Ramp ArrivalPattern = "ramp"
	// Peak has Poisson arrivals at half the rate, and at the full rate in the middle
	// third of the load test.
	Peak ArrivalPattern = "festival"
)

// Traffic describes the requests that a LoadTest sends for one team.
type Traffic struct {
	Team   string `json:"team"`
	APIKey string `json:"-"`
	// Service is the model service that requests name.
	Service string `json:"service"`
	// RequestsPerSecond is the arrival rate before Arrivals changes it.
	RequestsPerSecond float64        `json:"rate"`
	Arrivals          ArrivalPattern `json:"arrivals"`
	// MeanAnswerTokens is the mean number of tokens that requests ask for.
	MeanAnswerTokens int `json:"tokens"`
	// AnswerTokenSpread is the largest deviation from MeanAnswerTokens, as a fraction of
	// it: 0.5 draws uniformly from half to one and a half times as many tokens.
	AnswerTokenSpread float64 `json:"spread"`
	// MeanPromptBytes is the mean of the exponentially distributed lengths of prompts,
	// without their prefixes.
	MeanPromptBytes int `json:"prompt_bytes"`
	// PromptPrefixes is the number of distinct prefixes of prompts; 0 gives each prompt
	// a random prefix of its own.
	PromptPrefixes int `json:"prefixes"`
}

// LoadTest sends the traffic of one or more teams and reports the outcome by team.
// Exported fields are set before Run.
type LoadTest struct {
	// EntryURLs are the base URLs of the callers' addresses of entry VMs. Requests go
	// to them in turn.
	EntryURLs []string
	Traffic   []Traffic
	Duration  time.Duration
	// Timeout is how long a request may take until its last byte is read.
	Timeout time.Duration
	Seed    uint64
	Client  *http.Client
	// Progress, if set, is called once a second with the counts so far.
	Progress func(Counts)

	mu            sync.Mutex
	reportsByTeam map[string]*TeamReport
	waitGroup     sync.WaitGroup
	sentCount     int
}

// Counts counts requests by outcome.
type Counts struct {
	Sent     int `json:"sent"`
	Complete int `json:"complete"`
	// NotRun and MayHaveRun count the refusals with each statement.
	NotRun     int `json:"not_run"`
	MayHaveRun int `json:"unknown"`
	// Broken counts answers that ended with an error or without their end mark. Wrong
	// counts answers with an end mark but too few, too many or foreign tokens. Failed
	// counts requests that got no response.
	Broken int `json:"broken"`
	Wrong  int `json:"wrong"`
	Failed int `json:"failed"`
}

// TeamReport is the outcome for one team. Times are of complete answers only.
type TeamReport struct {
	Team string `json:"team"`
	Counts
	Codes             map[refuser.Code]int `json:"codes,omitempty"`
	TimeToFirstToken  Quantiles            `json:"first_token_ms"`
	TimeBetweenTokens Quantiles            `json:"between_tokens_ms"`
	TotalTime         Quantiles            `json:"total_ms"`

	timeToFirstToken, timeBetweenTokens, totalTime *hdrhistogram.Histogram
}

// Quantiles are quantiles of a time in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Range of the histograms in microseconds, and their precision in decimal digits.
const (
	lowestMicros      = 1
	highestMicros     = 600_000_000
	significantDigits = 3
)

func newTeamReport(team string) *TeamReport {
	newHistogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
	}
	return &TeamReport{Team: team, Codes: map[refuser.Code]int{}, timeToFirstToken: newHistogram(), timeBetweenTokens: newHistogram(), totalTime: newHistogram()}
}

func computeQuantiles(h *hdrhistogram.Histogram) Quantiles {
	const microsPerMilli = 1000
	millis := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / microsPerMilli }
	return Quantiles{P50: millis(50), P95: millis(95), P99: millis(99), Max: float64(h.Max()) / microsPerMilli}
}

// Run sends the requests of all teams, waits until every one has ended and returns the
// reports in the order of Traffic.
func (l *LoadTest) Run(ctx context.Context) []TeamReport {
	l.reportsByTeam = map[string]*TeamReport{}
	for _, t := range l.Traffic {
		l.reportsByTeam[t.Team] = newTeamReport(t.Team)
	}
	done := make(chan struct{})
	go l.reportProgress(done)
	var senders sync.WaitGroup
	for i, t := range l.Traffic {
		r := rand.New(rand.NewPCG(l.Seed, uint64(i)))
		senders.Go(func() { l.sendTraffic(ctx, t, r) })
	}
	senders.Wait()
	l.waitGroup.Wait()
	close(done)
	var out []TeamReport
	for _, t := range l.Traffic {
		rep := l.reportsByTeam[t.Team]
		rep.TimeToFirstToken, rep.TimeBetweenTokens, rep.TotalTime = computeQuantiles(rep.timeToFirstToken), computeQuantiles(rep.timeBetweenTokens), computeQuantiles(rep.totalTime)
		out = append(out, *rep)
	}
	return out
}

func (l *LoadTest) reportProgress(done chan struct{}) {
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
			l.Progress(l.totalCounts())
		}
	}
}

func (l *LoadTest) totalCounts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	var sum Counts
	for _, r := range l.reportsByTeam {
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

// sendTraffic starts one team's requests on schedule, whether or not earlier ones were
// answered.
func (l *LoadTest) sendTraffic(ctx context.Context, t Traffic, r *rand.Rand) {
	start := time.Now()
	at := time.Duration(0)
	for {
		at += t.nextInterval(r, at, l.Duration)
		if at >= l.Duration {
			return
		}
		timer := time.NewTimer(time.Until(start.Add(at)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		tokens := t.drawAnswerTokens(r)
		l.startRequest(ctx, t, t.newRequestBody(r, tokens), tokens)
	}
}

// nextInterval returns the time from the arrival at time at to the next one. duration is
// that of the whole load test.
func (t *Traffic) nextInterval(r *rand.Rand, at, duration time.Duration) time.Duration {
	rate := t.RequestsPerSecond
	elapsedFraction := float64(at) / float64(duration)
	switch t.Arrivals {
	case Ramp:
		rate *= max(elapsedFraction, 0.05)
	case Peak:
		if elapsedFraction < 1.0/3 || elapsedFraction > 2.0/3 {
			rate /= 2
		}
	}
	meanInterval := float64(time.Second) / rate
	if t.Arrivals == Poisson || t.Arrivals == Peak {
		return time.Duration(r.ExpFloat64() * meanInterval)
	}
	return time.Duration(meanInterval)
}

func (t *Traffic) drawAnswerTokens(r *rand.Rand) int {
	return max(1, int(float64(t.MeanAnswerTokens)*(1+t.AnswerTokenSpread*(2*r.Float64()-1))))
}

func (t *Traffic) newRequestBody(r *rand.Rand, tokens int) []byte {
	prefix := r.Uint64()
	if t.PromptPrefixes > 0 {
		prefix = uint64(r.IntN(t.PromptPrefixes))
	}
	n := int(r.ExpFloat64() * float64(t.MeanPromptBytes))
	prompt := fmt.Sprintf("prefix %d %s", prefix, strings.Repeat("x", n))
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
	l.sentCount++
	n := l.sentCount
	l.reportsByTeam[t.Team].Sent++
	l.mu.Unlock()
	url := l.EntryURLs[n%len(l.EntryURLs)]
	l.waitGroup.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, l.Timeout)
		defer cancel()
		res := l.sendRequest(ctx, url, t, body, fmt.Sprintf("load-%d-%d", l.Seed, n))
		l.recordResult(t, res, tokens)
	})
}

// result is the outcome of one request. isAnswered is set if its status was 200.
type result struct {
	refusal            *refuser.Refusal
	err                error
	hasEndMark         bool
	ownTokens          int
	foreignTokens      int
	timeToFirstToken   time.Duration
	totalTime          time.Duration
	timesBetweenTokens []time.Duration
	isAnswered         bool
}

func (l *LoadTest) sendRequest(ctx context.Context, url string, t Traffic, body []byte, mark string) result {
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
	res.isAnswered = true
	res.readStream(resp.Body, start, "."+mark+" ")
	return res
}

// readStream reads a streamed answer, measures the times of its tokens and counts the
// tokens that contain ownMark and those of other requests.
func (r *result) readStream(body io.Reader, start time.Time, ownMark string) {
	lastTokenAt := start
	lines := bufio.NewReader(body)
	for {
		line, err := lines.ReadSlice('\n')
		if err != nil {
			if err != io.EOF {
				r.err = err
			}
			r.totalTime = time.Since(start)
			return
		}
		switch {
		case bytes.HasPrefix(line, []byte("data: [DONE]")):
			r.hasEndMark = true
		case bytes.Contains(line, []byte(ownMark)):
			now := time.Now()
			if r.ownTokens == 0 {
				r.timeToFirstToken = now.Sub(start)
			} else {
				r.timesBetweenTokens = append(r.timesBetweenTokens, now.Sub(lastTokenAt))
			}
			lastTokenAt = now
			r.ownTokens++
		case bytes.Contains(line, []byte(`.load-`)):
			r.foreignTokens++
		}
	}
}

func (l *LoadTest) recordResult(t Traffic, r result, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rep := l.reportsByTeam[t.Team]
	switch {
	case r.refusal != nil:
		rep.Codes[r.refusal.Code]++
		if r.refusal.Statement == refuser.NotRun {
			rep.NotRun++
		} else {
			rep.MayHaveRun++
		}
	case !r.isAnswered:
		rep.Failed++
	case r.err != nil || !r.hasEndMark:
		rep.Broken++
	case r.foreignTokens > 0 || r.ownTokens != tokens:
		rep.Wrong++
	default:
		rep.Complete++
		_ = rep.timeToFirstToken.RecordValue(r.timeToFirstToken.Microseconds())
		_ = rep.totalTime.RecordValue(r.totalTime.Microseconds())
		for _, d := range r.timesBetweenTokens {
			_ = rep.timeBetweenTokens.RecordValue(d.Microseconds())
		}
	}
}
