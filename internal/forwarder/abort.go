package forwarder

import (
	"context"
	"net"
	"net/http"
)

type connKey struct{}

// ConnContext is the http.Server.ConnContext of a server for callers. AbortResponse needs
// it.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// AbortResponse ends the response to a request so that the caller sees that it is
// incomplete. It panics with http.ErrAbortHandler. A response to HTTP/1.0 has no chunks and
// ends with its connection, so that connection is reset.
func AbortResponse(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(interface{ SetLinger(sec int) error }); ok && !r.ProtoAtLeast(1, 1) {
		// If it fails, the connection is closed all the same.
		_ = c.SetLinger(0)
	}
	panic(http.ErrAbortHandler)
}
