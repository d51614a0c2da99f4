package forwarder

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestServerThatReadsLongPromptIsNotStalled guards against groups that are closed while they
// read the long prompt of their only request.
func TestServerThatReadsLongPromptIsNotStalled(t *testing.T) {
	for name, test := range map[string]struct {
		prompt string
		// at is when the front is asked for its suspicions.
		at          time.Duration
		wantStalled int
	}{
		"short prompt, no event for 0.6 s": {"50", 600 * time.Millisecond, 1},
		"1 s of reading, after 1.2 s":      {"50000", 1200 * time.Millisecond, 0},
		"1 s of reading, after 1.6 s":      {"50000", 1600 * time.Millisecond, 1},
	} {
		t.Run(name, func(t *testing.T) {
			withTestbed(t, map[string]func(net.Conn, *http.Request) bool{"first": neverRespond}, func(tb *testbed) {
				tb.useEngineGroups()
				c := testCatalog(t)
				c.Version++
				for i := range c.Routes {
					c.Routes[i].LatencyObjective, c.Routes[i].Timeout = 3*time.Second, 10*time.Second
				}
				if err := c.Index(); err != nil {
					t.Fatal(err)
				}
				tb.SetCatalog(c)
				ctx, leave := context.WithCancel(context.Background())
				ended := make(chan bool)
				go func() {
					tb.call(ctx, "POST", "/chat/x", "body", "Model", "m", "Prompt", test.prompt)
					close(ended)
				}()
				time.Sleep(test.at)
				got := tb.Suspicions(time.Now())
				if len(got) != 1 || got[0].StalledRequests != test.wantStalled {
					t.Errorf("got %+v, want %d stalled requests", got, test.wantStalled)
				}
				leave()
				<-ended
			})
		})
	}
}
