// Package explainer adds up from the logs of front and core processes what became of
// callers' requests and why, and what the backend servers did meanwhile.
//
// It reads the lines "request" of fronts and "survey" of the leading core process. Lines
// of any number of processes may be mixed, and text before the first field is ignored.
package explainer

import (
	"bufio"
	"cmp"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/zeebo/errs"
)

// Error is the class of every error of this package.
var Error = errs.Class("explain")

// maxLineBytes is the longest line that is read.
const maxLineBytes = 1 << 20

// maxSurveyGap is the longest time between two survey lines that counts: a longer one
// means that no core process led in between.
const maxSurveyGap = 3 * time.Second

// minSurveyGap is shorter than the time between two surveys, and longer than that
// between the lines of one.
const minSurveyGap = 500 * time.Millisecond

// Cause says what became of a request and why.
type Cause string

// Causes of requests that were served. All other causes consist of the kind of the
// failure and the outcome in the log line.
const (
	CauseOnTime Cause = "served on time"
	// CauseLateQueue requests waited too long for the first event at their only server,
	// although it had been predicted to be on time.
	CauseLateQueue Cause = "late: first event, not predicted"
	// CauseLatePredicted requests were sent although they were predicted to be late.
	CauseLatePredicted Cause = "late: first event, predicted"
	// CauseLateMoved requests were late after they had been sent to another server.
	CauseLateMoved Cause = "late: moved to another server"
	// CauseLatePause requests began on time, but two of their events were too far apart.
	CauseLatePause Cause = "late: pause between events"
)

// ServerState is what a backend server does.
type ServerState string

// Server states, in the order of a report.
const (
	StateServing  ServerState = "serving"
	StateForming  ServerState = "forming"
	StateEnding   ServerState = "ending"
	StateSpare    ServerState = "spare"
	StateLoading  ServerState = "loading"
	StateBlank    ServerState = "blank"
	StateUnusable ServerState = "unusable"
)

// Report is what the log shows.
type Report struct {
	Requests int
	// Causes counts the requests by cause, and by the second of the day at which they
	// ended, rounded down to the phase length.
	Causes map[Cause]map[time.Time]int
	// ServerSeconds holds how long backend servers were in each state, by model.
	// Servers without a model are listed under an empty one.
	ServerSeconds map[string]map[ServerState]float64
	// OmittedLines is the number of lines that the processes left out.
	OmittedLines int
}

// Explainer reads logs. Phase is set before the first Read; 0 means one phase.
type Explainer struct {
	Phase time.Duration

	report Report
	// lastSurveyAt is the time of the last survey line by model.
	lastSurveyAt map[string]time.Time
}

// Read adds all lines of a log.
func (e *Explainer) Read(r io.Reader) error {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLineBytes)
	for sc.Scan() {
		if fields := parseFields(sc.Text()); fields != nil {
			e.addLine(fields)
		}
	}
	return Error.Wrap(sc.Err())
}

// Report returns what was read so far.
func (e *Explainer) Report() Report { return e.report }

// parseFields returns the fields of a logfmt line, or nil if it is none.
func parseFields(line string) map[string]string {
	i := strings.Index(line, "time=")
	if i < 0 {
		return nil
	}
	d := logfmt.NewDecoder(strings.NewReader(line[i:]))
	fields := map[string]string{}
	for d.ScanRecord() {
		for d.ScanKeyval() {
			fields[string(d.Key())] = string(d.Value())
		}
	}
	if d.Err() != nil || fields["msg"] == "" {
		return nil
	}
	return fields
}

func (e *Explainer) addLine(fields map[string]string) {
	at, err := time.Parse(time.RFC3339Nano, fields["time"])
	if err != nil {
		return
	}
	switch fields["msg"] {
	case "request":
		e.addRequest(at, fields)
	case "survey":
		e.addSurvey(at, fields)
	case "log lines were omitted":
		e.report.OmittedLines += number(fields, "lines")
	}
}

// number returns a field as an integer, or 0 if it is missing or none.
func number(fields map[string]string, key string) int {
	n, err := strconv.Atoi(fields[key])
	if err != nil {
		return 0
	}
	return n
}

func (e *Explainer) addRequest(at time.Time, fields map[string]string) {
	e.report.Requests++
	cause := causeOf(fields)
	if e.report.Causes == nil {
		e.report.Causes = map[Cause]map[time.Time]int{}
	}
	if e.report.Causes[cause] == nil {
		e.report.Causes[cause] = map[time.Time]int{}
	}
	phase := time.Time{}
	if e.Phase > 0 {
		phase = at.Truncate(e.Phase)
	}
	e.report.Causes[cause][phase]++
}

// causeOf returns the cause of a request line.
func causeOf(fields map[string]string) Cause {
	outcome := fields["outcome"]
	if outcome != "served" {
		kind := "refused"
		switch {
		case outcome == "cut" || outcome == "caller_left":
			return Cause(outcome)
		case number(fields, "runs") > 0:
			kind = "failed"
		}
		return Cause(kind + ": " + outcome)
	}
	objective, gapObjective := number(fields, "objective_ms"), number(fields, "gap_objective_ms")
	taken := number(fields, "first_ms")
	if taken == 0 {
		taken = number(fields, "total_ms")
	}
	late := objective > 0 && taken > objective
	paused := gapObjective > 0 && number(fields, "gap_ms") > gapObjective
	switch {
	case !late && !paused:
		return CauseOnTime
	case number(fields, "runs")+number(fields, "rejections") > 1:
		return CauseLateMoved
	case !late:
		return CauseLatePause
	case number(fields, "expected_ms") > objective:
		return CauseLatePredicted
	}
	return CauseLateQueue
}

// addSurvey adds the time since the last survey of the model to the states in which its
// servers are.
func (e *Explainer) addSurvey(at time.Time, fields map[string]string) {
	if e.lastSurveyAt == nil {
		e.lastSurveyAt = map[string]time.Time{}
		e.report.ServerSeconds = map[string]map[ServerState]float64{}
	}
	// Every model's line repeats the counts of servers without a model.
	if since := e.sinceSurvey(at, ""); since > minSurveyGap {
		e.addServerSeconds("", StateBlank, number(fields, "blank"), since)
		e.addServerSeconds("", StateUnusable, number(fields, "unusable"), since)
	}
	model, size := fields["model"], number(fields, "size")
	since := e.sinceSurvey(at, model)
	for state, servers := range map[ServerState]int{
		StateServing: number(fields, "serving") * size, StateForming: number(fields, "forming") * size,
		StateEnding: number(fields, "ending") * size, StateSpare: number(fields, "spare"), StateLoading: number(fields, "loading"),
	} {
		e.addServerSeconds(model, state, servers, since)
	}
}

// sinceSurvey returns the time since the last survey line of a model, or 0 if there was
// none for long.
func (e *Explainer) sinceSurvey(at time.Time, model string) time.Duration {
	since := at.Sub(e.lastSurveyAt[model])
	e.lastSurveyAt[model] = at
	if since <= 0 || since > maxSurveyGap {
		return 0
	}
	return since
}

func (e *Explainer) addServerSeconds(model string, state ServerState, servers int, d time.Duration) {
	if servers == 0 || d == 0 {
		return
	}
	byState := e.report.ServerSeconds[model]
	if byState == nil {
		byState = map[ServerState]float64{}
		e.report.ServerSeconds[model] = byState
	}
	byState[state] += float64(servers) * d.Seconds()
}

// CausesByCount returns the causes, the most frequent first, with their numbers of
// requests.
func (r *Report) CausesByCount() ([]Cause, map[Cause]int) {
	counts := map[Cause]int{}
	for cause, byPhase := range r.Causes {
		for _, n := range byPhase {
			counts[cause] += n
		}
	}
	causes := slices.SortedFunc(maps.Keys(counts), func(a, b Cause) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	return causes, counts
}
