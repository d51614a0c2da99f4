package linker

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/coder/websocket"

	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/pkg/wire/peerv1"
)

var protocolHeaderValue = strconv.Itoa(ProtocolVersion)

// link is the opening end of a link to one peer.
type link struct {
	linker    *Linker
	peer      identifier.VM
	address   string
	ctx       context.Context
	cancel    context.CancelFunc
	sendQueue chan *peerv1.Envelope

	mu           sync.Mutex
	lastCallID   uint64
	pendingCalls map[uint64]chan *peerv1.Envelope
	closed       bool
}

func newLink(l *Linker, peer identifier.VM, address string) *link {
	ctx, cancel := context.WithCancel(context.Background())
	return &link{
		linker: l, peer: peer, address: address, ctx: ctx, cancel: cancel,
		sendQueue: make(chan *peerv1.Envelope, sendQueueLength), pendingCalls: map[uint64]chan *peerv1.Envelope{},
	}
}

func (k *link) enqueue(e *peerv1.Envelope) bool {
	select {
	case k.sendQueue <- e:
		return true
	default:
		return false
	}
}

func (k *link) call(ctx context.Context, e *peerv1.Envelope) (*peerv1.Envelope, error) {
	done := make(chan *peerv1.Envelope, 1)
	k.mu.Lock()
	if k.closed {
		k.mu.Unlock()
		return nil, ErrNotSent
	}
	k.lastCallID++
	id := k.lastCallID
	k.pendingCalls[id] = done
	k.mu.Unlock()
	defer k.removeCall(id)
	e.Call = id
	if !k.enqueue(e) {
		return nil, ErrNotSent
	}
	select {
	case reply := <-done:
		if reply.Error != "" {
			return nil, Error.New("%s: %s", k.peer, reply.Error)
		}
		return reply, nil
	case <-k.ctx.Done():
		return nil, Error.New("the link to %s ended", k.peer)
	case <-ctx.Done():
		return nil, Error.Wrap(ctx.Err())
	}
}

func (k *link) removeCall(id uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.pendingCalls, id)
}

// run opens the connection, then sends and receives messages until the connection
// fails or nothing but pings was sent for idleTimeout.
func (k *link) run() {
	defer k.close()
	c, err := k.dial()
	if err != nil {
		k.linker.recordLinkLost(k, err)
		return
	}
	defer func() { _ = c.CloseNow() }()
	k.linker.updateCounts(func(c *Counts) { c.LinksOpened++ })
	k.linker.wg.Go(func() { k.readLoop(c) })
	k.writeLoop(c)
}

func (k *link) close() {
	k.cancel()
	k.linker.removeLink(k)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closed = true
}

func (k *link) dial() (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(k.ctx, k.linker.SilenceTimeout)
	defer cancel()
	header := http.Header{}
	header.Set(headerPeerKey, k.linker.PeerKey)
	header.Set(headerVM, string(k.linker.VM))
	header.Set(headerProtocol, protocolHeaderValue)
	transport := &http.Transport{DialContext: k.linker.Dialer.DialContext, TLSClientConfig: k.linker.TLS}
	c, _, err := websocket.Dial(ctx, k.linker.Scheme+"://"+k.address+Path, &websocket.DialOptions{
		HTTPHeader: header, HTTPClient: &http.Client{Transport: transport}, CompressionMode: k.linker.compressionMode(),
	})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	c.SetReadLimit(maxMessageBytes)
	return c, nil
}

func (k *link) readLoop(c *websocket.Conn) {
	defer k.cancel()
	for {
		e, err := readEnvelope(k.ctx, k.linker, k.peer, c, k.linker.SilenceTimeout)
		if err != nil {
			if k.ctx.Err() == nil {
				k.linker.recordLinkLost(k, err)
			}
			return
		}
		if e.Answer && e.Call != 0 {
			k.deliverReply(e)
		}
	}
}

func (k *link) deliverReply(e *peerv1.Envelope) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if done := k.pendingCalls[e.Call]; done != nil {
		done <- e
		delete(k.pendingCalls, e.Call)
	}
}

func (k *link) writeLoop(c *websocket.Conn) {
	ping := time.NewTicker(k.linker.PingInterval)
	defer ping.Stop()
	lastUsed := time.Now()
	for {
		var e *peerv1.Envelope
		select {
		case <-k.ctx.Done():
			return
		case e = <-k.sendQueue:
			lastUsed = time.Now()
		case <-ping.C:
			if time.Since(lastUsed) > idleTimeout {
				return
			}
			e = &peerv1.Envelope{Ping: true}
		}
		if err := writeEnvelope(k.ctx, k.linker, k.peer, c, e); err != nil {
			k.linker.recordLinkLost(k, err)
			return
		}
	}
}
