package server

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"trefoilhead.org/trefoilhead/internal/emulator"
	"trefoilhead.org/trefoilhead/internal/identifier"
)

const crashingText = "a message under which engines crash"

// crashTest lets engines crash under a message and records when they did.
type crashTest struct {
	*testCluster
	mu      sync.Mutex
	crashes []time.Time
	stopped bool
}

// arm makes an engine crash under crashingText and start again 3 s later.
func (c *crashTest) arm(vm string, d identifier.FailureDomain) {
	b := c.backends[vm]
	b.server.Crash = func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.stopped || c.backends[vm] != b {
			return
		}
		c.crashes = append(c.crashes, time.Now())
		delete(c.backends, vm)
		c.network.Kill(vm)
		b.stop()
		time.AfterFunc(3*time.Second, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			if !c.stopped {
				c.startBackend(vm, d, emulator.KindEngine)
				c.arm(vm, d)
			}
		})
	}
	b.server.SetFaults(emulator.Faults{CrashOnPrompt: crashingText})
}

// TestPromptsThatCrashServersAreStopped guards against prompts that crash one engine after
// the other. Sound requests share the team and the other messages.
func TestPromptsThatCrashServersAreStopped(t *testing.T) {
	withCluster(t, 2, func(w *testCluster) {
		c := &crashTest{testCluster: w}
		c.mu.Lock()
		for _, d := range testDomains {
			for i := range 5 {
				c.arm(fmt.Sprintf("engine-%s-%d", d, i+1), d)
			}
		}
		c.mu.Unlock()
		random := rand.New(rand.NewPCG(1, 1))
		var entries []string
		for _, p := range w.peers {
			entries = append(entries, string(p.VM))
		}
		var calls sync.WaitGroup
		var mu sync.Mutex
		lateCrashing, soundServed, soundCount := 0, 0, 0
		startedAt := time.Now()
		for time.Since(startedAt) < 60*time.Second {
			entry, bad, n := entries[random.IntN(len(entries))], random.IntN(6) == 0, w.requestCount.Add(1)
			mark := fmt.Sprintf("m%d", n)
			text := "be brief"
			if bad {
				text = crashingText
			}
			body := fmt.Sprintf(`{"model":"chat","stream":true,"max_tokens":10,"messages":[{"role":"system","content":"instructions %d"},`+
				`{"role":"system","content":%q},{"role":"user","content":"hello %d"}]}`, n%3, text, n)
			calls.Go(func() {
				at := time.Now()
				r := w.send(entry, "/v1/chat/completions", body, mark, "")
				mu.Lock()
				defer mu.Unlock()
				if !bad && at.Sub(startedAt) > 40*time.Second {
					soundCount++
					if r.complete {
						soundServed++
					}
				}
			})
			time.Sleep(100 * time.Millisecond)
		}
		calls.Wait()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.stopped = true
		if len(c.crashes) < 3 {
			t.Fatalf("only %d engines crashed", len(c.crashes))
		}
		fifth := c.crashes[min(len(c.crashes), 5)-1]
		for _, at := range c.crashes {
			if at.Sub(fifth) > 3*time.Second {
				lateCrashing++
			}
		}
		t.Logf("%d engines crashed, %d of %d sound requests were served at the end", len(c.crashes), soundServed, soundCount)
		if lateCrashing > 3 {
			t.Errorf("%d engines crashed later than 3 s after the fifth crash, %d in all", lateCrashing, len(c.crashes))
		}
		if soundServed < soundCount*9/10 {
			t.Errorf("%d of %d sound requests were served in the last 20 s", soundServed, soundCount)
		}
	})
}
