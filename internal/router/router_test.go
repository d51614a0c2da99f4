package router

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"trefoilhead.org/trefoilhead/internal/identifier"
)

func candidates(n int) []Candidate {
	cs := make([]Candidate, n)
	for i := range cs {
		cs[i] = Candidate{Group: identifier.Group(fmt.Sprint("g", i)), Limit: 16}
	}
	return cs
}

// TestHotPrefixIsLimited sends all requests with the same prefix and requires that
// no group is loaded far above the average.
func TestHotPrefixIsLimited(t *testing.T) {
	p := &PrefixAffinity{MaxRelativeLoad: 1.25}
	cs := candidates(10)
	for range 100 {
		cs[p.Pick(cs, 7)].ReportedRunning++
	}
	for _, c := range cs {
		// The relative limit, the slack of a tenth of the group's limit, and the
		// request itself.
		if float64(c.ReportedRunning) > 1.25*10+1.6+1 {
			t.Errorf("group %s got %d of 100 requests for 10 groups", c.Group, c.ReportedRunning)
		}
	}
}

// TestPrefixKeepsItsGroup requires that the removal of one group moves only the
// prefixes that were routed to it.
func TestPrefixKeepsItsGroup(t *testing.T) {
	p := &PrefixAffinity{MaxRelativeLoad: 1.25}
	cs := candidates(10)
	moved := 0
	for prefix := PrefixHash(1); prefix <= 1000; prefix++ {
		p.Pick(cs, prefix)
		before := cs[p.Pick(cs, prefix)].Group
		if after := cs[:9][p.Pick(cs[:9], prefix)].Group; before != after {
			moved++
			if before != "g9" {
				t.Errorf("prefix %d moved from %s, which remained", prefix, before)
			}
		}
	}
	if moved == 0 || moved > 200 {
		t.Errorf("%d of 1000 prefixes moved when one of ten groups left", moved)
	}
}

func TestPickDomain(t *testing.T) {
	load := func(d identifier.FailureDomain, serving, running, limit uint32) DomainLoad {
		return DomainLoad{Domain: d, ServingGroups: serving, Running: running, Limit: limit}
	}
	evacuated := load("a", 2, 0, 32)
	evacuated.Evacuated = true
	stale := load("b", 2, 0, 32)
	stale.Stale = true
	cases := []struct {
		name    string
		domains []DomainLoad
		want    identifier.FailureDomain
		ok      bool
	}{
		{"local has room", []DomainLoad{load("a", 2, 31, 32), load("b", 2, 0, 32)}, "a", true},
		{"local is full", []DomainLoad{load("a", 2, 32, 32), load("b", 2, 5, 32)}, "b", true},
		{"all are full", []DomainLoad{load("a", 2, 40, 32), load("b", 2, 40, 32)}, "a", true},
		{"local is evacuated", []DomainLoad{evacuated, load("b", 2, 40, 32)}, "b", true},
		{"local does not serve", []DomainLoad{load("a", 0, 0, 0), load("b", 1, 0, 32)}, "b", true},
		{"remote is stale", []DomainLoad{load("a", 2, 32, 32), stale}, "a", true},
		{"remote is not known to serve", []DomainLoad{evacuated, load("b", 0, 0, 0)}, "b", true},
		{"remote does not serve, local does", []DomainLoad{load("a", 2, 40, 32), load("b", 0, 0, 0)}, "a", true},
		{"none can be used", []DomainLoad{evacuated, stale}, "", false},
	}
	for _, c := range cases {
		got, ok := PickDomain("a", c.domains, nil)
		if got != c.want || ok != c.ok {
			t.Errorf("%s: picked %q, %t, want %q, %t", c.name, got, ok, c.want, c.ok)
		}
	}
}

func TestNoCandidates(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	for _, p := range []Policy{&RoundRobin{}, LeastLoaded{}, TwoChoices{Rand: r}, &PrefixAffinity{MaxRelativeLoad: 1.25}} {
		for _, prefix := range []PrefixHash{0, 1} {
			if i := p.Pick(nil, prefix); i != -1 {
				t.Errorf("%T picked %d of no candidates", p, i)
			}
		}
	}
}

// TestNewPrefixesUseRoundRobin sends only prefixes that were not seen before. It
// requires that they are distributed evenly and that the number of remembered
// prefixes stays limited.
func TestNewPrefixesUseRoundRobin(t *testing.T) {
	p := &PrefixAffinity{MaxRelativeLoad: 1.25}
	cs := candidates(10)
	counts := make([]int, len(cs))
	for prefix := PrefixHash(1); prefix <= 50000; prefix++ {
		counts[p.Pick(cs, prefix)]++
	}
	for i, n := range counts {
		if n != 5000 {
			t.Errorf("group %d got %d of 50000 new prefixes, want 5000", i, n)
		}
	}
	if len(p.recent)+len(p.previous) > 2*maxGenerationSize {
		t.Errorf("%d prefixes are remembered", len(p.recent)+len(p.previous))
	}
}
