package server

import (
	"strings"
	"time"

	"trefoilhead.org/trefoilhead/internal/encoder"
	"trefoilhead.org/trefoilhead/internal/isolator"
	"trefoilhead.org/trefoilhead/pkg/wire/peerv1"
)

// fullEvidenceInterval is how often all evidence is sent to the other entries and not only
// what is new, because a message can be lost.
const fullEvidenceInterval = time.Second

// evidenceState is what a process keeps to exchange evidence about requests that crash
// backend servers. Only stepIsolation uses it.
type evidenceState struct {
	sentRevision uint64
	// sentLimits is the same as sentRevision for the request rates that servers name.
	sentLimits uint64
	lastFullAt time.Time
}

// stepIsolation decides which requests are kept from backend servers, and sends the
// evidence to the other entries.
func (s *Server) stepIsolation() {
	now := time.Now()
	for _, c := range s.relayer.StepIsolation(now) {
		s.logIsolation(c)
	}
	st := &s.evidence
	since, limitsSince := st.sentRevision, st.sentLimits
	if now.Sub(st.lastFullAt) >= fullEvidenceInterval {
		since, limitsSince, st.lastFullAt = 0, 0, now
	}
	evidence, revision := s.relayer.EvidenceSince(since)
	s.relayer.Owner.ExpireLimits(now, s.locator.GroupIDs())
	limits, limitsRevision := s.relayer.Owner.LimitsSince(limitsSince)
	st.sentRevision, st.sentLimits = revision, limitsRevision
	if len(evidence)+len(limits) == 0 {
		return
	}
	report := &peerv1.Envelope{EvidenceReport: &peerv1.EvidenceReport{
		Evidence: encoder.EncodeEvidence(now, evidence), Limits: encoder.EncodeLimits(now, limits),
	}}
	for _, p := range s.Settings.Peers {
		if p.VM != s.Settings.VM {
			s.linker.Send(p.VM, report)
		}
	}
}

func (s *Server) logIsolation(c isolator.Change) {
	if c.Release != nil {
		s.logInfo("isolation", "isolation has ended", "service", c.Release.Service, "prompt_part", c.Release.Part, "reason", c.Reason)
		return
	}
	parts := make([]string, 0, len(c.Set.Traits.Parts))
	for _, p := range c.Set.Traits.Parts {
		parts = append(parts, string(p))
	}
	s.logInfo("isolation", "isolation in force", "service", c.Set.Key.Service, "prompt_part", c.Set.Key.Part, "prompt_parts", strings.Join(parts, ","),
		"team", c.Set.Traits.Team, "reason", c.Reason, "trials", c.Set.Trials, "trial_at", c.Set.TrialFront)
}

func (s *Server) mergeEvidence(r *peerv1.EvidenceReport) {
	now := time.Now()
	for _, e := range r.GetEvidence() {
		s.relayer.MergeEvidence(now, encoder.DecodeEvidence(now, e))
	}
	s.relayer.Owner.MergeLimits(encoder.DecodeLimits(now, r.GetLimits()))
}
