package demonstrator

import (
	"bufio"
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"

	"trefoilhead.org/trefoilhead/internal/configurer"
	"trefoilhead.org/trefoilhead/internal/declarer"
	"trefoilhead.org/trefoilhead/internal/dialer"
	"trefoilhead.org/trefoilhead/internal/emulator"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/recorder"
	"trefoilhead.org/trefoilhead/pkg/wire/trefoilheadv1"
	"trefoilhead.org/trefoilhead/pkg/wire/trefoilheadv1/trefoilheadv1connect"
)

//go:embed demo.yaml
var demoDeclarations []byte

// apiKey is the key of the demo's team; its hash stands in demo.yaml.
const apiKey = "demo-team-key"

// Bounds of the demo's steps.
const (
	formBound  = 60 * time.Second
	drainBound = 8 * time.Second
	pollTime   = 100 * time.Millisecond
	chatTokens = 24
)

// DemoConfig returns the size of the demo: three failure domains with one entry
// VM, five engines and one booking server each.
func DemoConfig() ClusterConfig {
	return ClusterConfig{
		FailureDomains: []identifier.FailureDomain{"riga-a", "riga-b", "riga-c"}, EntryVMsPerDomain: 1, EnginesPerDomain: 5,
		PlainServersPerDomain: map[identifier.Service]int{"shift-booking": 1},
		EngineProfile: emulator.Profile{
			LoadTime: 500 * time.Millisecond, TimeToFirstToken: 30 * time.Millisecond, TimeBetweenTokens: 2 * time.Millisecond,
			WarmConcurrency: 32, ColdConcurrency: 8, WarmUpTime: 3 * time.Second,
		},
		PlainProfile: emulator.Profile{TimeToFirstToken: 5 * time.Millisecond, WarmConcurrency: 16, ColdConcurrency: 16},
		Timing: configurer.Timing{
			HeartbeatInterval: 250 * time.Millisecond, SilenceTimeout: time.Second, PlacementLeaseDuration: 2 * time.Second,
			HalfLimitTime: 4 * time.Second, MaxOrderLifetime: 2 * time.Second, ConfigPullInterval: 500 * time.Millisecond,
			ShutdownTimeout: 10 * time.Second,
		},
	}
}

// Demo shows the main job. Exported fields are set before Run.
type Demo struct {
	Out    io.Writer
	Logger log.Logger
	// Once ends the demo after its steps instead of serving on.
	Once bool

	bench  Cluster
	failed int
}

// Run starts the bench, shows each step and, unless Once is set, keeps serving
// until ctx ends. The error tells that a step did not hold.
func (d *Demo) Run(ctx context.Context) error {
	folder, remove, err := tempFolder()
	if err != nil {
		return err
	}
	defer remove()
	d.bench = Cluster{Config: DemoConfig(), Logger: d.Logger, DataFolder: folder}
	if err := d.bench.Start(); err != nil {
		return err
	}
	defer d.bench.Stop()
	for _, step := range []func(context.Context) error{d.apply, d.waitForGroups, d.chat, d.book, d.takeOut, d.bringBack} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	if d.failed > 0 {
		return Error.New("%d checks did not hold", d.failed)
	}
	d.say("all checks held")
	if !d.Once {
		d.serveOn(ctx)
	}
	return nil
}

func (d *Demo) say(format string, args ...any) { _, _ = fmt.Fprintf(d.Out, format+"\n", args...) }

func (d *Demo) check(ok bool, format string, args ...any) {
	word := "ok"
	if !ok {
		word = "FAILED"
		d.failed++
	}
	d.say("  %-6s  %s", word, fmt.Sprintf(format, args...))
}

func (d *Demo) operator() trefoilheadv1connect.OperatorClient {
	return dialer.NewOperatorClient(http.DefaultClient, d.bench.Entries[0].ControlURL(), OperatorKey)
}

func (d *Demo) apply(ctx context.Context) error {
	declared, err := declarer.Parse("demo.yaml", demoDeclarations)
	if err != nil {
		return err
	}
	d.say("started %d entry processes and %d stand-ins in %d failure domains", len(d.bench.Entries), len(d.bench.Backends), len(d.bench.Config.FailureDomains))
	req := &trefoilheadv1.ApplyRequest{RequestId: "demo-apply"}
	for _, o := range declared.Objects() {
		req.Put = append(req.Put, &trefoilheadv1.Object{Kind: o.Kind, Id: o.ID, Body: o.Body})
	}
	start := time.Now()
	resp, err := d.operator().Apply(ctx, connect.NewRequest(req))
	if err != nil {
		return Error.Wrap(err)
	}
	d.say("applied %d declarations as revision %d in %s", len(req.Put), resp.Msg.GetRevision(), time.Since(start).Round(time.Millisecond))
	return nil
}

func (d *Demo) waitForGroups(ctx context.Context) error {
	start := time.Now()
	for time.Since(start) < formBound && ctx.Err() == nil {
		serving := 0
		resp, err := d.operator().ListGroups(ctx, connect.NewRequest(&trefoilheadv1.ListGroupsRequest{}))
		if err != nil {
			return Error.Wrap(err)
		}
		for _, g := range resp.Msg.GetGroups() {
			if g.GetState() == "serving" {
				serving++
			}
		}
		if want := 3 * len(d.bench.Entries); serving == want {
			d.check(true, "%d groups serve after %s", serving, time.Since(start).Round(time.Millisecond))
			return nil
		}
		time.Sleep(pollTime)
	}
	return Error.New("the groups did not form in %s", formBound)
}

func (d *Demo) chat(ctx context.Context) error {
	start := time.Now()
	text, complete, err := d.streamChat(ctx, d.bench.Entries[0].CallersURL(), "demo-1")
	if err != nil {
		return err
	}
	d.check(complete && strings.Count(text, ".demo-1") == chatTokens,
		"a streamed chat completion: %d tokens with its end mark in %s", strings.Count(text, ".demo-1"), time.Since(start).Round(time.Millisecond))
	return nil
}

// streamChat returns the text of a streamed chat completion and whether its
// end mark came.
func (d *Demo) streamChat(ctx context.Context, url, mark string) (string, bool, error) {
	body := fmt.Sprintf(`{"model":"dispatch-assistant","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"Brief the night shift."}]}`, chatTokens)
	req, err := newRequest(ctx, url+"/v1/chat/completions", body, mark)
	if err != nil {
		return "", false, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", false, Error.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(resp.Body)
		return string(data), false, nil
	}
	return readStream(resp.Body)
}

func newRequest(ctx context.Context, url, body, mark string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(emulator.HeaderRequestMark, mark)
	return req, nil
}

func readStream(r io.Reader) (string, bool, error) {
	var text strings.Builder
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if data == "[DONE]" {
			return text.String(), true, nil
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if ok && json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) > 0 {
			text.WriteString(chunk.Choices[0].Delta.Content)
		}
	}
	return text.String(), false, nil
}

// book sends one booking twice under one key through different entries.
func (d *Demo) book(ctx context.Context) error {
	var answers []string
	for _, e := range d.bench.Entries[:2] {
		req, err := newRequest(ctx, e.CallersURL()+"/services/shift-booking/bookings", `{"worker":"w-17","site":"quay-4"}`, "booking-1")
		if err != nil {
			return err
		}
		req.Header.Set("Idempotency-Key", "booking-1")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return Error.Wrap(err)
		}
		data, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return Error.Wrap(err)
		}
		answers = append(answers, fmt.Sprintf("%d %s", resp.StatusCode, data))
	}
	runs := d.runs("booking-1")
	d.check(runs == 1 && answers[0] == answers[1] && strings.HasPrefix(answers[0], "201"),
		"one booking sent twice under one key, through two entries: ran %d time(s), answers equal: %t", runs, answers[0] == answers[1])
	return nil
}

func (d *Demo) runs(mark string) int {
	n := 0
	for _, b := range d.bench.Backends {
		n += b.Server.RunCounts()[mark]
	}
	return n
}

// takeOut drains a failure domain while requests go on and measures when the
// last new request reached it.
func (d *Demo) takeOut(ctx context.Context) error {
	domain := d.bench.Config.FailureDomains[2]
	if err := d.drain(ctx, domain, true); err != nil {
		return err
	}
	start := time.Now()
	var last time.Duration
	complete, refused := 0, 0
	before := d.executed(domain)
	for i := 0; time.Since(start) < drainBound; i++ {
		e := d.bench.Entries[i%len(d.bench.Entries)]
		_, ok, err := d.streamChat(ctx, e.CallersURL(), fmt.Sprintf("move-%d", i))
		if err != nil {
			return err
		}
		if ok {
			complete++
		} else {
			refused++
		}
		if now := d.executed(domain); now != before {
			last, before = time.Since(start), now
		}
	}
	const bound = 5 * time.Second
	d.check(refused == 0 && complete > 0, "failure domain %s taken out: %d answers complete, %d refused", domain, complete, refused)
	d.check(last < bound, "the last new request reached it %s after the call", last.Round(time.Millisecond))
	return nil
}

func (d *Demo) drain(ctx context.Context, domain identifier.FailureDomain, out bool) error {
	get, err := d.operator().Get(ctx, connect.NewRequest(&trefoilheadv1.GetRequest{}))
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = d.operator().SetDrain(ctx, connect.NewRequest(&trefoilheadv1.SetDrainRequest{
		RequestId: fmt.Sprintf("demo-drain-%t", out), ExpectedRevision: get.Msg.GetRevision(), Drained: out,
		Target: &trefoilheadv1.Drain{Kind: recorder.DrainFailureDomain, Id: string(domain)},
	}))
	return Error.Wrap(err)
}

func (d *Demo) executed(domain identifier.FailureDomain) int {
	n := 0
	for _, b := range d.bench.Backends {
		if b.FailureDomain == domain {
			for _, count := range b.Server.RunCounts() {
				n += count
			}
		}
	}
	return n
}

func (d *Demo) bringBack(ctx context.Context) error {
	domain := d.bench.Config.FailureDomains[2]
	if err := d.drain(ctx, domain, false); err != nil {
		return err
	}
	start := time.Now()
	before := d.executed(domain)
	for i := 0; time.Since(start) < drainBound; i++ {
		if _, _, err := d.streamChat(ctx, d.bench.Entries[2].CallersURL(), fmt.Sprintf("back-%d", i)); err != nil {
			return err
		}
		if d.executed(domain) != before {
			d.check(true, "failure domain %s brought back: it answers again after %s", domain, time.Since(start).Round(time.Millisecond))
			return nil
		}
	}
	d.check(false, "failure domain %s brought back: it did not answer within %s", domain, drainBound)
	return nil
}

func (d *Demo) serveOn(ctx context.Context) {
	d.say("serving until interrupted; the team's API key is %s, the operators' key %s", apiKey, OperatorKey)
	for _, e := range d.bench.Entries {
		d.say("  %s: callers %s, control %s", e.Settings.VM, e.CallersURL(), e.ControlURL())
	}
	<-ctx.Done()
}
