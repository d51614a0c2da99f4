package coordinator_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"trefoilhead.org/trefoilhead/internal/coordinator"
	"trefoilhead.org/trefoilhead/internal/tracker"
)

// TestLateDepartureDoesNotEndNextLife guards against a departure without a start time that comes
// after its caller gave up, and ends the life of the server that began since. In time it
// has to end a life.
func TestLateDepartureDoesNotEndNextLife(t *testing.T) {
	server := func(incarnation uint64) tracker.Server {
		return tracker.Server{
			ID: "s", Service: "svc", Address: "s:1", Domain: "zc", Incarnation: incarnation, Sequence: 1, LastHeartbeatAt: time.Now(),
		}
	}
	for name, test := range map[string]struct {
		// waits is how long the caller waits for the acknowledgement.
		waits time.Duration
		known bool
		err   error
	}{
		"caller has gone":         {waits: 0, known: true, err: coordinator.ErrCallerGone},
		"caller goes soon":        {waits: 50 * time.Millisecond, known: true, err: coordinator.ErrCallerGone},
		"caller waits":            {waits: time.Second, known: true},
		"server is not known":     {waits: time.Second, err: coordinator.ErrUnknownServer},
		"caller of unknown gives": {waits: 0, err: coordinator.ErrCallerGone},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runInSystem(t, func(s *system) {
				s.mustPublish(1, "a")
				f := s.startFront()
				if test.known {
					s.coreNamed("c").HandleAnnouncement(context.Background(), server(5))
					s.coreNamed("c").HandleAnnouncement(context.Background(), server(6))
				}
				time.Sleep(2 * time.Second)
				ctx, cancel := context.WithTimeout(context.Background(), test.waits)
				defer cancel()
				if err := s.coreNamed("a").HandleLeave(ctx, "s", 0); !errors.Is(err, test.err) {
					t.Errorf("the call returned %v, want %v", err, test.err)
				}
				time.Sleep(time.Second)
				for _, known := range f.Snapshot().Servers {
					if known.Usable() != (test.err != nil) {
						t.Errorf("the server is usable: %v", known.Usable())
					}
				}
				if len(f.Snapshot().Servers) == 1 != test.known {
					t.Errorf("the front knows %d servers", len(f.Snapshot().Servers))
				}
			})
		})
	}
}

// TestClosedConnectionEndsCall guards against departures that are heeded though their bytes came
// together with the end of the connection, as after a cut.
func TestClosedConnectionEndsCall(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	srv := &http.Server{
		ReadHeaderTimeout: time.Second,
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			select {
			case <-r.Context().Done():
				ended <- nil
			case <-time.After(5 * time.Second):
				ended <- errors.New("the call was not ended")
			}
		}),
	}
	go func() { _ = srv.Serve(l) }()
	defer func() { _ = srv.Close() }()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	w := bufio.NewWriter(conn)
	_, _ = fmt.Fprintf(w, "DELETE /x HTTP/1.1\r\nHost: core\r\nContent-Length: 0\r\n\r\n")
	if err := errors.Join(w.Flush(), conn.Close()); err != nil {
		t.Fatal(err)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
