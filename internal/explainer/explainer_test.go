package explainer

import (
	"strings"
	"testing"
	"time"
)

const testLog = `
  0.1 front-1 time=2026-05-01T08:00:00.1Z level=info msg=request id=a status=200 outcome=served servers=i-1 runs=1 rejections=0 expected_ms=60 first_ms=80 objective_ms=200 gap_ms=90 gap_objective_ms=100 total_ms=900
  0.2 front-1 time=2026-05-01T08:00:00.2Z level=info msg=request id=b status=200 outcome=served servers=i-1 runs=1 rejections=0 expected_ms=60 first_ms=380 objective_ms=200 gap_ms=90 gap_objective_ms=100 total_ms=900
  0.3 front-1 time=2026-05-01T08:00:00.3Z level=info msg=request id=c status=200 outcome=served servers=i-1 runs=1 rejections=0 expected_ms=260 first_ms=280 objective_ms=200 gap_ms=90 gap_objective_ms=100 total_ms=900
  0.4 front-2 time=2026-05-01T08:00:00.4Z level=info msg=request id=d status=200 outcome=served servers=i-1,i-2 runs=2 rejections=0 expected_ms=60 first_ms=80 objective_ms=200 gap_ms=400 gap_objective_ms=100 total_ms=900
  0.5 front-2 time=2026-05-01T08:00:00.5Z level=info msg=request id=e status=200 outcome=served servers=i-2 runs=1 rejections=0 expected_ms=60 first_ms=80 objective_ms=200 gap_ms=150 gap_objective_ms=100 total_ms=900
  0.6 front-2 time=2026-05-01T08:00:00.6Z level=info msg=request id=f status=200 outcome=served servers=p-1 runs=1 rejections=0 expected_ms=60 first_ms=0 objective_ms=100 gap_ms=0 gap_objective_ms=0 total_ms=130
  1.2 front-2 time=2026-05-01T08:00:01.2Z level=info msg=request id=g status=503 outcome=overloaded servers= runs=0 rejections=0 objective_ms=100
  1.3 front-2 time=2026-05-01T08:00:01.3Z level=info msg=request id=h status=502 outcome=failed servers=i-9 runs=1 rejections=0 objective_ms=100
  1.4 front-2 time=2026-05-01T08:00:01.4Z level=info msg=request id=j status=200 outcome=cut servers=i-9 runs=1 rejections=0 objective_ms=100
  1.0 core-1 time=2026-05-01T08:00:01.0Z level=info msg=survey model=big size=4 serving=2 forming=1 ending=0 spare=3 loading=1 blank=2 unusable=0
  2.0 core-1 time=2026-05-01T08:00:02.0Z level=info msg=survey model=big size=4 serving=2 forming=1 ending=0 spare=3 loading=1 blank=2 unusable=0
  9.0 core-1 time=2026-05-01T08:00:09.0Z level=info msg=survey model=big size=4 serving=2 forming=1 ending=0 spare=3 loading=1 blank=2 unusable=0
  1.1 core-1 time=2026-05-01T08:00:01.1Z level=info msg="group is being closed" group=g1 members=i-8,i-9 reason="i-8 is silent"
  1.1 core-1 time=2026-05-01T08:00:01.1Z level=info msg="backend server is silent" server=i-7
  3.0 core-1 time=2026-05-01T08:00:03.0Z level=warn msg="log lines were omitted" lines=7
not a log line
`

func TestCausesAndServerSeconds(t *testing.T) {
	e := Explainer{Phase: time.Second}
	if err := e.Read(strings.NewReader(testLog)); err != nil {
		t.Fatal(err)
	}
	r := e.Report()
	_, counts := r.CausesByCount()
	want := map[Cause]int{
		CauseOnTime: 1, CauseLateQueue: 2, CauseLatePredicted: 1, CauseLateMoved: 1, CauseLatePause: 1,
		"refused: overloaded": 1, "failed: failed": 1, "cut": 1,
	}
	sum := 0
	for c, n := range counts {
		sum += n
		if n != want[c] {
			t.Errorf("%s: %d requests, want %d", c, n, want[c])
		}
	}
	if r.Requests != 9 || sum != r.Requests || len(counts) != len(want) {
		t.Errorf("%d requests, causes %v", r.Requests, counts)
	}
	big := r.ServerSeconds["big"]
	if big[StateServing] != 8 || big[StateForming] != 4 || big[StateSpare] != 3 || big[StateLoading] != 1 || r.ServerSeconds[""][StateBlank] != 2 {
		t.Errorf("server seconds: %v; the gap without a leader must not count", r.ServerSeconds)
	}
	var b strings.Builder
	if err := r.WriteText(&b); err != nil {
		t.Fatal(err)
	}
	for _, s := range []string{"late: first event, not predicted  2         22.22 %", "08:00:01  cut 1, failed: failed 1, refused: overloaded 1", "7 log lines are missing"} {
		if !strings.Contains(b.String(), s) {
			t.Errorf("the text lacks %q:\n%s", s, b.String())
		}
	}
}

func TestFollow(t *testing.T) {
	var b strings.Builder
	if err := Follow(&b, strings.NewReader(testLog), "j", time.Second); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(b.String()), "\n")
	if len(lines) != 2 || !strings.Contains(lines[0], "id=j") || !strings.Contains(lines[1], "members=i-8,i-9") {
		t.Errorf("got\n%s", b.String())
	}
	if err := Follow(&b, strings.NewReader(testLog), "none", time.Second); err == nil {
		t.Error("an unknown id is no error")
	}
}
