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

// teamAPIKey is the API key of the demo's team. demo.yaml holds its SHA-256 hash.
const teamAPIKey = "demo-team-key"

// Times and sizes of the demo's steps. evacuationStepTime is how long requests are sent
// after a failure domain is evacuated, and how long the first request to it may take to
// arrive after it is reinstated.
const (
	formationTimeout   = 60 * time.Second
	evacuationStepTime = 8 * time.Second
	pollInterval       = 100 * time.Millisecond
	chatTokens         = 24
)

// DemoConfig returns the configuration of the demo's cluster: three failure domains with
// one entry VM, five engines and one booking server each.
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

// Demo checks the main functions of a cluster and prints the results to Out. Exported
// fields are set before Run.
type Demo struct {
	Out    io.Writer
	Logger log.Logger
	// Once ends the demo after its steps. Otherwise the cluster serves until ctx ends.
	Once bool

	cluster      Cluster
	failedChecks int
}

// Run starts the cluster and runs the steps; unless Once is set, the cluster then serves
// until ctx ends. Run returns an error if a step or a check failed.
func (d *Demo) Run(ctx context.Context) error {
	folder, removeFolder, err := newTempFolder()
	if err != nil {
		return err
	}
	defer removeFolder()
	d.cluster = Cluster{Config: DemoConfig(), Logger: d.Logger, DataFolder: folder}
	if err := d.cluster.Start(); err != nil {
		return err
	}
	defer d.cluster.Stop()
	for _, step := range []func(context.Context) error{d.applyDeclarations, d.waitForGroups, d.checkStreamedChat, d.checkRetriedBooking, d.checkEvacuation, d.checkReinstatement} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	if d.failedChecks > 0 {
		return Error.New("%d checks did not hold", d.failedChecks)
	}
	d.printLine("all checks held")
	if !d.Once {
		d.serveUntilDone(ctx)
	}
	return nil
}

func (d *Demo) printLine(format string, args ...any) { _, _ = fmt.Fprintf(d.Out, format+"\n", args...) }

func (d *Demo) reportCheck(ok bool, format string, args ...any) {
	verdict := "ok"
	if !ok {
		verdict = "FAILED"
		d.failedChecks++
	}
	d.printLine("  %-6s  %s", verdict, fmt.Sprintf(format, args...))
}

func (d *Demo) operatorClient() trefoilheadv1connect.OperatorClient {
	return dialer.NewOperatorClient(http.DefaultClient, d.cluster.Entries[0].ControlURL(), OperatorKey)
}

func (d *Demo) applyDeclarations(ctx context.Context) error {
	declared, err := declarer.Parse("demo.yaml", demoDeclarations)
	if err != nil {
		return err
	}
	d.printLine("started %d entry processes and %d stand-ins in %d failure domains", len(d.cluster.Entries), len(d.cluster.Backends), len(d.cluster.Config.FailureDomains))
	req := &trefoilheadv1.ApplyRequest{RequestId: "demo-apply"}
	for _, o := range declared.Objects() {
		req.Put = append(req.Put, &trefoilheadv1.Object{Kind: o.Kind, Id: o.ID, Body: o.Body})
	}
	start := time.Now()
	resp, err := d.operatorClient().Apply(ctx, connect.NewRequest(req))
	if err != nil {
		return Error.Wrap(err)
	}
	d.printLine("applied %d declarations as revision %d in %s", len(req.Put), resp.Msg.GetRevision(), time.Since(start).Round(time.Millisecond))
	return nil
}

func (d *Demo) waitForGroups(ctx context.Context) error {
	start := time.Now()
	for time.Since(start) < formationTimeout && ctx.Err() == nil {
		serving := 0
		resp, err := d.operatorClient().ListGroups(ctx, connect.NewRequest(&trefoilheadv1.ListGroupsRequest{}))
		if err != nil {
			return Error.Wrap(err)
		}
		for _, g := range resp.Msg.GetGroups() {
			if g.GetState() == "serving" {
				serving++
			}
		}
		// Each failure domain has two groups of the model and one of the plain service.
		if want := 3 * len(d.cluster.Entries); serving == want {
			d.reportCheck(true, "%d groups serve after %s", serving, time.Since(start).Round(time.Millisecond))
			return nil
		}
		time.Sleep(pollInterval)
	}
	return Error.New("the groups did not form in %s", formationTimeout)
}

func (d *Demo) checkStreamedChat(ctx context.Context) error {
	start := time.Now()
	text, complete, err := d.streamChat(ctx, d.cluster.Entries[0].CallersURL(), "demo-1")
	if err != nil {
		return err
	}
	d.reportCheck(complete && strings.Count(text, ".demo-1") == chatTokens,
		"a streamed chat completion: %d tokens with its end mark in %s", strings.Count(text, ".demo-1"), time.Since(start).Round(time.Millisecond))
	return nil
}

// streamChat requests a streamed chat completion and returns its text and whether the
// stream had its end mark "data: [DONE]". If the status is not 200, the text is the body
// of the response.
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
	req.Header.Set("Authorization", "Bearer "+teamAPIKey)
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

// checkRetriedBooking sends one booking and then, as a retry through another entry
// process, the same booking with the same idempotency key. The booking must run once, and
// both responses must be equal.
func (d *Demo) checkRetriedBooking(ctx context.Context) error {
	var responses []string
	for _, e := range d.cluster.Entries[:2] {
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
		responses = append(responses, fmt.Sprintf("%d %s", resp.StatusCode, data))
	}
	runs := d.runCount("booking-1")
	d.reportCheck(runs == 1 && responses[0] == responses[1] && strings.HasPrefix(responses[0], "201"),
		"one booking sent twice under one key, through two entries: ran %d time(s), answers equal: %t", runs, responses[0] == responses[1])
	return nil
}

func (d *Demo) runCount(mark string) int {
	n := 0
	for _, b := range d.cluster.Backends {
		n += b.Server.RunCounts()[mark]
	}
	return n
}

// checkEvacuation evacuates a failure domain and keeps sending requests. All of them must
// get complete answers, and none may reach the failure domain 5 s after the evacuation or
// later.
func (d *Demo) checkEvacuation(ctx context.Context) error {
	domain := d.cluster.Config.FailureDomains[2]
	if err := d.setEvacuated(ctx, domain, true); err != nil {
		return err
	}
	start := time.Now()
	var lastRequestAfter time.Duration
	complete, refused := 0, 0
	lastRunCount := d.domainRunCount(domain)
	for i := 0; time.Since(start) < evacuationStepTime; i++ {
		e := d.cluster.Entries[i%len(d.cluster.Entries)]
		_, ok, err := d.streamChat(ctx, e.CallersURL(), fmt.Sprintf("move-%d", i))
		if err != nil {
			return err
		}
		if ok {
			complete++
		} else {
			refused++
		}
		if runCount := d.domainRunCount(domain); runCount != lastRunCount {
			lastRequestAfter, lastRunCount = time.Since(start), runCount
		}
	}
	const maxEvacuationDelay = 5 * time.Second
	d.reportCheck(refused == 0 && complete > 0, "failure domain %s taken out: %d answers complete, %d refused", domain, complete, refused)
	d.reportCheck(lastRequestAfter < maxEvacuationDelay, "the last new request reached it %s after the call", lastRequestAfter.Round(time.Millisecond))
	return nil
}

func (d *Demo) setEvacuated(ctx context.Context, domain identifier.FailureDomain, evacuated bool) error {
	get, err := d.operatorClient().Get(ctx, connect.NewRequest(&trefoilheadv1.GetRequest{}))
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = d.operatorClient().SetDrain(ctx, connect.NewRequest(&trefoilheadv1.SetDrainRequest{
		RequestId: fmt.Sprintf("demo-drain-%t", evacuated), ExpectedRevision: get.Msg.GetRevision(), Drained: evacuated,
		Target: &trefoilheadv1.Drain{Kind: recorder.DrainFailureDomain, Id: string(domain)},
	}))
	return Error.Wrap(err)
}

func (d *Demo) domainRunCount(domain identifier.FailureDomain) int {
	n := 0
	for _, b := range d.cluster.Backends {
		if b.FailureDomain == domain {
			for _, count := range b.Server.RunCounts() {
				n += count
			}
		}
	}
	return n
}

func (d *Demo) checkReinstatement(ctx context.Context) error {
	domain := d.cluster.Config.FailureDomains[2]
	if err := d.setEvacuated(ctx, domain, false); err != nil {
		return err
	}
	start := time.Now()
	before := d.domainRunCount(domain)
	for i := 0; time.Since(start) < evacuationStepTime; i++ {
		if _, _, err := d.streamChat(ctx, d.cluster.Entries[2].CallersURL(), fmt.Sprintf("back-%d", i)); err != nil {
			return err
		}
		if d.domainRunCount(domain) != before {
			d.reportCheck(true, "failure domain %s brought back: it answers again after %s", domain, time.Since(start).Round(time.Millisecond))
			return nil
		}
	}
	d.reportCheck(false, "failure domain %s brought back: it did not answer within %s", domain, evacuationStepTime)
	return nil
}

func (d *Demo) serveUntilDone(ctx context.Context) {
	d.printLine("serving until interrupted; the team's API key is %s, the operators' key %s", teamAPIKey, OperatorKey)
	for _, e := range d.cluster.Entries {
		d.printLine("  %s: callers %s, control %s", e.Settings.VM, e.CallersURL(), e.ControlURL())
	}
	<-ctx.Done()
}
