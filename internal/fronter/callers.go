package fronter

import (
	"net/http"

	"trefoilhead.org/trefoilhead/internal/acceptor"
	"trefoilhead.org/trefoilhead/internal/budgeter"
	"trefoilhead.org/trefoilhead/internal/cataloger"
	"trefoilhead.org/trefoilhead/internal/forwarder"
)

// newCallerServer returns the server for callers. Its limits are those of the catalog, which can change while connections are
// open. The caller may set more fields before Init.
func newCallerServer(h http.Handler, limits func() cataloger.Limits) *acceptor.Server {
	return &acceptor.Server{
		Handler: h, Name: "callers", ConnContext: forwarder.ConnContext,
		Limits: func() acceptor.Limits {
			l := limits()
			return acceptor.Limits{HeadBytes: l.MaxHeaderBytes, HeadTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout}
		},
	}
}

// newSmallServer returns a server for a listener of this process that few clients use.
func (f *Front) newSmallServer(name string, h http.Handler) *acceptor.Server {
	s := &acceptor.Server{
		Handler: h, Name: name, MaxConnections: acceptor.SmallListenerConnections, Logger: f.Logger, Metrics: f.Metrics,
		Memory: &budgeter.Budget{Limit: acceptor.SmallListenerMemory},
		Limits: func() acceptor.Limits {
			return acceptor.Limits{HeadBytes: smallHeadBytes, HeadTimeout: linkSilenceTimeout}
		},
	}
	s.Init()
	return s
}
