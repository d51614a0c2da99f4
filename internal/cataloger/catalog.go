// Package cataloger holds what operators publish as one piece: routes, services,
// teams and limits, under a version that they choose.
//
// A Catalog is read-only once Index has been called. It answers the two
// questions that every request asks: which route it takes and whose key it
// carries.
package cataloger

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"trefoilhead.org/trefoilhead/internal/identifier"
)

// Error is the class of every error of this package.
var Error = errs.Class("catalog")

// Version numbers catalogs. The highest one is in force.
type Version uint64

// Kind tells what may be done with a request of a route.
type Kind int

// Kinds of route.
const (
	// NonIdempotent may run at most once.
	NonIdempotent Kind = iota
	// Idempotent may run more than once.
	Idempotent
	// Stream is answered by a series of events.
	Stream
)

// String returns the kind in lower case.
func (k Kind) String() string {
	switch k {
	case NonIdempotent:
		return "once"
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	}
	return fmt.Sprintf("kind_%d", int(k))
}

// Target is one service of a route and its share of the route's requests.
type Target struct {
	Service identifier.Service
	Weight  int
}

// Route says where the requests of one host and path prefix go.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration
	// LatencyObjective is the time to the answer, or to the first event of a stream,
	// within which the answer is worth most.
	LatencyObjective time.Duration
	// GapObjective is the longest pause between two events of a stream that is
	// on time.
	GapObjective time.Duration
	// Priority is 0 for the most urgent requests.
	Priority int
	Targets  []Target
	// MaxAttempts is the number of backend servers that may get one request.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another backend server.
	Resumable bool
}

// Retryable reports whether a request may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Model is one model of an engine service.
type Model struct {
	Name string
	// GroupSize is the number of VMs of a replica group.
	GroupSize int
	// TimeFactor multiplies every time of the engine.
	TimeFactor float64
	// DeclaredShare is the model's part of the service's work at first.
	DeclaredShare float64
	// LoadTime is the time to load the weights from the store, Warm the time to
	// join when they are on the VM.
	LoadTime      time.Duration
	WarmStartTime time.Duration
}

// Engine describes how the backend servers of a service run models.
type Engine struct {
	// Slots is the number of requests that a group runs at once.
	Slots int
	// StepsPerPass is the number of token steps in one pass, and of tokens in one
	// event.
	StepsPerPass int
	// StepTime is the time of one token step; PerRequest is added for each request
	// that writes, and PerThousandTokens for each thousand tokens of its context.
	StepTime                  time.Duration
	StepTimePerRequest        time.Duration
	StepTimePerThousandTokens time.Duration
	// PrefillTokensPerSecond is the number of prompt tokens read in a second.
	PrefillTokensPerSecond float64
	// PrefillChunk is the most prompt tokens read in one token step, 0 if not declared.
	PrefillChunk int
	// MaxLoadsPerSecond is the most loads from the weight store that may start in
	// a second, LoadsAtOnce the number that run at full speed.
	MaxLoadsPerSecond float64
	FullSpeedLoads    int
	Models            []Model
	// MeanAnswerTokens is the mean number of tokens of an answer.
	MeanAnswerTokens int
}

// Model returns the model of a name.
func (e *Engine) Model(name string) (Model, bool) {
	for _, m := range e.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// Service describes the backend servers of one service.
type Service struct {
	Name identifier.Service
	// MaxConnections bounds the connections to one backend server from all
	// entry VMs together.
	MaxConnections int
	// ColdRequestsPerSecond is the number of requests a second that a cold backend
	// server bears; 0 means that it is never cold.
	ColdRequestsPerSecond float64
	// Engine is nil for a plain service.
	Engine *Engine
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Team is a group of callers that share keys.
type Team struct {
	Name     identifier.Team
	Keys     []string
	Priority int
}

// Catalog is everything at one version.
type Catalog struct {
	Version  Version
	Routes   []Route
	Services []Service
	Limits   Limits
	Teams    []Team

	hosts    map[string][]*Route
	keys     map[string]*Team
	services map[identifier.Service]*Service
}

// Index checks the catalog and prepares its look-ups. The error lists every
// finding.
func (c *Catalog) Index() error {
	var found []string
	add := func(format string, args ...any) { found = append(found, fmt.Sprintf(format, args...)) }
	if c.Version == 0 {
		add("version: has to be above 0")
	}
	c.services = map[identifier.Service]*Service{}
	for i := range c.Services {
		s := &c.Services[i]
		if s.Name == "" {
			add("service %d: has no name", i)
		}
		if c.services[s.Name] != nil {
			add("service %q: is listed twice", s.Name)
		}
		c.services[s.Name] = s
	}
	c.hosts = map[string][]*Route{}
	for i := range c.Routes {
		c.indexRoute(&c.Routes[i], add)
	}
	c.keys = map[string]*Team{}
	for i := range c.Teams {
		t := &c.Teams[i]
		for _, k := range t.Keys {
			if other := c.keys[k]; other != nil && other.Name != t.Name {
				add("team %q: shares a key with team %q", t.Name, other.Name)
			}
			c.keys[k] = t
		}
	}
	if len(found) > 0 {
		return Error.New("%s", strings.Join(found, "; "))
	}
	return nil
}

func (c *Catalog) indexRoute(r *Route, add func(string, ...any)) {
	place := r.Host + r.PathPrefix
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		add("route %q: the prefix %q does not begin and end with a slash", r.Name, r.PathPrefix)
	}
	if r.Timeout <= 0 {
		add("route %q: the timeout has to be above 0", r.Name)
	}
	sum := 0
	for _, t := range r.Targets {
		if c.services[t.Service] == nil {
			add("route %q: the service %q is not listed", r.Name, t.Service)
		}
		if t.Weight < 0 {
			add("route %q: the weight of %q is below 0", r.Name, t.Service)
		}
		sum += max(t.Weight, 0)
	}
	if sum == 0 {
		add("route %q: its weights add up to 0", r.Name)
	}
	host := strings.ToLower(r.Host)
	i, taken := slices.BinarySearchFunc(c.hosts[host], r.PathPrefix, func(o *Route, prefix string) int {
		// Longer prefixes first, so that the first match is the longest.
		return cmp.Or(cmp.Compare(len(prefix), len(o.PathPrefix)), strings.Compare(o.PathPrefix, prefix))
	})
	if taken {
		add("route %q: another route has %q", r.Name, place)
		return
	}
	c.hosts[host] = slices.Insert(c.hosts[host], i, r)
}

// Route returns the route of a host and path, or nil. The longest prefix wins.
func (c *Catalog) Route(host, path string) *Route {
	for _, r := range c.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// TeamByKey returns the team that holds a key, or nil.
func (c *Catalog) TeamByKey(key string) *Team { return c.keys[key] }

// RequiresKeys reports whether requests need keys at all.
func (c *Catalog) RequiresKeys() bool { return len(c.Teams) > 0 }

// Service returns a service by its name, or nil.
func (c *Catalog) Service(name identifier.Service) *Service { return c.services[name] }

// PrefillTime is the time in which a group of a model reads that many prompt tokens.
func (e *Engine) PrefillTime(m Model, tokens int) time.Duration {
	if e.PrefillTokensPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / e.PrefillTokensPerSecond * m.TimeFactor * float64(time.Second))
}

// usualContext is the context of one request, in thousand tokens, for estimates.
const usualContext = 1.5

// PassTime is the time of one pass of a group of a model that writes n answers and
// reads nothing.
func (e *Engine) PassTime(m Model, n int) time.Duration {
	perRequest := e.StepTimePerRequest + time.Duration(usualContext*float64(e.StepTimePerThousandTokens))
	step := float64(e.StepTime) + float64(n)*float64(perRequest)
	return time.Duration(step * float64(e.StepsPerPass) * m.TimeFactor)
}

// MaxPassTime is the time of a pass of a group that writes all the answers and
// reads all the prompts that it can, 0 if that is not known.
func (e *Engine) MaxPassTime(m Model) time.Duration {
	if e.PrefillChunk <= 0 {
		return 0
	}
	return e.PassTime(m, e.Slots) + e.PrefillTime(m, e.StepsPerPass*e.PrefillChunk)
}

// EstimateTime estimates the engine time of a request: reading its prompt, and its part
// of the passes that write its answer while all places are taken.
func (e *Engine) EstimateTime(model string, prompt, answer int) time.Duration {
	m, ok := e.Model(model)
	if !ok || e.PrefillTokensPerSecond <= 0 || e.Slots <= 0 {
		return 0
	}
	if answer <= 0 {
		answer = e.MeanAnswerTokens
	}
	step := float64(e.StepTime)/float64(e.Slots) + float64(e.StepTimePerRequest) + usualContext*float64(e.StepTimePerThousandTokens)
	return e.PrefillTime(m, prompt) + time.Duration(float64(answer)*step*m.TimeFactor)
}
