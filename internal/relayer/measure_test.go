package relayer

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"trefoilhead.org/trefoilhead/internal/declarer"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/locator"
	"trefoilhead.org/trefoilhead/internal/recorder"
	"trefoilhead.org/trefoilhead/internal/refuser"
	"trefoilhead.org/trefoilhead/internal/router"
	"trefoilhead.org/trefoilhead/internal/timekeeper"
	"trefoilhead.org/trefoilhead/internal/verifier"
	"trefoilhead.org/trefoilhead/pkg/wire/peerv1"
)

// measure enables the measurements over real sockets, which print their results.
var measure = flag.Bool("measure", false, "run the measurements over the loopback interface")

const (
	benchTokenCount = 64
	benchKey        = "bench-key"
	benchBody       = `{"model":"chat","stream":true,"max_tokens":64,"messages":[{"role":"user","content":"hello"}]}`
)

var benchTokenEvent = []byte(`data: {"id":"x","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"token "},"finish_reason":null}]}` + "\n\n")

// newBenchServer returns a backend server that streams benchTokenCount tokens with a
// pause after each.
func newBenchServer(pause time.Duration) *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		rc := http.NewResponseController(w)
		for range benchTokenCount {
			_, _ = w.Write(benchTokenEvent)
			_ = rc.Flush()
			time.Sleep(pause)
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	}))
}

// newBenchRelayer returns an entry that owns one group, the backend server at address.
func newBenchRelayer(address string) *httptest.Server {
	sum := sha256.Sum256([]byte(benchKey))
	declarations := declarer.Declarations{
		Services: []declarer.Service{{ID: "chat", Kind: declarer.ModelService}},
		Teams:    []declarer.Team{{ID: "team", KeySHA256: hex.EncodeToString(sum[:]), Weight: 1}},
	}
	l := &locator.Locator{VM: "e", Domain: "d", ExclusiveOwnershipTimeout: time.Hour, MaxDigestAge: time.Hour}
	l.SetConfig(recorder.View{Objects: declarations.Objects()})
	l.SetView(time.Now(), &peerv1.PlacementView{Full: true, Epoch: 1, Groups: []*peerv1.GroupView{{
		Id: "chat/d/1.1", Service: "chat", Address: address, Serving: true, Owner: "e", FirstOwner: true,
		Concurrency: 1 << 20, ColdConcurrency: 1 << 20, Members: []string{"v"}, Limit: 1 << 20,
	}}})
	client := verifier.NewClient(&http.Transport{MaxIdleConnsPerHost: 1024, MaxResponseHeaderBytes: 64 << 10})
	limits := Limits{MaxQueueWait: time.Minute, FirstTokenTimeout: time.Minute, InterTokenTimeout: time.Minute, MaxQueueLength: 1 << 20, MaxBodyBytes: 1 << 20}
	t := &Relayer{
		VM: "e", Locator: l, Limits: limits, CheckReady: func() *refuser.Refusal { return nil },
		Policy: &router.PrefixAffinity{MaxRelativeLoad: 1.25},
		Owner: &Owner{
			Locator: l, Client: client, Limits: limits,
			HasLostMember:   func(time.Time, []identifier.VM) bool { return false },
			RunningRequests: func(time.Time, identifier.VM) (uint32, bool) { return 0, false },
		},
		PeerClient: &PeerClient{}, Entries: 1, Elapsed: timekeeper.SinceBoot,
	}
	t.Init()
	mux := http.NewServeMux()
	t.RegisterHandlers(mux)
	return httptest.NewServer(mux)
}

// newBareProxy returns a minimal proxy for comparison, which copies and flushes the
// response and checks nothing.
func newBareProxy(address string) *httptest.Server {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		req, err := http.NewRequestWithContext(r.Context(), r.Method, address+r.URL.Path, r.Body)
		if err != nil {
			return
		}
		resp, err := client.Do(req)
		if err != nil {
			return
		}
		defer func() { _ = resp.Body.Close() }()
		rc := http.NewResponseController(w)
		buf := make([]byte, 8<<10)
		for {
			n, err := resp.Body.Read(buf)
			if n > 0 {
				_, _ = w.Write(buf[:n])
				_ = rc.Flush()
			}
			if err != nil {
				return
			}
		}
	}))
}

func measureRequest(client *http.Client, url string) (time.Duration, error) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url+chatPath, strings.NewReader(benchBody))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+benchKey)
	start := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	var buf [1]byte
	_, err = io.ReadFull(resp.Body, buf[:])
	firstByteTime := time.Since(start)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	return firstByteTime, err
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// TestMeasureRelay measures the cost of an entry compared with calling the backend
// server directly. Caller, entry and backend server run in this process, so the
// difference between two lines is the cost of the component between them.
func TestMeasureRelay(t *testing.T) {
	if !*measure {
		t.Skip("a measurement; run with -measure")
	}
	backend := newBenchServer(2 * time.Millisecond)
	defer backend.Close()
	proxy := newBareProxy(backend.URL)
	defer proxy.Close()
	relayer := newBenchRelayer(backend.URL)
	defer relayer.Close()
	for _, streams := range []int{1, 64, 512} {
		for _, target := range []struct{ name, url string }{{"direct", backend.URL}, {"bare", proxy.URL}, {"trefoilhead", relayer.URL}} {
			requests := max(20, 6*streams)
			firstByteTimes, cpu, allocs := measureStreams(t, target.url, streams, requests)
			fmt.Printf("%3d streams %-11s first byte p50 %8v p95 %8v  processor time %6.1f us per token, %5.2f ms per request, %5.1f allocations per token\n",
				streams, target.name, firstByteTimes[len(firstByteTimes)/2].Round(10*time.Microsecond), firstByteTimes[len(firstByteTimes)*95/100].Round(10*time.Microsecond),
				float64(cpu.Microseconds())/float64(requests*benchTokenCount), cpu.Seconds()*1000/float64(requests),
				float64(allocs)/float64(requests*benchTokenCount))
		}
	}
	measureMemory(t)
}

func measureStreams(t *testing.T, url string, streams, requests int) ([]time.Duration, time.Duration, uint64) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams}}
	defer client.CloseIdleConnections()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpu := cpuTime()
	var mu sync.Mutex
	var firstByteTimes []time.Duration
	var wg sync.WaitGroup
	for range streams {
		wg.Go(func() {
			for range requests / streams {
				firstByteTime, err := measureRequest(client, url)
				mu.Lock()
				if err != nil {
					t.Error(err)
				}
				firstByteTimes = append(firstByteTimes, firstByteTime)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	cpu = cpuTime() - cpu
	runtime.ReadMemStats(&after)
	slices.Sort(firstByteTimes)
	return firstByteTimes, cpu, after.Mallocs - before.Mallocs
}

// measureMemory measures the memory per open stream, with and without an entry between
// caller and backend server.
func measureMemory(t *testing.T) {
	t.Helper()
	const streams = 1000
	backend := newBenchServer(100 * time.Millisecond)
	defer backend.Close()
	relayer := newBenchRelayer(backend.URL)
	defer relayer.Close()
	for _, target := range []struct{ name, url string }{{"direct", backend.URL}, {"trefoilhead", relayer.URL}} {
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams}}
		before := memoryInUse()
		var wg sync.WaitGroup
		for range streams {
			wg.Go(func() {
				if _, err := measureRequest(client, target.url); err != nil {
					t.Error(err)
				}
			})
		}
		time.Sleep(3 * time.Second)
		during := memoryInUse()
		wg.Wait()
		client.CloseIdleConnections()
		fmt.Printf("%d open streams %-11s %.1f KiB each\n", streams, target.name, float64(during-before)/1024/streams)
	}
}

func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
