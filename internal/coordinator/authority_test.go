package coordinator

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"trefoilhead.org/trefoilhead/internal/configurer"
	"trefoilhead.org/trefoilhead/internal/grouper"
)

// countingSender counts the orders that it is given.
type countingSender struct{ orders int }

func (s *countingSender) SendOrder(context.Context, grouper.Order) grouper.Reply {
	s.orders++
	return grouper.Reply{}
}

// TestNoOrderAfterAuthorityHasRunOut guards against a process that is paused between its
// decision and the order, and sends the order when another process may lead.
func TestNoOrderAfterAuthorityHasRunOut(t *testing.T) {
	sender := &countingSender{}
	set := configurer.NodeSettings{VM: "a", PeerAddress: "a:7", Seeds: []string{"a:8"}, FirstStart: true, DataFolder: t.TempDir()}
	set.FillDefaults()
	c := &Coordinator{
		Settings: set, Logger: log.NewNopLogger(), OrderSender: sender, Metrics: metrics.NewRegistry(),
		Elapsed: func() time.Duration { return time.Hour },
	}
	c.Init()
	c.sendOrder(context.Background(), 1, grouper.Order{Server: "i-1"})
	if sender.orders > 0 {
		t.Error("an order was sent without placement authority")
	}
}
