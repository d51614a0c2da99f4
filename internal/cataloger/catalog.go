// Package cataloger holds the configuration that operators publish as one unit:
// routes, services, teams and limits, with a version number that they choose.
//
// A Catalog is read-only once Index has been called. Each request looks up two
// things in it: the route that matches the request, and the team that its key
// belongs to.
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

// Version is the version number of a catalog. The highest version is in force.
type Version uint64

// Kind says whether requests of a route may be retried, and in which form their
// responses come.
type Kind int

// Kinds of routes.
const (
	// NonIdempotent requests may run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests get a stream of server-sent events as the response.
	Stream
)

// String returns the name of the kind in lower case.
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

// Target is one service of a route and its weight in the route's traffic split.
type Target struct {
	Service identifier.Service
	Weight  int
}

// Route maps the requests for one host and path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout is the maximum time until the end of the response.
	Timeout time.Duration
	// LatencyObjective is the target time to the response, or to the first event of a
	// stream. A response is worth most within it.
	LatencyObjective time.Duration
	// GapObjective is the target for the longest gap between two events of a
	// stream.
	GapObjective time.Duration
	// Priority is 0 for the highest priority.
	Priority int
	Targets  []Target
	// MaxAttempts is the maximum number of backend servers that get one request.
	MaxAttempts int
	// Public is set if the route's requests need no key.
	Public bool
	// Resumable is set if a broken stream may be resumed at another backend server.
	Resumable bool
}

// Retryable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Model is one model of a service that has an engine.
type Model struct {
	Name string
	// GroupSize is the number of VMs in a replica group of the model.
	GroupSize int
	// TimeFactor scales all declared times of the engine for this model.
	TimeFactor float64
	// DeclaredShare is the model's expected share of the service's VMs. It counts
	// as the model's demand until demand has been measured.
	DeclaredShare float64
	// LoadTime is the time to load the weights from the weight store.
	// WarmStartTime is the time to join a group when they are already on the VM.
	LoadTime      time.Duration
	WarmStartTime time.Duration
}

// Engine describes how fast the backend servers of a service run its models.
type Engine struct {
	// Slots is the number of requests that a group runs concurrently.
	Slots int
	// StepsPerPass is the number of decode steps in one pass of the engine. Each
	// step generates one token per request, so it is also the number of tokens in
	// one event.
	StepsPerPass int
	// StepTime is the base time of one decode step. StepTimePerRequest is added for
	// each request that generates tokens, and StepTimePerThousandTokens for each
	// thousand tokens of its context.
	StepTime                  time.Duration
	StepTimePerRequest        time.Duration
	StepTimePerThousandTokens time.Duration
	// PrefillTokensPerSecond is the number of prompt tokens prefilled in a second.
	PrefillTokensPerSecond float64
	// PrefillChunk is the maximum number of prompt tokens prefilled in one decode
	// step, 0 if not declared.
	PrefillChunk int
	// MaxLoadsPerSecond is the maximum number of loads from the weight store that
	// may start in a second. FullSpeedLoads is the number of concurrent loads up to
	// which each runs at full speed.
	MaxLoadsPerSecond float64
	FullSpeedLoads    int
	Models            []Model
	// MeanAnswerTokens is the mean number of tokens in an answer.
	MeanAnswerTokens int
}

// Model returns the model with a name, or false if the engine has none.
func (e *Engine) Model(name string) (Model, bool) {
	for _, m := range e.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// Service describes the backend servers of one service and their limits.
type Service struct {
	Name identifier.Service
	// MaxConnections is the maximum number of connections to one backend server
	// from all fronts together.
	MaxConnections int
	// ColdRequestsPerSecond is the request rate that a cold backend server can
	// handle; 0 means that the servers are never cold.
	ColdRequestsPerSecond float64
	// Engine is nil for a plain service, which runs no models.
	Engine *Engine
}

// Limits are the limits on callers' requests and connections.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Team is a group of callers that share API keys.
type Team struct {
	Name     identifier.Team
	Keys     []string
	Priority int
}

// Catalog is the published configuration at one version.
type Catalog struct {
	Version  Version
	Routes   []Route
	Services []Service
	Limits   Limits
	Teams    []Team

	routesByHost  map[string][]*Route
	teamByKey     map[string]*Team
	serviceByName map[identifier.Service]*Service
}

// Index validates the catalog and builds its lookup tables. The error lists all
// problems that were found.
func (c *Catalog) Index() error {
	var problems []string
	report := func(format string, args ...any) { problems = append(problems, fmt.Sprintf(format, args...)) }
	if c.Version == 0 {
		report("version: has to be above 0")
	}
	c.serviceByName = map[identifier.Service]*Service{}
	for i := range c.Services {
		s := &c.Services[i]
		if s.Name == "" {
			report("service %d: has no name", i)
		}
		if c.serviceByName[s.Name] != nil {
			report("service %q: is listed twice", s.Name)
		}
		c.serviceByName[s.Name] = s
	}
	c.routesByHost = map[string][]*Route{}
	for i := range c.Routes {
		c.indexRoute(&c.Routes[i], report)
	}
	c.teamByKey = map[string]*Team{}
	for i := range c.Teams {
		t := &c.Teams[i]
		for _, k := range t.Keys {
			if other := c.teamByKey[k]; other != nil && other.Name != t.Name {
				report("team %q: shares a key with team %q", t.Name, other.Name)
			}
			c.teamByKey[k] = t
		}
	}
	if len(problems) > 0 {
		return Error.New("%s", strings.Join(problems, "; "))
	}
	return nil
}

func (c *Catalog) indexRoute(r *Route, report func(string, ...any)) {
	hostAndPrefix := r.Host + r.PathPrefix
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		report("route %q: the prefix %q does not begin and end with a slash", r.Name, r.PathPrefix)
	}
	if r.Timeout <= 0 {
		report("route %q: the timeout has to be above 0", r.Name)
	}
	totalWeight := 0
	for _, t := range r.Targets {
		if c.serviceByName[t.Service] == nil {
			report("route %q: the service %q is not listed", r.Name, t.Service)
		}
		if t.Weight < 0 {
			report("route %q: the weight of %q is below 0", r.Name, t.Service)
		}
		totalWeight += max(t.Weight, 0)
	}
	if totalWeight == 0 {
		report("route %q: its weights add up to 0", r.Name)
	}
	host := strings.ToLower(r.Host)
	i, taken := slices.BinarySearchFunc(c.routesByHost[host], r.PathPrefix, func(o *Route, prefix string) int {
		// Longer prefixes come first, so that the first match is the longest one.
		return cmp.Or(cmp.Compare(len(prefix), len(o.PathPrefix)), strings.Compare(o.PathPrefix, prefix))
	})
	if taken {
		report("route %q: another route has %q", r.Name, hostAndPrefix)
		return
	}
	c.routesByHost[host] = slices.Insert(c.routesByHost[host], i, r)
}

// Route returns the route that matches a host and path, or nil. The longest
// matching prefix wins.
func (c *Catalog) Route(host, path string) *Route {
	for _, r := range c.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// TeamByKey returns the team that a key belongs to, or nil.
func (c *Catalog) TeamByKey(key string) *Team { return c.teamByKey[key] }

// RequiresKeys reports whether requests of non-public routes need keys.
func (c *Catalog) RequiresKeys() bool { return len(c.Teams) > 0 }

// Service returns the service with a name, or nil.
func (c *Catalog) Service(name identifier.Service) *Service { return c.serviceByName[name] }

// PrefillTime returns the time in which a group of a model prefills a number of
// prompt tokens, or 0 if no prefill rate is declared.
func (e *Engine) PrefillTime(m Model, tokens int) time.Duration {
	if e.PrefillTokensPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / e.PrefillTokensPerSecond * m.TimeFactor * float64(time.Second))
}

// typicalContext is the context length of one request that estimates assume, in
// thousand tokens.
const typicalContext = 1.5

// PassTime returns the time of one pass of a group of a model that generates n
// answers and prefills no prompt.
func (e *Engine) PassTime(m Model, n int) time.Duration {
	perRequest := e.StepTimePerRequest + time.Duration(typicalContext*float64(e.StepTimePerThousandTokens))
	step := float64(e.StepTime) + float64(n)*float64(perRequest)
	return time.Duration(step * float64(e.StepsPerPass) * m.TimeFactor)
}

// MaxPassTime returns the time of a pass of a group with all slots in use and a full
// prefill chunk in each step, or 0 if the chunk is not declared.
func (e *Engine) MaxPassTime(m Model) time.Duration {
	if e.PrefillChunk <= 0 {
		return 0
	}
	return e.PassTime(m, e.Slots) + e.PrefillTime(m, e.StepsPerPass*e.PrefillChunk)
}

// EstimateTime estimates the engine time of a request: the prefill of its prompt,
// plus its share of the passes that generate its answer while all slots are in use.
func (e *Engine) EstimateTime(model string, promptTokens, answerTokens int) time.Duration {
	m, ok := e.Model(model)
	if !ok || e.PrefillTokensPerSecond <= 0 || e.Slots <= 0 {
		return 0
	}
	if answerTokens <= 0 {
		answerTokens = e.MeanAnswerTokens
	}
	step := float64(e.StepTime)/float64(e.Slots) + float64(e.StepTimePerRequest) + typicalContext*float64(e.StepTimePerThousandTokens)
	return e.PrefillTime(m, promptTokens) + time.Duration(float64(answerTokens)*step*m.TimeFactor)
}
