// Package linker sends messages between trefoilhead's own processes, its peers.
//
// A link is a WebSocket connection that carries messages encoded in CBOR. The
// process that has something to send opens it and closes it again after it has
// been idle for some time. The reply to a call is sent on the link on which the call
// arrived. The opening end sends pings, and the accepting end replies to them. Each
// end drops a link on which it received nothing for SilenceTimeout, and the next
// message opens a new one. One-way messages may be lost. A call ends with a reply,
// an error or the end of its context.
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
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/zeebo/errs"

	"trefoilhead.org/trefoilhead/internal/marshaler"

	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/pkg/wire/peerv1"
)

// Error is the class of every error of this package.
var Error = errs.Class("link")

// ErrNotSent is returned by Call if the message was certainly not sent. After any
// other error the peer may have handled the message.
var ErrNotSent = errs.New("the message was not sent")

// Path is the HTTP path of a Linker in a process's server for peers.
const Path = "/peer/v1"

// ProtocolVersion is the version of the protocol. Both ends of a link need the
// same one.
const ProtocolVersion = 1

// Headers of the request that opens a link.
const (
	headerPeerKey  = "X-Trefoilhead-Peer-Key"
	headerVM       = "X-Trefoilhead-VM"
	headerProtocol = "X-Trefoilhead-Protocol"
)

// Limits of one link.
const (
	maxMessageBytes    = 256 << 20
	sendQueueLength    = 1024
	idleTimeout        = 60 * time.Second
	maxCallsPerSession = 64
)

// Handler handles the messages that peers send. If the message is a call, the
// returned reply or the error's text is sent back; a nil reply is sent as an empty
// one. For one-way messages both results are ignored.
type Handler interface {
	HandlePeerMessage(ctx context.Context, from identifier.VM, e *peerv1.Envelope) (*peerv1.Envelope, error)
}

// Dialer opens network connections to peers.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Linker manages the links of one process. Exported fields must be set before use
// and not changed afterwards.
type Linker struct {
	VM identifier.VM
	// PeerKey is the secret that all peers share.
	PeerKey string
	// PeerAddresses maps every listed peer to the host:port at which it accepts links.
	PeerAddresses map[identifier.VM]string
	// AllowUnlistedPeers also allows peers that PeerAddresses does not list. The id
	// of such a peer is the host:port at which it accepts links.
	AllowUnlistedPeers bool
	// Scheme is the URL scheme of links, ws or wss.
	Scheme string
	Dialer Dialer
	// TLS is the client's configuration for the scheme wss.
	TLS     *tls.Config
	Handler Handler
	Logger  log.Logger
	// Compress compresses messages of more than 512 bytes on links whose peer does so too.
	Compress bool
	// OnMessage, if set, is called for each message that is sent or was received, with its
	// size in bytes. It has to return quickly and may be called concurrently.
	OnMessage func(peer identifier.VM, e *peerv1.Envelope, bytes int, sent bool)
	// PingInterval is the time between pings. A link on which nothing was received
	// for SilenceTimeout is dropped; the timeout also limits opening a link and each
	// write.
	PingInterval   time.Duration
	SilenceTimeout time.Duration

	mu    sync.Mutex
	links map[identifier.VM]*link
	// sessions are the accepting ends of the links that peers opened.
	sessions map[*session]bool
	closed   bool
	wg       sync.WaitGroup
	// counts are shown in the state dump and used for docs/CAPACITY.md.
	counts Counts
}

// Counts holds the traffic totals of a Linker. LinksLost includes links that could
// not be opened.
type Counts struct {
	MessagesOut     uint64 `json:"messages_out"`
	BytesOut        uint64 `json:"bytes_out"`
	MessagesIn      uint64 `json:"messages_in"`
	BytesIn         uint64 `json:"bytes_in"`
	LinksOpened     uint64 `json:"links_opened"`
	LinksLost       uint64 `json:"links_lost"`
	MessagesDropped uint64 `json:"dropped"`
}

// Send queues a one-way message. A message that cannot be queued is dropped and
// counted.
func (l *Linker) Send(to identifier.VM, e *peerv1.Envelope) {
	k := l.linkTo(to)
	if k == nil || !k.enqueue(e) {
		l.updateCounts(func(c *Counts) { c.MessagesDropped++ })
	}
}

// Call sends a message and waits for the reply to it.
func (l *Linker) Call(ctx context.Context, to identifier.VM, e *peerv1.Envelope) (*peerv1.Envelope, error) {
	k := l.linkTo(to)
	if k == nil {
		return nil, ErrNotSent
	}
	return k.call(ctx, e)
}

// compressionMode returns how the messages of a link are compressed: one by one, because a
// window over several messages costs more than a megabyte a link.
func (l *Linker) compressionMode() websocket.CompressionMode {
	if l.Compress {
		return websocket.CompressionNoContextTakeover
	}
	return websocket.CompressionDisabled
}

func (l *Linker) linkTo(to identifier.VM) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	address, allowed := l.addressOf(to)
	if l.closed || !allowed || to == l.VM {
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

// addressOf returns the address of a peer, and false if the peer is not allowed.
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

// removeLink removes a closed link, so that the next message opens a new one.
func (l *Linker) removeLink(k *link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.links[k.peer] == k {
		delete(l.links, k.peer)
	}
}

// Close closes all links and waits for their goroutines. No new ones are opened or
// accepted.
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

// Counts returns the traffic totals so far.
func (l *Linker) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

func (l *Linker) updateCounts(add func(*Counts)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	add(&l.counts)
}

// ServeHTTP accepts a link from a peer and serves it until it is closed or lost.
func (l *Linker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key := r.Header.Get(headerPeerKey)
	if subtle.ConstantTimeCompare([]byte(key), []byte(l.PeerKey)) != 1 {
		http.Error(w, "the peer key is wrong", http.StatusForbidden)
		return
	}
	if r.Header.Get(headerProtocol) != protocolHeaderValue {
		http.Error(w, "the protocol version differs", http.StatusUpgradeRequired)
		return
	}
	from := identifier.VM(r.Header.Get(headerVM))
	if _, allowed := l.addressOf(from); !allowed {
		http.Error(w, "the peer is not in the settings", http.StatusForbidden)
		return
	}
	c, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: l.compressionMode()})
	if err != nil {
		return
	}
	c.SetReadLimit(maxMessageBytes)
	l.serve(context.WithoutCancel(r.Context()), c, from)
}

// serve handles the messages of one accepted link until the link is closed or
// nothing was received for SilenceTimeout.
func (l *Linker) serve(ctx context.Context, c *websocket.Conn, from identifier.VM) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &session{linker: l, peer: from, conn: c, ctx: ctx, cancel: cancel, callSlots: make(chan struct{}, maxCallsPerSession)}
	defer s.close()
	if !l.addSession(s) {
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
		s.handle(e)
	}
}

// addSession adds an accepted link. It returns false if the Linker is closed.
func (l *Linker) addSession(s *session) bool {
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

func (l *Linker) removeSession(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sessions[s] {
		delete(l.sessions, s)
		l.wg.Done()
	}
}

// session is the accepting end of a link.
type session struct {
	linker    *Linker
	peer      identifier.VM
	conn      *websocket.Conn
	ctx       context.Context
	cancel    context.CancelFunc
	mu        sync.Mutex
	callSlots chan struct{}
	wg        sync.WaitGroup
}

func (s *session) close() {
	s.cancel()
	_ = s.conn.CloseNow()
	s.wg.Wait()
	s.linker.removeSession(s)
}

func (s *session) read(timeout time.Duration) (*peerv1.Envelope, error) {
	return readEnvelope(s.ctx, s.linker, s.peer, s.conn, timeout)
}

// handle handles one-way messages one after the other, in the order of arrival,
// and each call in a goroutine of its own. It blocks while maxCallsPerSession
// calls are running.
func (s *session) handle(e *peerv1.Envelope) {
	if e.Call == 0 {
		_, _ = s.linker.Handler.HandlePeerMessage(s.ctx, s.peer, e)
		return
	}
	s.callSlots <- struct{}{}
	s.wg.Go(func() {
		defer func() { <-s.callSlots }()
		reply, err := s.linker.Handler.HandlePeerMessage(s.ctx, s.peer, e)
		if reply == nil {
			reply = &peerv1.Envelope{}
		}
		if err != nil {
			reply = &peerv1.Envelope{Error: err.Error()}
		}
		reply.Call, reply.Answer = e.Call, true
		s.write(reply)
	})
}

func (s *session) write(e *peerv1.Envelope) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := writeEnvelope(s.ctx, s.linker, s.peer, s.conn, e); err != nil {
		s.cancel()
	}
}

func readEnvelope(ctx context.Context, l *Linker, peer identifier.VM, c *websocket.Conn, timeout time.Duration) (*peerv1.Envelope, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, data, err := c.Read(ctx)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	l.updateCounts(func(c *Counts) { c.MessagesIn++; c.BytesIn += uint64(len(data)) })
	e := &peerv1.Envelope{}
	if err := marshaler.Unmarshal(data, e); err != nil {
		return nil, Error.Wrap(err)
	}
	if l.OnMessage != nil {
		l.OnMessage(peer, e, len(data), false)
	}
	return e, nil
}

func writeEnvelope(ctx context.Context, l *Linker, peer identifier.VM, c *websocket.Conn, e *peerv1.Envelope) error {
	data, err := marshaler.Marshal(e)
	if err != nil {
		return Error.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, l.SilenceTimeout)
	defer cancel()
	l.updateCounts(func(c *Counts) { c.MessagesOut++; c.BytesOut += uint64(len(data)) })
	if l.OnMessage != nil {
		l.OnMessage(peer, e, len(data), true)
	}
	return Error.Wrap(c.Write(ctx, websocket.MessageBinary, data))
}

func (l *Linker) recordLinkLost(k *link, err error) {
	_ = level.Debug(l.Logger).Log("part", "link", "msg", "link lost", "peer", k.peer, "err", err)
	l.updateCounts(func(c *Counts) { c.LinksLost++ })
}
