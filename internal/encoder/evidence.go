package encoder

import (
	"maps"
	"slices"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/isolator"
	"trefoilhead.org/trefoilhead/pkg/wire/peerv1"
)

// EncodeEvidence returns evidence about parts of prompts as it is sent to other processes.
func EncodeEvidence(now time.Time, in []isolator.Evidence) []*peerv1.CrashEvidence {
	var out []*peerv1.CrashEvidence
	for _, e := range in {
		m := &peerv1.CrashEvidence{
			Service: string(e.Key.Service), Part: string(e.Key.Part), Request: string(e.Key.Request), Common: encodeTraits(e.Common), Alive: slices.Sorted(maps.Keys(e.Alive)),
			SoundAgoMs: encodeAge(now, e.SoundAt), OthersSoundAgoMs: encodeAge(now, e.OthersSoundAt),
			RefusedAgoMs: encodeAge(now, e.RefusedAt), RefusedBy: string(e.RefusedBy),
		}
		for _, s := range slices.Sorted(maps.Keys(e.Crashes)) {
			m.Crashes = append(m.Crashes, &peerv1.ServerCrash{Server: s, AgoMs: encodeAge(now, e.Crashes[s])})
		}
		out = append(out, m)
	}
	return out
}

// DecodeEvidence is the inverse of EncodeEvidence. now is the time at which the message
// arrived.
func DecodeEvidence(now time.Time, in *peerv1.CrashEvidence) isolator.Evidence {
	e := isolator.Evidence{
		Key:     decodeKey(in),
		Common:  decodeTraits(in.GetCommon()),
		Crashes: map[string]time.Time{}, Alive: map[string]bool{},
		SoundAt: decodeAge(now, in.GetSoundAgoMs()), OthersSoundAt: decodeAge(now, in.GetOthersSoundAgoMs()),
		RefusedAt: decodeAge(now, in.GetRefusedAgoMs()), RefusedBy: identifier.VM(in.GetRefusedBy()),
	}
	for _, c := range in.GetCrashes() {
		e.Crashes[c.GetServer()] = decodeAge(now, c.GetAgoMs())
	}
	for _, s := range in.GetAlive() {
		e.Alive[s] = true
	}
	return e
}

// decodeKey returns the key that a message names.
func decodeKey(in interface {
	GetService() string
	GetPart() string
	GetRequest() string
}) isolator.Key {
	return isolator.Key{
		Service: identifier.Service(in.GetService()), Part: identifier.PromptPart(in.GetPart()), Request: identifier.RequestDigest(in.GetRequest()),
	}
}

// encodeAge returns the age of a time in milliseconds plus 1, or 0 for the zero time.
func encodeAge(now, at time.Time) uint64 {
	if at.IsZero() {
		return 0
	}
	return uint64(max(now.Sub(at).Milliseconds(), 0)) + 1
}

func decodeAge(now time.Time, ago uint64) time.Time {
	if ago == 0 {
		return time.Time{}
	}
	return now.Add(-milliseconds(ago - 1))
}

func encodeTraits(t isolator.Traits) *peerv1.RequestTraits {
	m := &peerv1.RequestTraits{Team: string(t.Team), Model: t.Model}
	for _, p := range t.Parts {
		m.Parts = append(m.Parts, string(p))
	}
	return m
}

func decodeTraits(in *peerv1.RequestTraits) isolator.Traits {
	parts := make([]identifier.PromptPart, 0, len(in.GetParts()))
	for _, p := range in.GetParts() {
		parts = append(parts, identifier.PromptPart(p))
	}
	return isolator.NewTraits(identifier.Team(in.GetTeam()), in.GetModel(), parts)
}

// EncodeIsolations returns Isolations as they are sent to front processes.
func EncodeIsolations(in []isolator.Isolation) []*peerv1.Isolation {
	var out []*peerv1.Isolation
	for _, i := range in {
		out = append(out, &peerv1.Isolation{
			Service: string(i.Key.Service), Part: string(i.Key.Part), Request: string(i.Key.Request), Traits: encodeTraits(i.Traits), Trials: i.Trials, TrialFront: string(i.TrialFront),
		})
	}
	return out
}

// DecodeIsolations is the inverse of EncodeIsolations.
func DecodeIsolations(in []*peerv1.Isolation) []isolator.Isolation {
	var out []isolator.Isolation
	for _, m := range in {
		out = append(out, isolator.Isolation{
			Key:    decodeKey(m),
			Traits: decodeTraits(m.GetTraits()), Trials: m.GetTrials(), TrialFront: identifier.VM(m.GetTrialFront()),
		})
	}
	return out
}
