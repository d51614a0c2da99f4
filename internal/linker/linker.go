// Package linker carries messages between trefoilhead's own processes.
//
// A link is a WebSocket connection opened by the process that has something to
// send, and closed again when it has been idle for long; messages are CBOR. A
// process answers calls on the link that they came on. Both ends expect to hear
// something at least once per silence bound, pings included, so a connection
// that has gone silent is dropped within seconds and the next message opens a
// new one. One-way messages may be lost; calls end with an answer or an error.
package linker

import (
	"context"
	"crypto/subtle"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/zeebo/errs"

	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/pkg/wire/peerv1"
)

// Error is the class of every error of this package.
var Error = errs.Class("link")

// ErrNotSent is returned by Call when the message certainly did not leave. After
// any other error the peer may have handled it.
var ErrNotSent = errs.New("the message was not sent")

// Path is where a Linker is mounted on a process's control address.
const Path = "/peer/v1"

// ProtocolVersion is the version that the handshake has to agree on.
const ProtocolVersion = 1

// Header names of the handshake.
const (
	headerKey      = "X-Trefoilhead-Peer-Key"
	headerVM       = "X-Trefoilhead-VM"
	headerProtocol = "X-Trefoilhead-Protocol"
)

// Bounds of one link.
const (
	maxMessageBytes = 256 << 20
	sendQueue       = 1024
	idleTime        = 60 * time.Second
	handlersPerLink = 64
)

// Handler takes what peers send. An answer is sent back when the message was a
// call; for one-way messages it is nil.
type Handler interface {
	HandlePeerMessage(ctx context.Context, from identifier.VM, e *peerv1.Envelope) (*peerv1.Envelope, error)
}

// Dialer opens connections to control addresses.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Linker holds the links of one process. Exported fields are set before use.
type Linker struct {
	VM identifier.VM
	// PeerKey is the secret that peers share.
	PeerKey string
	// PeerAddresses maps every peer to host:port of its control address.
	PeerAddresses map[identifier.VM]string
	// AllowUnlistedPeers takes peers that Addresses does not list. The id of such a peer is
	// host:port of its address.
	AllowUnlistedPeers bool
	// Scheme is ws or wss.
	Scheme string
	Dialer Dialer
	// TLS is used with the scheme wss.
	TLS     *tls.Config
	Handler Handler
	Logger  log.Logger
	// HeartbeatInterval is the time between pings, Silence the bound after which a
	// link counts as dead.
	HeartbeatInterval time.Duration
	SilenceTimeout    time.Duration

	mu    sync.Mutex
	links map[identifier.VM]*link
	// sessions are the accepted links.
	sessions map[*session]bool
	closed   bool
	wg       sync.WaitGroup
	// Counts for the state dump and for CAPACITY.
	counts Counts
}

// Counts adds up the traffic of a Linker.
type Counts struct {
	MessagesOut     uint64 `json:"messages_out"`
	BytesOut        uint64 `json:"bytes_out"`
	MessagesIn      uint64 `json:"messages_in"`
	BytesIn         uint64 `json:"bytes_in"`
	LinksOpened     uint64 `json:"links_opened"`
	LinksLost       uint64 `json:"links_lost"`
	MessagesDropped uint64 `json:"dropped"`
}

// Send queues a one-way message. A message that cannot be queued is lost.
func (l *Linker) Send(to identifier.VM, e *peerv1.Envelope) {
	k := l.link(to)
	if k == nil || !k.queue(e) {
		l.count(func(c *Counts) { c.MessagesDropped++ })
	}
}

// Call sends a message and waits for its answer.
func (l *Linker) Call(ctx context.Context, to identifier.VM, e *peerv1.Envelope) (*peerv1.Envelope, error) {
	k := l.link(to)
	if k == nil {
		return nil, ErrNotSent
	}
	return k.call(ctx, e)
}

func (l *Linker) link(to identifier.VM) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	address, known := l.addressOf(to)
	if l.closed || !known || to == l.VM {
		return nil
	}
	if k := l.links[to]; k != nil {
		return k
	}
	if l.links == nil {
		l.links = map[identifier.VM]*link{}
	}
	k := newLink(l, to, address)
	l.links[to] = k
	l.wg.Go(k.run)
	return k
}

// addressOf returns the address of a peer that this Linker talks to.
func (l *Linker) addressOf(vm identifier.VM) (string, bool) {
	if address, listed := l.PeerAddresses[vm]; listed {
		return address, true
	}
	if !l.AllowUnlistedPeers {
		return "", false
	}
	_, _, err := net.SplitHostPort(string(vm))
	return string(vm), err == nil
}

// forget removes a link that has ended, so that the next message opens one.
func (l *Linker) forget(k *link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.links[k.to] == k {
		delete(l.links, k.to)
	}
}

// Close ends every link and waits for its goroutines.
func (l *Linker) Close() {
	l.mu.Lock()
	l.closed = true
	for _, k := range l.links {
		k.cancel()
	}
	for s := range l.sessions {
		s.cancel()
	}
	l.mu.Unlock()
	l.wg.Wait()
}

// Counts returns the traffic so far.
func (l *Linker) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

func (l *Linker) count(add func(*Counts)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	add(&l.counts)
}

// ServeHTTP accepts a link from a peer and serves it until it ends.
func (l *Linker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key := r.Header.Get(headerKey)
	if subtle.ConstantTimeCompare([]byte(key), []byte(l.PeerKey)) != 1 {
		http.Error(w, "the peer key is wrong", http.StatusForbidden)
		return
	}
	if r.Header.Get(headerProtocol) != protocolText {
		http.Error(w, "the protocol version differs", http.StatusUpgradeRequired)
		return
	}
	from := identifier.VM(r.Header.Get(headerVM))
	if _, known := l.addressOf(from); !known {
		http.Error(w, "the peer is not in the settings", http.StatusForbidden)
		return
	}
	c, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	c.SetReadLimit(maxMessageBytes)
	l.serve(context.WithoutCancel(r.Context()), c, from)
}

// serve reads one accepted link until it is silent for too long or closed.
func (l *Linker) serve(ctx context.Context, c *websocket.Conn, from identifier.VM) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &session{linker: l, conn: c, ctx: ctx, cancel: cancel, slots: make(chan struct{}, handlersPerLink)}
	defer s.close()
	if !l.keep(s) {
		return
	}
	for {
		e, err := s.read(l.SilenceTimeout)
		if err != nil {
			return
		}
		if e.Ping {
			s.write(&peerv1.Envelope{Ping: true, Answer: true})
			continue
		}
		s.handle(from, e)
	}
}

// keep notes an accepted link, and reports false when the Linker is closed.
func (l *Linker) keep(s *session) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	if l.sessions == nil {
		l.sessions = map[*session]bool{}
	}
	l.sessions[s] = true
	l.wg.Add(1)
	return true
}

func (l *Linker) drop(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sessions[s] {
		delete(l.sessions, s)
		l.wg.Done()
	}
}

// session is the accepting end of a link.
type session struct {
	linker *Linker
	conn   *websocket.Conn
	ctx    context.Context
	cancel context.CancelFunc
	mu     sync.Mutex
	slots  chan struct{}
	wg     sync.WaitGroup
}

func (s *session) close() {
	s.cancel()
	_ = s.conn.CloseNow()
	s.wg.Wait()
	s.linker.drop(s)
}

func (s *session) read(silence time.Duration) (*peerv1.Envelope, error) {
	return readEnvelope(s.ctx, s.linker, s.conn, silence)
}

// handle runs one-way messages in order and each call in a goroutine of its
// own.
func (s *session) handle(from identifier.VM, e *peerv1.Envelope) {
	if e.Call == 0 {
		_, _ = s.linker.Handler.HandlePeerMessage(s.ctx, from, e)
		return
	}
	s.slots <- struct{}{}
	s.wg.Go(func() {
		defer func() { <-s.slots }()
		answer, err := s.linker.Handler.HandlePeerMessage(s.ctx, from, e)
		if answer == nil {
			answer = &peerv1.Envelope{}
		}
		if err != nil {
			answer = &peerv1.Envelope{Error: err.Error()}
		}
		answer.Call, answer.Answer = e.Call, true
		s.write(answer)
	})
}

func (s *session) write(e *peerv1.Envelope) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := writeEnvelope(s.ctx, s.linker, s.conn, e); err != nil {
		s.cancel()
	}
}

func readEnvelope(ctx context.Context, l *Linker, c *websocket.Conn, silence time.Duration) (*peerv1.Envelope, error) {
	ctx, cancel := context.WithTimeout(ctx, silence)
	defer cancel()
	_, data, err := c.Read(ctx)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	l.count(func(c *Counts) { c.MessagesIn++; c.BytesIn += uint64(len(data)) })
	e := &peerv1.Envelope{}
	if err := cbor.Unmarshal(data, e); err != nil {
		return nil, Error.Wrap(err)
	}
	return e, nil
}

func writeEnvelope(ctx context.Context, l *Linker, c *websocket.Conn, e *peerv1.Envelope) error {
	data, err := cbor.Marshal(e)
	if err != nil {
		return Error.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, l.SilenceTimeout)
	defer cancel()
	l.count(func(c *Counts) { c.MessagesOut++; c.BytesOut += uint64(len(data)) })
	return Error.Wrap(c.Write(ctx, websocket.MessageBinary, data))
}

func (l *Linker) logLost(k *link, err error) {
	_ = level.Debug(l.Logger).Log("part", "link", "msg", "link ended", "peer", k.to, "err", err)
	l.count(func(c *Counts) { c.LinksLost++ })
}
