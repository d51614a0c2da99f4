package budgeter

import (
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"
)

// client is a client that sends size bytes and then nothing, until its memory is reclaimed.
type client struct {
	account   *Account
	size      int
	reclaimed chan struct{}
}

var errReclaimed = errors.New("reclaimed")

func newClient(b *Budget, size int) *client {
	return &client{account: &Account{Budget: b}, size: size, reclaimed: make(chan struct{})}
}

// Read implements io.Reader.
func (c *client) Read(p []byte) (int, error) {
	if c.size == 0 {
		<-c.reclaimed
		return 0, errReclaimed
	}
	n := min(len(p), c.size)
	c.size -= n
	c.account.Progress(n)
	return n, nil
}

// run reads what the client sends, and releases it once it has been reclaimed.
func (c *client) run(length int64) {
	c.account.Await(func() { close(c.reclaimed) })
	if _, reserved, err := c.account.ReadAll(c, length); !reserved || errors.Is(err, errReclaimed) {
		c.account.EndAwait()
		c.account.Release()
	}
}

// TestStalledClientsGiveMemoryBack guards against a budget that clients hold by stopping short of their end.
func TestStalledClientsGiveMemoryBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 256 << 10
		b := &Budget{Limit: 4 << 20}
		var clients []*client
		for range 30 {
			c := newClient(b, size-1)
			clients = append(clients, c)
			go c.run(size)
		}
		time.Sleep(time.Second)
		if !(&Account{Budget: b}).Grow(1 << 20) {
			t.Errorf("no memory for another client; %d of %d bytes are reserved", b.Used(), b.Limit)
		}
		if n := b.Reclaimed(); n == 0 || n > 5 {
			t.Errorf("%d clients were reclaimed", n)
		}
		for _, c := range clients {
			select {
			case <-c.reclaimed:
			default:
				close(c.reclaimed)
			}
		}
	})
}

// TestSteadyClientsKeepMemory checks that a client at the minimum rate is not reclaimed, and that nothing is reclaimed if that
// would not be enough.
func TestSteadyClientsKeepMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &Budget{Limit: 1 << 20}
		steady, stalled := &Account{Budget: b}, &Account{Budget: b}
		for _, a := range []*Account{steady, stalled} {
			a.Await(func() { t.Error("a client was reclaimed") })
		}
		if !steady.Grow(700<<10) || !stalled.Grow(100<<10) {
			t.Fatal("the budget is too small")
		}
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			steady.Progress(minRate / 10)
			if (&Account{Budget: b}).Grow(600 << 10) {
				t.Fatal("the budget was exceeded")
			}
		}
	})
}

// TestAnnouncedBytesAreNotReserved checks that a length reserves nothing before its bytes come.
func TestAnnouncedBytesAreNotReserved(t *testing.T) {
	b := &Budget{Limit: 1 << 20}
	a := &Account{Budget: b}
	r, w := io.Pipe()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _, _ = a.ReadAll(r, 1<<19)
	}()
	if _, err := w.Write(make([]byte, firstRead/2)); err != nil {
		t.Fatal(err)
	}
	if used := b.Used(); used > firstRead {
		t.Errorf("%d bytes are reserved", used)
	}
	_ = w.Close()
	<-done
}
