package forwarder

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"trefoilhead.org/trefoilhead/internal/cataloger"
)

// slowBody is a request body whose bytes arrive only after a while in which the process
// may have been suspended.
type slowBody struct {
	arrive func()
	read   bool
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.read {
		return 0, io.EOF
	}
	b.read = true
	b.arrive()
	return copy(p, "body"), nil
}

// TestKeyIsCheckedAgainAfterAPause guards against forwarding a request whose key was
// checked before the process was suspended or the body took long to arrive.
func TestKeyIsCheckedAgainAfterAPause(t *testing.T) {
	for name, test := range map[string]struct {
		revoke bool
		pause  time.Duration
		status int
	}{
		"long pause":             {false, 6 * time.Second, 503},
		"revoked meanwhile":      {true, time.Second, 401},
		"short pause, valid key": {false, time.Second, 200},
	} {
		t.Run(name, func(t *testing.T) {
			withTestbed(t, map[string]func(net.Conn, *http.Request) bool{"first": completeResponse()}, func(tb *testbed) {
				var suspended time.Duration
				tb.Elapsed = func() time.Duration { return time.Since(tb.startedAt) + time.Minute + suspended }
				arrive := func() {
					suspended += test.pause
					if test.revoke {
						c := testCatalog(t)
						c.Version, c.Teams = 2, []cataloger.Team{{Name: "team", Keys: []string{"another"}}}
						if err := c.Index(); err != nil {
							t.Fatal(err)
						}
						tb.SetCatalog(c)
					}
				}
				r := httptest.NewRequest("POST", "http://h/keyed/x", &slowBody{arrive: arrive})
				r.RequestURI = "/keyed/x"
				r.Header.Set("Id", "q1")
				r.Header.Set("Key", "k")
				rec := httptest.NewRecorder()
				tb.ServeHTTP(rec, r)
				if runs := len(tb.backends["first"].receivedIDs()); rec.Code != test.status || (runs == 1) != (test.status == 200) {
					t.Errorf("status %d, %d runs; want status %d", rec.Code, runs, test.status)
				}
			})
		})
	}
}
