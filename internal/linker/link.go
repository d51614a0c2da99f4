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

var protocolText = strconv.Itoa(ProtocolVersion)

// link is the opening end of a connection to one peer.
type link struct {
	linker  *Linker
	to      identifier.VM
	address string
	ctx     context.Context
	cancel  context.CancelFunc
	out     chan *peerv1.Envelope

	mu    sync.Mutex
	last  uint64
	calls map[uint64]chan *peerv1.Envelope
	ended bool
}

func newLink(l *Linker, to identifier.VM, address string) *link {
	ctx, cancel := context.WithCancel(context.Background())
	return &link{
		linker: l, to: to, address: address, ctx: ctx, cancel: cancel,
		out: make(chan *peerv1.Envelope, sendQueue), calls: map[uint64]chan *peerv1.Envelope{},
	}
}

func (k *link) queue(e *peerv1.Envelope) bool {
	select {
	case k.out <- e:
		return true
	default:
		return false
	}
}

func (k *link) call(ctx context.Context, e *peerv1.Envelope) (*peerv1.Envelope, error) {
	done := make(chan *peerv1.Envelope, 1)
	k.mu.Lock()
	if k.ended {
		k.mu.Unlock()
		return nil, ErrNotSent
	}
	k.last++
	id := k.last
	k.calls[id] = done
	k.mu.Unlock()
	defer k.dropCall(id)
	e.Call = id
	if !k.queue(e) {
		return nil, ErrNotSent
	}
	select {
	case answer := <-done:
		if answer.Error != "" {
			return nil, Error.New("%s: %s", k.to, answer.Error)
		}
		return answer, nil
	case <-k.ctx.Done():
		return nil, Error.New("the link to %s ended", k.to)
	case <-ctx.Done():
		return nil, Error.Wrap(ctx.Err())
	}
}

func (k *link) dropCall(id uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.calls, id)
}

// run opens the connection and serves it until it fails or is idle.
func (k *link) run() {
	defer k.end()
	c, err := k.dial()
	if err != nil {
		k.linker.logLost(k, err)
		return
	}
	defer func() { _ = c.CloseNow() }()
	k.linker.count(func(c *Counts) { c.LinksOpened++ })
	k.linker.wg.Go(func() { k.readAll(c) })
	k.writeAll(c)
}

func (k *link) end() {
	k.cancel()
	k.linker.forget(k)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ended = true
}

func (k *link) dial() (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(k.ctx, k.linker.SilenceTimeout)
	defer cancel()
	header := http.Header{}
	header.Set(headerKey, k.linker.PeerKey)
	header.Set(headerVM, string(k.linker.VM))
	header.Set(headerProtocol, protocolText)
	transport := &http.Transport{DialContext: k.linker.Dialer.DialContext, TLSClientConfig: k.linker.TLS}
	c, _, err := websocket.Dial(ctx, k.linker.Scheme+"://"+k.address+Path, &websocket.DialOptions{
		HTTPHeader: header, HTTPClient: &http.Client{Transport: transport},
	})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	c.SetReadLimit(maxMessageBytes)
	return c, nil
}

func (k *link) readAll(c *websocket.Conn) {
	defer k.cancel()
	for {
		e, err := readEnvelope(k.ctx, k.linker, c, k.linker.SilenceTimeout)
		if err != nil {
			if k.ctx.Err() == nil {
				k.linker.logLost(k, err)
			}
			return
		}
		if e.Answer && e.Call != 0 {
			k.finish(e)
		}
	}
}

func (k *link) finish(e *peerv1.Envelope) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if done := k.calls[e.Call]; done != nil {
		done <- e
		delete(k.calls, e.Call)
	}
}

func (k *link) writeAll(c *websocket.Conn) {
	ping := time.NewTicker(k.linker.HeartbeatInterval)
	defer ping.Stop()
	used := time.Now()
	for {
		var e *peerv1.Envelope
		select {
		case <-k.ctx.Done():
			return
		case e = <-k.out:
			used = time.Now()
		case <-ping.C:
			if time.Since(used) > idleTime {
				return
			}
			e = &peerv1.Envelope{Ping: true}
		}
		if err := writeEnvelope(k.ctx, k.linker, c, e); err != nil {
			k.linker.logLost(k, err)
			return
		}
	}
}
