package preserver

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"trefoilhead.org/trefoilhead/internal/isolator"
	"trefoilhead.org/trefoilhead/internal/journaler"
)

// open returns a Preserver on a folder, which writes the evidence of a ledger, and what it has
// read.
func open(folder string, now time.Time, l *isolator.Ledger) (*Preserver, Content) {
	p := &Preserver{FileSystem: journaler.OSFolder(folder), Logger: log.NewNopLogger(), Collect: func() Content { return Content{Evidence: l.Snapshot(9)} }}
	return p, p.Init(now)
}

func ledgerWithCrash(at time.Time) *isolator.Ledger {
	l := &isolator.Ledger{}
	l.RecordCrash(at, isolator.Run{Service: "svc", Request: "bad", Server: "s@1"}, true)
	return l
}

// TestEvidenceOutlivesARestart checks the times of crashes after a restart, also if the time of day
// has been stepped meanwhile.
func TestEvidenceOutlivesARestart(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	for name, test := range map[string]struct{ off, wantAge time.Duration }{
		"restart":       {3 * time.Second, 5 * time.Second},
		"stepped ahead": {24 * time.Hour, 2*time.Second + maxRestartTime},
		"stepped back":  {-time.Hour, 2 * time.Second},
	} {
		folder := filepath.Join(t.TempDir(), "a")
		p, before := open(folder, start, ledgerWithCrash(start.Add(-2*time.Second)))
		if len(before.Evidence) > 0 {
			t.Fatalf("%s: evidence in an empty folder", name)
		}
		p.save(start)
		now := start.Add(test.off)
		_, c := open(folder, now, &isolator.Ledger{})
		if len(c.Evidence) != 1 {
			t.Fatalf("%s: got %+v", name, c)
		}
		e := c.Evidence[0]
		if age := now.Sub(e.Crashes["s@1"]); e.Key.Request != "bad" || age != test.wantAge {
			t.Errorf("%s: the crash of %q is %s old, want %s", name, e.Key.Request, age, test.wantAge)
		}
	}
}

// TestDamagedFileIsIgnored guards against a process that does not start, or keeps no evidence any
// more, because of what a former run has left.
func TestDamagedFileIsIgnored(t *testing.T) {
	folder := t.TempDir()
	for _, name := range []string{fileName, fileName + ".new"} {
		if err := os.WriteFile(filepath.Join(folder, name), []byte{0x5f, 1, 2}, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	start := time.Unix(1_000_000, 0)
	p, c := open(folder, start, ledgerWithCrash(start))
	if len(c.Evidence) > 0 {
		t.Errorf("got %+v", c)
	}
	p.save(start)
	if _, c := open(folder, start, &isolator.Ledger{}); len(c.Evidence) != 1 {
		t.Error("nothing was written")
	}
}

// TestWriteIsRetriedAfterAFailure: the folder cannot be written at first.
func TestWriteIsRetriedAfterAFailure(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(folder, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	start := time.Unix(1_000_000, 0)
	p, _ := open(folder, start, ledgerWithCrash(start))
	p.save(start)
	if !p.failing {
		t.Error("a failed write was not noticed")
	}
	if err := os.Remove(folder); err != nil {
		t.Fatal(err)
	}
	p.save(start)
	if p.failing {
		t.Error("the second write failed too")
	}
}

// TestEvidenceIsWrittenAfterFullDisk guards against evidence that stays unwritten after a full disk has room
// again, because nothing changes any more.
func TestEvidenceIsWrittenAfterFullDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		folder, full := t.TempDir(), filepath.Join(t.TempDir(), "full")
		if err := os.WriteFile(full, nil, 0o600); err != nil {
			t.Fatal(err)
		}
		l := ledgerWithCrash(time.Now())
		p := &Preserver{
			FileSystem: journaler.RefusingFolder{OSFolder: journaler.OSFolder(folder), While: full}, Logger: log.NewNopLogger(),
			Collect: func() Content { return Content{Evidence: l.Snapshot(9)} },
		}
		p.Init(time.Now())
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go p.Run(ctx)
		p.NotifyChanged(1)
		time.Sleep(3 * time.Second)
		if err := os.Remove(full); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if _, c := open(folder, time.Now(), &isolator.Ledger{}); len(c.Evidence) != 1 {
			t.Error("the evidence was not written")
		}
		cancel()
		synctest.Wait()
	})
}
