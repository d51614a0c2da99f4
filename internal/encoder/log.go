// Package encoder translates between the cores' types and the messages between
// trefoilhead's own processes.
package encoder

import (
	"trefoilhead.org/trefoilhead/internal/replicator"
	"trefoilhead.org/trefoilhead/pkg/wire/peerv1"
)

// EncodeLogMessage returns a message of a replicated log as it goes over a link.
func EncodeLogMessage(logName string, m replicator.Message) *peerv1.LogMessage {
	out := &peerv1.LogMessage{
		Log: logName, Kind: uint32(m.Kind), From: string(m.From), To: string(m.To), Term: uint64(m.Term),
		Index: uint64(m.Index), LogTerm: uint64(m.LogTerm), Commit: uint64(m.Commit), Reject: m.Reject,
	}
	for _, e := range m.Entries {
		out.Entries = append(out.Entries, &peerv1.LogEntry{
			Index: uint64(e.Index), Term: uint64(e.Term), Kind: uint32(e.Kind), Data: e.Data,
		})
	}
	if m.Snapshot != nil {
		out.Snapshot = &peerv1.Snapshot{Index: uint64(m.Snapshot.Index), Term: uint64(m.Snapshot.Term), Data: m.Snapshot.Data}
		for _, v := range m.Snapshot.Voters {
			out.Snapshot.Voters = append(out.Snapshot.Voters, string(v))
		}
	}
	return out
}

// DecodeLogMessage is the inverse of EncodeLog.
func DecodeLogMessage(in *peerv1.LogMessage) replicator.Message {
	m := replicator.Message{
		Kind: replicator.MessageKind(in.GetKind()), From: replicator.NodeID(in.GetFrom()), To: replicator.NodeID(in.GetTo()),
		Term: replicator.Term(in.GetTerm()), Index: replicator.Index(in.GetIndex()), LogTerm: replicator.Term(in.GetLogTerm()),
		Commit: replicator.Index(in.GetCommit()), Reject: in.GetReject(),
	}
	for _, e := range in.GetEntries() {
		m.Entries = append(m.Entries, replicator.Entry{
			Index: replicator.Index(e.GetIndex()), Term: replicator.Term(e.GetTerm()),
			Kind: replicator.EntryKind(e.GetKind()), Data: e.GetData(),
		})
	}
	if s := in.GetSnapshot(); s != nil {
		m.Snapshot = &replicator.Snapshot{Index: replicator.Index(s.GetIndex()), Term: replicator.Term(s.GetTerm()), Data: s.GetData()}
		for _, v := range s.GetVoters() {
			m.Snapshot.Voters = append(m.Snapshot.Voters, replicator.NodeID(v))
		}
	}
	return m
}
