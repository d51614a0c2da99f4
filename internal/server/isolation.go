package server

import (
	"path/filepath"
	"strings"
	"time"

	"trefoilhead.org/trefoilhead/internal/differ"
	"trefoilhead.org/trefoilhead/internal/encoder"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/isolator"
	"trefoilhead.org/trefoilhead/internal/journaler"
	"trefoilhead.org/trefoilhead/internal/preserver"
	"trefoilhead.org/trefoilhead/internal/withholder"
	"trefoilhead.org/trefoilhead/pkg/wire/peerv1"
)

// evidenceState tells what of the evidence about requests that crash backend servers, and of
// the request rates that servers name, is sent to the other entries next. Only stepIsolation
// uses it.
type evidenceState struct {
	evidence, limits differ.Cursor
}

// stepIsolation decides which requests are kept from backend servers, and sends the
// evidence to the other entries.
func (s *Server) stepIsolation() {
	now := time.Now()
	for _, c := range s.relayer.StepIsolation(now) {
		s.logIsolation(c)
	}
	if s.preserver != nil {
		s.preserver.NotifyChanged(s.relayer.EvidenceRevision())
	}
	s.relayer.Owner.ExpireLimits(now, s.locator.GroupIDs())
	evidence := s.relayer.NextEvidence(now, &s.evidence.evidence)
	limits := s.relayer.Owner.NextLimits(now, &s.evidence.limits)
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

const evidenceFolder = "isolator"

// initPreserver restores the evidence of an earlier run, if this entry has a disk.
func (s *Server) initPreserver() {
	if s.Settings.DataFolder == "" {
		return
	}
	s.preserver = &preserver.Preserver{
		FileSystem: journaler.OSFolder(filepath.Join(s.Settings.DataFolder, evidenceFolder)), Logger: s.Logger, Collect: s.relayer.SavedContent,
	}
	s.relayer.RestoreContent(s.startTime, s.preserver.Init(s.startTime))
}

// logCrash logs a crash of a server under a request.
func (s *Server) logCrash(r isolator.Run) {
	s.logInfo("isolation", "backend server crashed under a request", "service", r.Service, "server", r.Server, "team", r.Traits.Team,
		"digest", r.Request.Short(), "after_ms", time.Since(r.SentAt).Milliseconds())
}

// logStatement logs that the backend server of a group wants no requests.
func (s *Server) logStatement(id identifier.Group, w withholder.Statement) {
	s.logInfo("statement", "backend server wants no requests", "group", id, "wait", w.Wait, "leaving", w.Leaving, "unreadable", w.Unreadable)
}

func (s *Server) logIsolation(c isolator.Change) {
	if c.Release != nil {
		s.logInfo("isolation", "isolation has ended", "service", c.Release.Service, "prompt_part", c.Release.Part, "digest", c.Release.Request.Short(), "reason", c.Reason)
		return
	}
	parts := make([]string, 0, len(c.Set.Traits.Parts))
	for _, p := range c.Set.Traits.Parts {
		parts = append(parts, string(p))
	}
	s.logInfo("isolation", "isolation in force", "service", c.Set.Key.Service, "prompt_part", c.Set.Key.Part, "digest", c.Set.Key.Request.Short(), "prompt_parts", strings.Join(parts, ","),
		"team", c.Set.Traits.Team, "reason", c.Reason, "trials", c.Set.Trials, "trial_at", c.Set.TrialFront)
}

func (s *Server) mergeEvidence(r *peerv1.EvidenceReport) {
	now := time.Now()
	for _, e := range r.GetEvidence() {
		s.relayer.MergeEvidence(now, encoder.DecodeEvidence(now, e))
	}
	s.relayer.Owner.MergeLimits(encoder.DecodeLimits(now, r.GetLimits()))
}
