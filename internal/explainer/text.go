package explainer

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// WriteText writes a report as tables: requests by cause, the same by phase if there is
// more than one, and server seconds by model and state.
func (r *Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	causes, counts := r.CausesByCount()
	_, _ = fmt.Fprintln(t, "cause\trequests\tshare")
	for _, c := range causes {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%.2f %%\n", c, counts[c], 100*float64(counts[c])/float64(max(r.Requests, 1)))
	}
	_, _ = fmt.Fprintf(t, "all\t%d\t\n", r.Requests)
	r.writePhases(t, causes)
	r.writeServerSeconds(t)
	if r.OmittedLines > 0 {
		_, _ = fmt.Fprintf(t, "\n%d log lines are missing: the processes left them out under load\n", r.OmittedLines)
	}
	return Error.Wrap(t.Flush())
}

// writePhases writes the requests that were not served on time, by phase.
func (r *Report) writePhases(w io.Writer, causes []Cause) {
	phases := map[time.Time]bool{}
	for _, byPhase := range r.Causes {
		for at := range byPhase {
			phases[at] = true
		}
	}
	if len(phases) < 2 {
		return
	}
	_, _ = fmt.Fprintln(w, "\nphase\tcauses other than "+CauseOnTime)
	for _, at := range slices.SortedFunc(maps.Keys(phases), time.Time.Compare) {
		var parts []string
		for _, c := range causes {
			if n := r.Causes[c][at]; n > 0 && c != CauseOnTime {
				parts = append(parts, fmt.Sprintf("%s %d", c, n))
			}
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\n", at.Format("15:04:05"), strings.Join(parts, ", "))
	}
}

func (r *Report) writeServerSeconds(w io.Writer) {
	if len(r.ServerSeconds) == 0 {
		return
	}
	_, _ = fmt.Fprintln(w, "\nmodel\tserver seconds by state")
	for _, model := range slices.Sorted(maps.Keys(r.ServerSeconds)) {
		var parts []string
		for _, s := range []ServerState{StateServing, StateForming, StateEnding, StateSpare, StateLoading, StateBlank, StateUnusable} {
			if n := r.ServerSeconds[model][s]; n > 0 {
				parts = append(parts, fmt.Sprintf("%s %.0f", s, n))
			}
		}
		name := model
		if name == "" {
			name = "(none)"
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\n", name, strings.Join(parts, ", "))
	}
}

// Follow writes the lines of a log that concern one request: those that contain its id,
// and those of other messages about the servers that it was sent to, as far as they
// come no earlier than the given time before its end and not after it.
func Follow(w io.Writer, r io.Reader, id string, before time.Duration) error {
	type entry struct {
		line   string
		fields map[string]string
	}
	var all []entry
	servers := map[string]bool{}
	end := time.Time{}
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLineBytes)
	for sc.Scan() {
		fields := parseFields(sc.Text())
		if fields == nil || fields["msg"] == "request" && fields["id"] != id {
			continue
		}
		all = append(all, entry{sc.Text(), fields})
		if fields["id"] != id {
			continue
		}
		for s := range strings.SplitSeq(fields["servers"], ",") {
			servers[s] = s != ""
		}
		if at, err := time.Parse(time.RFC3339Nano, fields["time"]); err == nil && at.After(end) {
			end = at
		}
	}
	if err := sc.Err(); err != nil {
		return Error.Wrap(err)
	}
	if end.IsZero() {
		return Error.New("no request with the id %q", id)
	}
	for _, e := range all {
		at, err := time.Parse(time.RFC3339Nano, e.fields["time"])
		if err != nil || at.After(end) || end.Sub(at) > before {
			continue
		}
		if e.fields["id"] == id || mentions(e.fields, servers) {
			if _, err := fmt.Fprintln(w, e.line); err != nil {
				return Error.Wrap(err)
			}
		}
	}
	return nil
}

// mentions reports whether a line is about one of the servers or a group of one.
func mentions(fields map[string]string, servers map[string]bool) bool {
	if servers[fields["server"]] {
		return true
	}
	for s := range strings.SplitSeq(fields["members"], ",") {
		if servers[s] {
			return true
		}
	}
	return false
}
