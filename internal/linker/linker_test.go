package linker

import (
	"context"
	"net"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/pkg/wire/peerv1"
)

// echoHandler replies to each message with the same message.
type echoHandler struct{}

func (echoHandler) HandlePeerMessage(_ context.Context, _ identifier.VM, e *peerv1.Envelope) (*peerv1.Envelope, error) {
	return &peerv1.Envelope{CoreHello: e.GetCoreHello()}, nil
}

// countingDialer counts the bytes that are sent and received.
type countingDialer struct{ bytes atomic.Int64 }

func (d *countingDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	return &countingConn{c, d}, err
}

type countingConn struct {
	net.Conn
	dialer *countingDialer
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.dialer.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.dialer.bytes.Add(int64(n))
	return n, err
}

// TestCompressionNeedsBothEnds checks that links work whichever end compresses, as while
// processes of an older version are replaced, and save bytes if both do.
func TestCompressionNeedsBothEnds(t *testing.T) {
	const servers = 200
	hello := &peerv1.CoreHello{}
	for range servers {
		hello.Doubts = append(hello.Doubts, &peerv1.ServerDoubt{Id: "i-0a16b1f857", AnsweredAgoMs: 1200})
	}
	bytesOn := func(opener, accepter bool) int64 {
		accepting := &Linker{
			VM: "b", PeerKey: "k", PeerAddresses: map[identifier.VM]string{"a": ""}, Scheme: "ws", Handler: echoHandler{}, Logger: log.NewNopLogger(),
			PingInterval: time.Second, SilenceTimeout: 5 * time.Second, Compress: accepter,
		}
		s := httptest.NewServer(accepting)
		defer s.Close()
		defer accepting.Close()
		d := &countingDialer{}
		opening := &Linker{
			VM: "a", PeerKey: "k", PeerAddresses: map[identifier.VM]string{"b": s.Listener.Addr().String()}, Scheme: "ws", Dialer: d,
			Handler: echoHandler{}, Logger: log.NewNopLogger(), PingInterval: time.Second, SilenceTimeout: 5 * time.Second, Compress: opener,
		}
		defer opening.Close()
		got, err := opening.Call(context.Background(), "b", &peerv1.Envelope{CoreHello: hello})
		if err != nil || len(got.GetCoreHello().GetDoubts()) != servers {
			t.Fatalf("opener compresses %v, accepter %v: %d servers, error %v", opener, accepter, len(got.GetCoreHello().GetDoubts()), err)
		}
		return d.bytes.Load()
	}
	plain, both := bytesOn(false, false), bytesOn(true, true)
	if both > plain/4 {
		t.Errorf("%d bytes with compression, %d without", both, plain)
	}
	for _, mixed := range []int64{bytesOn(true, false), bytesOn(false, true)} {
		if mixed < plain/2 {
			t.Errorf("%d bytes on a link of which one end does not compress, %d without compression", mixed, plain)
		}
	}
}
