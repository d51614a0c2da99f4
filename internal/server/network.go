package server

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"trefoilhead.org/trefoilhead/internal/acceptor"
	"trefoilhead.org/trefoilhead/internal/configurer"
	"trefoilhead.org/trefoilhead/internal/verifier"
)

// Error is the class of every error of this package.
var Error = errs.Class("server")

// tcpUserTimeoutOption is the socket option TCP_USER_TIMEOUT of Linux: how long
// sent data may stay unacknowledged before the kernel closes the connection.
const tcpUserTimeoutOption = 18

// newDialer returns a dialer whose connections are closed when the other end has
// been unreachable for about the silence timeout. What has arrived and not been read is bounded.
func newDialer(silence time.Duration) *net.Dialer {
	const probes = 3
	return &net.Dialer{
		Timeout: silence,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: time.Second, Interval: time.Second, Count: probes,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			return errors.Join(setUserTimeout(c, silence), acceptor.SetWindow(c))
		},
	}
}

// setUserTimeout sets the option TCP_USER_TIMEOUT of a socket; 0 clears it.
func setUserTimeout(c syscall.RawConn, d time.Duration) error {
	var err error
	cerr := c.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeoutOption, int(d.Milliseconds()))
	})
	if cerr != nil {
		return cerr
	}
	return err
}

// Network opens connections and listeners.
type Network interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
	Listen(ctx context.Context, network, address string) (net.Listener, error)
}

// tcpNetwork implements Network with the operating system's TCP.
type tcpNetwork struct{ *net.Dialer }

// Listen implements Network.
func (tcpNetwork) Listen(ctx context.Context, network, address string) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(ctx, network, address)
}

// NewNetwork returns a Network over TCP whose connections are closed when the
// other end has been unreachable for about the silence timeout.
func NewNetwork(silence time.Duration) Network { return tcpNetwork{newDialer(silence)} }

// Limits of the responses that this process reads as a client.
const (
	maxResponseHeaderBytes = 64 << 10
	// maxEngineResponseBytes limits the response of a backend server to an order.
	maxEngineResponseBytes = 256 << 10
)

func newTransport(d Network, c *credentials) *http.Transport {
	const (
		maxIdlePerHost  = 256
		idleConnTimeout = 30 * time.Second
	)
	return &http.Transport{
		DialContext: d.DialContext, MaxIdleConnsPerHost: maxIdlePerHost, IdleConnTimeout: idleConnTimeout,
		DisableCompression: true, TLSClientConfig: c.clientConfig(), MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

func (s *Server) listen(address string) (net.Listener, error) {
	l, err := s.Network.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return l, nil
}

// credentials are the certificate of this process and the certificate authority
// of its peers. The certificate is reloaded when its file changes. A nil
// *credentials selects connections without TLS.
type credentials struct {
	files  configurer.TLS
	caPool *x509.CertPool

	mu          sync.Mutex
	certModTime time.Time
	cert        *tls.Certificate
}

func loadCredentials(files configurer.TLS) (*credentials, error) {
	if files.CertificateFile == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(files.CAFile)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	c := &credentials{files: files, caPool: x509.NewCertPool()}
	if !c.caPool.AppendCertsFromPEM(pem) {
		return nil, Error.New("%s holds no certificate", files.CAFile)
	}
	_, err = c.currentCertificate()
	return c, err
}

func (c *credentials) currentCertificate() (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	info, err := os.Stat(c.files.CertificateFile)
	if err == nil && c.cert != nil && info.ModTime().Equal(c.certModTime) {
		return c.cert, nil
	}
	cert, err := tls.LoadX509KeyPair(c.files.CertificateFile, c.files.KeyFile)
	if err != nil {
		if c.cert != nil {
			// The file may be partly written: keep the old certificate, so that
			// the listener goes on accepting connections.
			return c.cert, nil
		}
		return nil, Error.Wrap(err)
	}
	if info != nil {
		c.certModTime = info.ModTime()
	}
	c.cert = &cert
	return c.cert, nil
}

func (c *credentials) serverConfig() *tls.Config {
	if c == nil {
		return nil
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.currentCertificate() },
	}
}

func (c *credentials) clientConfig() *tls.Config {
	if c == nil {
		return nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: c.caPool}
}

// scheme returns the URL scheme plain, or its TLS variant if TLS is used.
func (c *credentials) scheme(plain string) string {
	if c == nil {
		return plain
	}
	return plain + "s"
}

// newBackendClient returns the client for requests to backend servers. Each request has a
// connection of its own: responses name no request, so a second copy of one that arrives
// late on a reused connection would be taken for the response to the next request.
func newBackendClient(d Network, c *credentials) *http.Client {
	t := newTransport(d, c)
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		return DialBackend(ctx, d, network, address)
	}
	t.DisableKeepAlives = true
	return verifier.NewClient(t)
}

// DialBackend opens a connection to a backend server without TCP_USER_TIMEOUT: the kernel would
// also close the connection of a server that does not read a large request for that long, though
// the other end acknowledges all probes. Keep-alive probes find a dead server once the request has
// been acknowledged.
func DialBackend(ctx context.Context, d Network, network, address string) (net.Conn, error) {
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn, nil
	}
	raw, err := tcp.SyscallConn()
	if err == nil {
		err = setUserTimeout(raw, 0)
	}
	if err != nil {
		_ = conn.Close()
		return nil, Error.Wrap(err)
	}
	return conn, nil
}
