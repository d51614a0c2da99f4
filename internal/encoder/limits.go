package encoder

import (
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/throttler"
	"trefoilhead.org/trefoilhead/pkg/wire/peerv1"
)

// EncodeLimits returns the limits of servers as they are sent to other processes.
func EncodeLimits(now time.Time, in []throttler.Limit) []*peerv1.RequestLimit {
	var out []*peerv1.RequestLimit
	for _, l := range in {
		out = append(out, &peerv1.RequestLimit{
			Id: string(l.Server), BornMs: uint64(l.Incarnation), PerSecond: float64(l.Rate), FirstNamedAgoMs: encodeAge(now, l.FirstNamedAt),
			NamedAgoMs: encodeAge(now, l.NamedAt), UnnamedSentAgoMs: encodeAge(now, l.UnnamedSentAt),
		})
	}
	return out
}

// DecodeLimits is the inverse of EncodeLimits. now is the time at which the message arrived.
func DecodeLimits(now time.Time, in []*peerv1.RequestLimit) []throttler.Limit {
	var out []throttler.Limit
	for _, m := range in {
		out = append(out, throttler.Limit{
			Server: identifier.Server(m.GetId()), Incarnation: identifier.Incarnation(m.GetBornMs()), Rate: throttler.Rate(m.GetPerSecond()),
			FirstNamedAt: decodeAge(now, m.GetFirstNamedAgoMs()), NamedAt: decodeAge(now, m.GetNamedAgoMs()),
			UnnamedSentAt: decodeAge(now, m.GetUnnamedSentAgoMs()),
		})
	}
	return out
}

// EncodePermitReports returns reports about permits as they are sent to core processes.
func EncodePermitReports(in []throttler.PermitReport) []*peerv1.PermitReport {
	var out []*peerv1.PermitReport
	for _, r := range in {
		out = append(out, &peerv1.PermitReport{Id: string(r.Server), Used: uint32(r.Used), Expired: uint32(r.Expired), Denied: uint32(r.Denied), Issuer: uint64(r.Issuer), Held: uint32(r.Held)})
	}
	return out
}

// DecodePermitReports is the inverse of EncodePermitReports.
func DecodePermitReports(in []*peerv1.PermitReport) []throttler.PermitReport {
	var out []throttler.PermitReport
	for _, m := range in {
		out = append(out, throttler.PermitReport{
			Server: identifier.Server(m.GetId()), Used: int(m.GetUsed()), Expired: int(m.GetExpired()), Denied: int(m.GetDenied()),
			Issuer: throttler.IssuerID(m.GetIssuer()), Held: int(m.GetHeld()),
		})
	}
	return out
}

// EncodeGrants returns permits as they are sent to front processes.
func EncodeGrants(in []throttler.Grant) []*peerv1.PermitGrant {
	var out []*peerv1.PermitGrant
	for _, g := range in {
		out = append(out, &peerv1.PermitGrant{Id: string(g.Server), Permits: uint32(g.Permits), LifetimeMs: uint32(g.Lifetime.Milliseconds()), Issuer: uint64(g.Issuer)})
	}
	return out
}

// DecodeGrants is the inverse of EncodeGrants.
func DecodeGrants(in []*peerv1.PermitGrant) []throttler.Grant {
	var out []throttler.Grant
	for _, m := range in {
		out = append(out, throttler.Grant{Server: identifier.Server(m.GetId()), Permits: int(m.GetPermits()), Lifetime: milliseconds(uint64(m.GetLifetimeMs())), Issuer: throttler.IssuerID(m.GetIssuer())})
	}
	return out
}
