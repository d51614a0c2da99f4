package server

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"trefoilhead.org/trefoilhead/internal/piper"

	"github.com/go-kit/log"

	"trefoilhead.org/trefoilhead/internal/configurer"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/linker"
	"trefoilhead.org/trefoilhead/internal/relayer"
	"trefoilhead.org/trefoilhead/pkg/wire/peerv1"
)

// TestEachCallRequiresItsOwnKey sends each kind of call with each key. Only the
// key meant for that kind may be accepted.
func TestEachCallRequiresItsOwnKey(t *testing.T) {
	withCluster(t, 1, func(w *testCluster) {
		calls := []struct{ name, method, path, key string }{
			{"operator's call", http.MethodPost, "/trefoilhead.v1.Operator/Get", operatorKey},
			{"dump", http.MethodGet, "/dump", operatorKey},
			{"announcement", http.MethodPost, "/trefoilhead.v1.Registry/Announce", backendKey},
		}
		for _, c := range calls {
			for _, key := range []string{operatorKey, backendKey, peerKey, teamKey, ""} {
				status := w.callControl(c.method, c.path, key, "")
				if refused := status == http.StatusUnauthorized; refused == (key == c.key) {
					t.Errorf("%s with key %q got status %d", c.name, key, status)
				}
			}
		}
		for _, key := range []string{operatorKey, backendKey, teamKey, ""} {
			if status := w.callControl(http.MethodPost, relayer.PeerRequestPath, "", key); status != http.StatusUnauthorized {
				t.Errorf("a relayed request with peer key %q got status %d", key, status)
			}
			if status := w.callControl(http.MethodGet, linker.Path, "", key); status != http.StatusForbidden {
				t.Errorf("a link with peer key %q got status %d", key, status)
			}
		}
	})
}

// callControl sends a request with a bearer token and a peer key to an entry's
// control address and returns the status code.
func (w *testCluster) callControl(method, path, bearer, peer string) int {
	req, err := http.NewRequest(method, "http://entry-a-1:7002"+path, strings.NewReader("{}"))
	if err != nil {
		w.t.Fatal(err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+bearer)
	req.Header.Set("X-Trefoilhead-Peer-Key", peer)
	resp, err := w.client.Do(req)
	if err != nil {
		w.t.Fatal(err)
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// TestDumpOmitsSecrets checks that the state dump contains no key, and that its
// main sections are present.
func TestDumpOmitsSecrets(t *testing.T) {
	withCluster(t, 1, func(w *testCluster) {
		dump := string(w.entries["entry-a-1"].server.Dump())
		for _, secret := range []string{operatorKey, backendKey, peerKey, teamKey} {
			if strings.Contains(dump, secret) {
				t.Errorf("the dump contains the key %q", secret)
			}
		}
		for _, part := range []string{`"placement_view"`, `"gates"`, `"logs"`, `"chat"`, `"quorum_age"`} {
			if !strings.Contains(dump, part) {
				t.Errorf("the dump lacks %s", part)
			}
		}
	})
}

// writeCertificate creates a self-signed certificate for the loopback address and
// overwrites the files with it and its key.
func writeCertificate(t *testing.T, files configurer.TLS) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	serial, err := rand.Int(rand.Reader, big.NewInt(1<<62))
	if err != nil {
		t.Fatal(err)
	}
	tmpl := &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: "test"}, NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.ParseIP("127.0.0.1")}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
	}
	certDER, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	cert := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certDER})
	for name, data := range map[string][]byte{
		files.CertificateFile: cert, files.CAFile: cert,
		files.KeyFile: pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}),
	} {
		if err := os.WriteFile(name, data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// TestTLS runs one entry with TLS over real sockets and checks that it uses a new
// certificate that is written while it runs.
func TestTLS(t *testing.T) {
	folder := t.TempDir()
	files := configurer.TLS{
		CertificateFile: filepath.Join(folder, "crt"), KeyFile: filepath.Join(folder, "key"), CAFile: filepath.Join(folder, "ca"),
	}
	writeCertificate(t, files)
	callers, control := freeAddress(t), freeAddress(t)
	cfg := configurer.EntrySettings{
		VM: "e", Region: "r", FailureDomain: "d", CallersAddress: callers, ControlAddress: control, TLS: files,
		DataFolder: filepath.Join(folder, "data"), Peers: []configurer.Peer{{VM: "e", FailureDomain: "d", Address: control, Voter: true}},
		Keys: configurer.Keys{Operator: operatorKey, Backend: backendKey, Peer: peerKey},
	}
	cfg.Timing.ShutdownTimeout = time.Millisecond
	cfg.FillDefaults()
	s := &Server{Settings: cfg, Logger: log.NewNopLogger(), Incarnation: identifier.Incarnation(time.Now().UnixNano())}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	first := servedSerial(t, files, callers)
	writeCertificate(t, files)
	// Some file systems store modification times in whole seconds, so the two
	// files could have the same time.
	later := time.Now().Add(time.Minute)
	if err := os.Chtimes(files.CertificateFile, later, later); err != nil {
		t.Fatal(err)
	}
	if second := servedSerial(t, files, callers); first == second {
		t.Error("the old certificate is still used")
	}
	stop()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// TestSlowAndBrokenCallers sends requests that stall or break off in the middle.
// The entry must respond or close the connection within the time limit for a
// request body, and no goroutine may remain: synctest fails the test otherwise.
func TestSlowAndBrokenCallers(t *testing.T) {
	withCluster(t, 1, func(w *testCluster) {
		head := "POST /v1/chat/completions HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer " + teamKey + "\r\nContent-Length: 100\r\n\r\n"
		for _, c := range []struct {
			name, sent string
			closes     bool
		}{
			{"a sender that stops in the body", head + `{"model":`, false},
			{"a sender that stops in the header", head[:60], false},
			{"a sender that closes in the body", head + `{"model":`, true},
			{"no HTTP at all", "\x16\x03\x01 hello\r\n\r\n", false},
		} {
			conn, err := piper.Host{Network: w.network, Name: callerHost}.DialContext(context.Background(), "tcp", "entry-a-1:7001")
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.WriteString(conn, c.sent); err != nil {
				t.Fatal(err)
			}
			if c.closes {
				_ = conn.Close()
				continue
			}
			start := time.Now()
			data, _ := io.ReadAll(conn)
			_ = conn.Close()
			if took := time.Since(start); took > 70*time.Second {
				t.Errorf("%s: not disconnected for %s", c.name, took)
			}
			if strings.Contains(string(data), " 200 ") {
				t.Errorf("%s: got the successful response %q", c.name, data)
			}
		}
		w.checkComplete(w.sendChat("entry-a-1"))
	})
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// servedSerial connects to an address over TLS, trusting the current certificate
// authority file, and returns the serial number of the server's certificate.
func servedSerial(t *testing.T, files configurer.TLS, address string) string {
	t.Helper()
	for range 100 {
		c, err := loadCredentials(files)
		if err != nil {
			t.Fatal(err)
		}
		client := &http.Client{Transport: &http.Transport{TLSClientConfig: c.clientConfig(), DisableKeepAlives: true}}
		resp, err := client.Get("https://" + address + "/healthz")
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		return resp.TLS.PeerCertificates[0].SerialNumber.String()
	}
	t.Fatal("the entry did not answer over TLS")
	return ""
}

// echoPeer replies to every message with a delta whose revision is the length of
// the sender's VM id.
type echoPeer struct{}

// HandlePeerMessage implements linker.Handler.
func (echoPeer) HandlePeerMessage(_ context.Context, from identifier.VM, _ *peerv1.Envelope) (*peerv1.Envelope, error) {
	return &peerv1.Envelope{Delta: &peerv1.Delta{Revision: uint64(len(from))}}, nil
}

// TestLinkOverTLS calls a peer over TLS, and checks that a peer is not trusted if
// its certificate is signed by an unknown authority.
func TestLinkOverTLS(t *testing.T) {
	folder := t.TempDir()
	files := configurer.TLS{
		CertificateFile: filepath.Join(folder, "crt"), KeyFile: filepath.Join(folder, "key"), CAFile: filepath.Join(folder, "ca"),
	}
	writeCertificate(t, files)
	trusted, err := loadCredentials(files)
	if err != nil {
		t.Fatal(err)
	}
	address := freeAddress(t)
	newLinker := func(vm identifier.VM, c *credentials) *linker.Linker {
		return &linker.Linker{
			VM: vm, PeerKey: peerKey, PeerAddresses: map[identifier.VM]string{"a": address, "b": address}, Scheme: "wss",
			Dialer: tcpNetwork{newDialer(time.Second)}, TLS: c.clientConfig(), Handler: echoPeer{}, Logger: log.NewNopLogger(),
			PingInterval: time.Second, SilenceTimeout: 3 * time.Second,
		}
	}
	b := newLinker("b", trusted)
	mux := http.NewServeMux()
	mux.Handle(linker.Path, b)
	server := &http.Server{Addr: address, Handler: mux, TLSConfig: trusted.serverConfig()}
	go func() { _ = server.ListenAndServeTLS("", "") }()
	defer func() { _ = server.Close() }()
	defer b.Close()
	a := newLinker("a", trusted)
	defer a.Close()
	var reply *peerv1.Envelope
	for range 50 {
		if reply, err = a.Call(t.Context(), "b", &peerv1.Envelope{Pull: &peerv1.Pull{}}); err == nil {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	if err != nil || reply.GetDelta().GetRevision() != 1 {
		t.Fatalf("the call returned %v, error %v", reply, err)
	}
	otherFiles := files
	otherFiles.CAFile = filepath.Join(folder, "other_ca")
	otherFiles.CertificateFile = filepath.Join(folder, "other_crt")
	otherFiles.KeyFile = filepath.Join(folder, "other_key")
	writeCertificate(t, otherFiles)
	otherCredentials, err := loadCredentials(otherFiles)
	if err != nil {
		t.Fatal(err)
	}
	untrusting := newLinker("a", otherCredentials)
	defer untrusting.Close()
	if _, err := untrusting.Call(t.Context(), "b", &peerv1.Envelope{Pull: &peerv1.Pull{}}); err == nil {
		t.Error("a peer whose certificate is signed by an unknown authority was trusted")
	}
}
