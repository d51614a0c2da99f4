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

// TestEachCallRequiresItsOwnKey tries each credential on each kind of call.
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
			if status := w.callControl(http.MethodPost, relayer.HopPath, "", key); status != http.StatusUnauthorized {
				t.Errorf("a relayed request with peer key %q got status %d", key, status)
			}
			if status := w.callControl(http.MethodGet, linker.Path, "", key); status != http.StatusForbidden {
				t.Errorf("a link with peer key %q got status %d", key, status)
			}
		}
	})
}

// callControl makes a call to a control address with a bearer key and a peer key.
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

// TestDumpOmitsSecrets looks for every key in the state dump.
func TestDumpOmitsSecrets(t *testing.T) {
	withCluster(t, 1, func(w *testCluster) {
		dump := string(w.entries["entry-a-1"].server.Dump())
		for _, secret := range []string{operatorKey, backendKey, peerKey, teamKey} {
			if strings.Contains(dump, secret) {
				t.Errorf("the dump holds the key %q", secret)
			}
		}
		for _, part := range []string{`"placement_view"`, `"gates"`, `"logs"`, `"chat"`, `"quorum_age"`} {
			if !strings.Contains(dump, part) {
				t.Errorf("the dump lacks %s", part)
			}
		}
	})
}

// writeCertificate writes a new certificate for the loopback address, signed by
// itself, over the files.
func writeCertificate(t *testing.T, set configurer.TLS) {
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
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	der8, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	cert := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	for name, data := range map[string][]byte{
		set.CertificateFile: cert, set.AuthorityFile: cert,
		set.KeyFile: pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der8}),
	} {
		if err := os.WriteFile(name, data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// TestTLS runs one entry with TLS over real sockets and replaces its
// certificate while it runs.
func TestTLS(t *testing.T) {
	folder := t.TempDir()
	files := configurer.TLS{
		CertificateFile: filepath.Join(folder, "crt"), KeyFile: filepath.Join(folder, "key"), AuthorityFile: filepath.Join(folder, "ca"),
	}
	writeCertificate(t, files)
	callers, control := freeAddress(t), freeAddress(t)
	set := configurer.Settings{
		VM: "e", Region: "r", FailureDomain: "d", CallersAddress: callers, ControlAddress: control, TLS: files,
		DataFolder: filepath.Join(folder, "data"), Peers: []configurer.Peer{{VM: "e", FailureDomain: "d", Address: control, Voter: true}},
		Keys: configurer.Keys{Operator: operatorKey, Backend: backendKey, Peer: peerKey},
	}
	set.Timing.Shutdown = time.Millisecond
	set.FillDefaults()
	s := &Server{Settings: set, Logger: log.NewNopLogger(), Incarnation: identifier.Incarnation(time.Now().UnixNano())}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	first := servedSerial(t, files, callers)
	writeCertificate(t, files)
	// Some file systems keep times to the second only.
	later := time.Now().Add(time.Minute)
	if err := os.Chtimes(files.CertificateFile, later, later); err != nil {
		t.Fatal(err)
	}
	if second := servedSerial(t, files, callers); first == second {
		t.Error("the new certificate is not used")
	}
	stop()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// TestSlowAndBrokenCallers sends requests that never end, or end in the middle.
// Each gets an answer or a close within the bound for a body, and the bubble
// ends without a goroutine left.
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
			conn, err := piper.Host{Net: w.network, Name: callerHost}.DialContext(context.Background(), "tcp", "entry-a-1:7001")
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
			answer, _ := io.ReadAll(conn)
			_ = conn.Close()
			if took := time.Since(start); took > 70*time.Second {
				t.Errorf("%s: held for %s", c.name, took)
			}
			if strings.Contains(string(answer), " 200 ") {
				t.Errorf("%s: answered %q", c.name, answer)
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

// servedSerial asks an address over TLS, trusting the authority's file as it is
// now, and returns the serial number of the certificate it shows.
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

// echoPeer answers every pull.
type echoPeer struct{}

// HandlePeer implements linker.Handler.
func (echoPeer) HandlePeer(_ context.Context, from identifier.VM, _ *peerv1.Envelope) (*peerv1.Envelope, error) {
	return &peerv1.Envelope{Delta: &peerv1.Delta{Revision: uint64(len(from))}}, nil
}

// TestLinkOverTLS calls a peer over TLS, and requires that a certificate of an
// unknown authority is refused.
func TestLinkOverTLS(t *testing.T) {
	folder := t.TempDir()
	files := configurer.TLS{
		CertificateFile: filepath.Join(folder, "crt"), KeyFile: filepath.Join(folder, "key"), AuthorityFile: filepath.Join(folder, "ca"),
	}
	writeCertificate(t, files)
	trusted, err := loadCredentials(files)
	if err != nil {
		t.Fatal(err)
	}
	address := freeAddress(t)
	newLinker := func(vm identifier.VM, c *credentials) *linker.Linker {
		return &linker.Linker{
			VM: vm, Key: peerKey, Addresses: map[identifier.VM]string{"a": address, "b": address}, Scheme: "wss",
			Dialer: tcpNetwork{newDialer(time.Second)}, TLS: c.clientConfig(), Handler: echoPeer{}, Logger: log.NewNopLogger(),
			Heartbeat: time.Second, Silence: 3 * time.Second,
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
	var answer *peerv1.Envelope
	for range 50 {
		if answer, err = a.Call(t.Context(), "b", &peerv1.Envelope{Pull: &peerv1.Pull{}}); err == nil {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	if err != nil || answer.GetDelta().GetRevision() != 1 {
		t.Fatalf("the call got %v, error %v", answer, err)
	}
	strange := files
	strange.AuthorityFile = filepath.Join(folder, "other_ca")
	strange.CertificateFile = filepath.Join(folder, "other_crt")
	strange.KeyFile = filepath.Join(folder, "other_key")
	writeCertificate(t, strange)
	other, err := loadCredentials(strange)
	if err != nil {
		t.Fatal(err)
	}
	stranger := newLinker("a", other)
	defer stranger.Close()
	if _, err := stranger.Call(t.Context(), "b", &peerv1.Envelope{Pull: &peerv1.Pull{}}); err == nil {
		t.Error("a peer with a certificate of an unknown authority was trusted")
	}
}
