// Package acceptor serves HTTP/1.1 to clients that are not trusted, and bounds what all of them hold.
//
// http.Server bounds the head of one request, and only far above what a catalog allows. A head in short
// lines takes many times its bytes in memory, and the sum over all connections has no bound. A Server
// counts what arrives between the socket and http.Server instead: each head is charged to a
// budgeter.Budget while its bytes come, and is refused where it exceeds the limit or the budget.
// Connections are bounded as well. A new one takes the place of one that has waited long without a request,
// or whose client is behind a minimum rate; those whose requests are being served keep theirs.
package acceptor

import (
	"container/list"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"trefoilhead.org/trefoilhead/internal/budgeter"
)

// Limits are those of one connection. Zero values mean the defaults.
type Limits struct {
	// HeadBytes bounds the head of a request.
	HeadBytes int
	// HeadTimeout is the time in which a head has to arrive, and IdleTimeout how long a connection may wait for its
	// first byte.
	HeadTimeout, IdleTimeout time.Duration
}

// Defaults of Limits.
const (
	DefaultHeadBytes   = 64 << 10
	defaultHeadTimeout = 5 * time.Second
	defaultIdleTimeout = 30 * time.Second
)

const (
	// readAheadBytes is how much http.Server reads at once: a head may be followed by less than that.
	readAheadBytes = 4 << 10
	// lineBytes is what a line of a head takes in memory besides its bytes.
	lineBytes = 128
	// spareFraction is the part of MaxConnections by which connections may exceed it while others are being closed.
	spareFraction = 16
	// logInterval is the time between two lines about the same limit.
	logInterval = time.Second
	// retryAfter is the time after which a client whose request did not fit may come again.
	retryAfter = 2 * time.Second
	// placeholderTimeout is the timeout that http.Server is given. A read deadline that results from it
	// is replaced by one that follows the current limits.
	placeholderTimeout = time.Hour
	// minPlaceholderDistance is how far in the future such a read deadline is at least.
	minPlaceholderDistance = placeholderTimeout / 2
	// maxHeadBytes is the bound of http.Server itself.
	maxHeadBytes = 1 << 20
)

// Reasons for which a request is refused before a handler sees it.
const (
	ReasonHeadTooLarge = "header_too_large"
	ReasonHeadTooSlow  = "header_too_slow"
	ReasonMemoryShort  = "memory_short"
)

// Server serves connections. Exported fields are set before Init.
type Server struct {
	Handler http.Handler
	// Name is the name of the listener in logs and metrics.
	Name string
	// Limits returns the current limits; nil means the defaults.
	Limits func() Limits
	// MaxConnections is the bound on open connections; 0 means none.
	MaxConnections int
	// Memory is what all requests reserve; nil means a budget of its own without a bound.
	Memory *budgeter.Budget
	// TLS is the configuration of TLS; nil means connections without TLS.
	TLS *tls.Config
	// ConnContext is like that of http.Server, which sees no handler for it; it may be nil.
	ConnContext func(ctx context.Context, c net.Conn) context.Context
	// RefusalBody returns the media type and the body of a refusal; nil means the reason as text.
	RefusalBody func(status int, reason string) (mediaType string, body []byte)
	Logger      log.Logger
	// Metrics is where the metrics are registered. If it is nil, they are not exposed.
	Metrics metrics.Registry

	server http.Server
	counts counts

	mu sync.Mutex
	// open counts the connections. fresh and kept hold those that wait for a request, the one that has waited longest
	// first: without and with an answer before it.
	open        int
	fresh, kept list.List
	nextLog     map[string]time.Time
	// isEnding is set once the process is about to end.
	isEnding bool
}

// counts holds how often each limit has acted.
type counts struct {
	refusedHeads, slowHeads, refusedForMemory, closedForOthers, turnedAway metrics.Counter
}

// Init prepares the Server. It must be called before any other method.
func (s *Server) Init() {
	if s.Memory == nil {
		s.Memory = &budgeter.Budget{}
	}
	if s.Logger == nil {
		s.Logger = log.NewNopLogger()
	}
	registry := s.Metrics
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	counter := func(name string) metrics.Counter {
		c := metrics.NewCounter()
		metrics.NewRegisteredFunctionalGauge(s.Name+"_"+name, registry, c.Count)
		return c
	}
	s.counts = counts{
		refusedHeads: counter("heads_too_large"), slowHeads: counter("heads_too_slow"), refusedForMemory: counter("heads_memory_short"),
		closedForOthers: counter("connections_closed_for_others"), turnedAway: counter("connections_turned_away"),
	}
	metrics.NewRegisteredFunctionalGauge(s.Name+"_connections", registry, func() int64 { return int64(s.Connections()) })
	s.nextLog = map[string]time.Time{}
	s.server = http.Server{
		Handler: http.HandlerFunc(s.serveHTTP), ReadHeaderTimeout: placeholderTimeout, IdleTimeout: placeholderTimeout, MaxHeaderBytes: maxHeadBytes,
		ConnContext: s.connContext, ConnState: s.recordState,
	}
}

// Serve serves the connections of a listener until that fails or the Server is closed.
func (s *Server) Serve(l net.Listener) error {
	if err := setWindow(l); err != nil {
		_ = level.Warn(s.Logger).Log("part", "acceptor", "msg", "cannot set the receive buffers of connections", "listener", s.Name, "err", err)
	}
	if s.TLS != nil {
		l = tls.NewListener(l, s.TLS)
	}
	return s.server.Serve(&listener{Listener: l, server: s})
}

// Shutdown is like that of http.Server.
func (s *Server) Shutdown(ctx context.Context) error { return s.server.Shutdown(ctx) }

// Close closes all connections at once.
func (s *Server) Close() error {
	s.mu.Lock()
	s.isEnding = true
	s.mu.Unlock()
	return s.server.Close()
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}

func (s *Server) limits() Limits {
	var l Limits
	if s.Limits != nil {
		l = s.Limits()
	}
	if l.HeadBytes <= 0 {
		l.HeadBytes = DefaultHeadBytes
	}
	if l.HeadTimeout <= 0 {
		l.HeadTimeout = defaultHeadTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}

type connKey struct{}

func (s *Server) connContext(ctx context.Context, nc net.Conn) context.Context {
	if s.ConnContext != nil {
		ctx = s.ConnContext(ctx, nc)
	}
	c, ok := nc.(*conn)
	if !ok {
		return ctx
	}
	return budgeter.NewContext(context.WithValue(ctx, connKey{}, c), &c.account)
}

// recordState follows the states in which http.Server sees a connection.
func (s *Server) recordState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.endHead()
	case http.StateIdle:
		c.endRequest()
	case http.StateHijacked:
		c.hijack()
	}
}

// serveHTTP notes the end of the request's body for the connection, and calls the handler.
func (s *Server) serveHTTP(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*conn); ok {
		if r.Body == nil || r.Body == http.NoBody {
			c.account.EndAwait()
		} else {
			r.Body = &body{ReadCloser: r.Body, conn: c}
		}
	}
	s.Handler.ServeHTTP(w, r)
}

// listener counts the connections that it accepts.
type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.server.admit(nc); c != nil {
			return c, nil
		}
		_ = nc.Close()
	}
}

// admit counts a new connection. If there are too many, it closes another one, or returns nil if there is none that may be
// closed.
func (s *Server) admit(nc net.Conn) *conn {
	c := &conn{Conn: nc, server: s, account: budgeter.Account{Budget: s.Memory}}
	// A handshake has to end in the time of a head.
	c.isHeadNext.Store(s.TLS != nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.MaxConnections > 0 && s.open >= s.MaxConnections {
		if !s.makeRoom() || s.open >= s.MaxConnections+max(s.MaxConnections/spareFraction, 1) {
			s.counts.turnedAway.Inc(1)
			s.logLimit("connections", nc, "a connection was closed unread, since there are too many")
			return nil
		}
	}
	s.open++
	c.enterList(&s.fresh)
	return c
}

// makeRoom closes a connection that has waited for a request without having had one, or that whose client is furthest
// behind, or one that waits for another request. The caller holds mu.
func (s *Server) makeRoom() bool {
	if s.closeOldest(&s.fresh) {
		return true
	}
	s.mu.Unlock()
	reclaimed := s.Memory.ReclaimOne()
	s.mu.Lock()
	return reclaimed || s.closeOldest(&s.kept)
}

// closeOldest closes the connection of a list that has waited longest, if it has waited for minWait. The caller holds mu.
func (s *Server) closeOldest(l *list.List) bool {
	front := l.Front()
	if front == nil {
		return false
	}
	c := front.Value.(*conn)
	if time.Since(c.waitingSince) < minWait {
		return false
	}
	c.leaveList()
	s.open--
	c.isCounted = false
	s.counts.closedForOthers.Inc(1)
	s.logLimit("connections", c, "a waiting connection was closed for a new one")
	_ = c.Conn.Close()
	return true
}

// minWait is how long a connection has waited at least before it is closed for another one.
const minWait = 100 * time.Millisecond

// logLimit logs that a client has met a limit, once in logInterval for each limit. The caller holds mu.
func (s *Server) logLimit(limit string, c net.Conn, msg string) {
	now := time.Now()
	if now.Before(s.nextLog[limit]) {
		return
	}
	s.nextLog[limit] = now.Add(logInterval)
	_ = level.Warn(s.Logger).Log("part", "acceptor", "msg", msg, "listener", s.Name, "client", c.RemoteAddr(), "open", s.open,
		"max", s.MaxConnections, "memory", s.Memory.Used(), "memory_max", s.Memory.Limit)
}

// errRefused makes http.Server close the connection without an answer of its own: it does so after timeouts.
var errRefused net.Error = refusedError{}

type refusedError struct{}

// Error implements error.
func (refusedError) Error() string { return "the client was refused" }

// Timeout implements net.Error.
func (refusedError) Timeout() bool { return true }

// Temporary implements net.Error.
func (refusedError) Temporary() bool { return false }
