package emulator

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

// Serve serves requests on a listener and announces the server until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	mux := http.NewServeMux()
	s.RegisterHandlers(mux)
	h := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	stop := context.AfterFunc(ctx, func() { _ = h.Close() })
	defer stop()
	go s.AnnouncePeriodically(ctx)
	if err := h.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
