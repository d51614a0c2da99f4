package throttler

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
)

// Times and shares of permits.
const (
	// permitLifetime is how long a front may use a permit. Permits that nobody uses do not
	// add up, so that a burst after a quiet time cannot exceed a limit.
	permitLifetime = 2 * time.Second
	// maxOutstandingTime times its part of a rate is how many permits of a core process may
	// be unused at a time.
	maxOutstandingTime = 1750 * time.Millisecond
	// minReissueRate is the part of a rate at one core process from which permits that were
	// not used are issued again. Below it they are lost, or each process would always have
	// one out. They live longer, by the time in which the rate of all fronts gives
	// rarePermitSlack, but not more than maxRareLifetime.
	minReissueRate  = Rate(0.5)
	rarePermitSlack = 1.5
	maxRareLifetime = 5 * time.Second
	// fetchTimeout is how long a permit waits for its front to fetch it.
	fetchTimeout = 500 * time.Millisecond
	// reportDelay is how long after its lifetime a permit is reported at the latest. Then it
	// counts as used.
	reportDelay = time.Second
	// minRate is the lowest rate for which permits are issued, all fronts together. Requests
	// that come so rarely show whether a lower limit has ended.
	minRate = Rate(0.1)
	// maxRate is the highest one. It bounds the work and memory that a server can cause by the
	// rate that it names.
	maxRate = Rate(2000)
	// usageWeight is the weight of one permit in the average share of used permits, and
	// minUsage the lower bound of that average.
	usageWeight = 0.2
	minUsage    = 0.05
	// deniedUsage is the lower bound of that average at a front that had to refuse requests.
	deniedUsage = 0.5
)

// Allocator issues the permits of one core process: its part of the rates of all servers,
// distributed among the fronts that fetch from it. It issues them one by one in smooth
// weighted round robin, so the number of permits in any span of time follows the rate.
// Permits that a front did not use are issued again.
//
// Rand and Issuer are set before use. The zero value of the other fields is ready to use.
type Allocator struct {
	Rand *rand.Rand
	// Issuer names this run of the core process.
	Issuer IssuerID

	accounts map[identifier.Server]*account
}

// account is the state of one server's permits.
type account struct {
	// limit is the rate of all fronts and rate the part of it that is issued here.
	limit, rate Rate
	tokens      float64
	advancedAt  time.Time
	holders     map[identifier.VM]*holder
}

// holder is the state of one front's permits for one server.
type holder struct {
	// credit is the front's turn in the round robin: what it is owed, in permits.
	credit float64
	// usage is a moving average of the share of its permits that the front used.
	usage float64
	// pending permits were issued at pendingSince and wait to be fetched. held ones were
	// fetched, the last of them at fetchedAt, and the front has not said that it holds fewer.
	pending      int
	pendingSince time.Time
	held         int
	fetchedAt    time.Time
}

// IssuerID names one run of a core process, in which it knows what it has issued.
type IssuerID uint64

// PermitReport is what has become of a front's permits for a server.
type PermitReport struct {
	Server  identifier.Server
	Used    int
	Expired int
	// Denied counts requests that were refused for lack of a permit.
	Denied int
	// Issuer is that of the permits, and Held the number of them that the front still holds.
	Issuer IssuerID
	Held   int
}

// Grant is a number of permits for a server, which a front may use during Lifetime.
type Grant struct {
	Server   identifier.Server
	Permits  int
	Lifetime time.Duration
	Issuer   IssuerID
}

// Weights returns the weight of each front for a server: its demand, times the share of
// permits that it used lately. The sum is the weight of this process.
func (a *Allocator) Weights(id identifier.Server, demand map[identifier.VM]float64) (weights map[identifier.VM]float64, sum float64) {
	weights = make(map[identifier.VM]float64, len(demand))
	for vm, d := range demand {
		usage := 1.0
		if acc := a.accounts[id]; acc != nil && acc.holders[vm] != nil {
			usage = acc.holders[vm].usage
		}
		weights[vm] = d * usage
		sum += weights[vm]
	}
	return weights, sum
}

// PermitRate returns the rate at which permits for a limit are issued.
func PermitRate(r Rate) Rate { return min(max(r, minRate), maxRate) }

// Advance issues the permits for a server that are due. The argument limit is the rate that
// the server named, part this process's part of it, and weights are those of the fronts.
func (a *Allocator) Advance(now time.Time, id identifier.Server, limit Rate, part float64, weights map[identifier.VM]float64) {
	acc := a.accounts[id]
	if acc == nil {
		if a.accounts == nil {
			a.accounts = map[identifier.Server]*account{}
		}
		// The random phase keeps several processes from issuing at the same time.
		acc = &account{advancedAt: now, tokens: a.Rand.Float64(), holders: map[identifier.VM]*holder{}}
		a.accounts[id] = acc
	}
	acc.limit = PermitRate(limit)
	acc.rate = acc.limit * Rate(part)
	acc.tokens += float64(acc.rate) * now.Sub(acc.advancedAt).Seconds()
	acc.advancedAt = now
	acc.dropStale(now, weights)
	for vm := range weights {
		if acc.holders[vm] == nil {
			a.addHolders(acc, weights)
			break
		}
	}
	for acc.tokens >= 1 && acc.outstanding() < acc.maxOutstanding() {
		acc.tokens--
		acc.issue(now, weights)
	}
	acc.tokens = min(acc.tokens, 1)
}

// addHolders adds the fronts that have a weight and no permits so far. A random turn keeps the
// permits of several servers from going to the same front.
func (a *Allocator) addHolders(acc *account, weights map[identifier.VM]float64) {
	for _, vm := range slices.Sorted(maps.Keys(weights)) {
		if acc.holders[vm] == nil {
			acc.holders[vm] = &holder{usage: 1, credit: a.Rand.Float64()}
		}
	}
}

// maxOutstanding returns how many permits may be unused at a time. It need not be a whole
// number.
func (acc *account) maxOutstanding() float64 {
	return float64(acc.rate) * maxOutstandingTime.Seconds()
}

// lifetime returns how long a front may use a permit.
func (acc *account) lifetime() time.Duration {
	if acc.rate >= minReissueRate {
		return permitLifetime
	}
	return min(permitLifetime+time.Duration(rarePermitSlack/float64(acc.limit)*float64(time.Second)), maxRareLifetime)
}

// outstanding returns how many permits have not been used, as far as is known.
func (acc *account) outstanding() float64 {
	n := 0
	for _, h := range acc.holders {
		n += h.pending + h.held
	}
	return float64(n)
}

// dropStale takes back permits that were not fetched, and forgets those that were not
// reported and fronts that have no weight.
func (acc *account) dropStale(now time.Time, weights map[identifier.VM]float64) {
	for vm, h := range acc.holders {
		if h.pending > 0 && now.Sub(h.pendingSince) > fetchTimeout {
			n := h.pending
			h.pending = 0
			acc.takeBack(n)
		}
		if h.held > 0 && now.Sub(h.fetchedAt) > acc.lifetime()+reportDelay {
			h.held = 0
		}
		if _, weighted := weights[vm]; !weighted && h.pending == 0 && h.held == 0 {
			delete(acc.holders, vm)
		}
	}
}

// takeBack adds permits that were not used, and are not outstanding any more, to the tokens. What is outstanding and the tokens
// together stay within what may be outstanding and one more, so that unused permits do not
// add up.
func (acc *account) takeBack(n int) {
	if acc.rate < minReissueRate {
		return
	}
	room := acc.maxOutstanding() + 1 - acc.outstanding()
	acc.tokens = max(acc.tokens, min(acc.tokens+float64(n), room))
}

// issue gives one permit to the front that is owed most.
func (acc *account) issue(now time.Time, weights map[identifier.VM]float64) {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	var best *holder
	var bestVM identifier.VM
	for vm, w := range weights {
		h := acc.holders[vm]
		if sum > 0 {
			h.credit += w / sum
		}
		if best == nil || h.credit > best.credit || h.credit == best.credit && vm < bestVM {
			best, bestVM = h, vm
		}
	}
	if best == nil {
		return
	}
	best.credit--
	if best.pending == 0 {
		best.pendingSince = now
	}
	best.pending++
}

// Report records what a front says about its permits before it fetches again. It says all that
// it holds, so that reports and permits which were lost on the way do not count for ever. What
// it says about permits of another issuer changes nothing here.
func (a *Allocator) Report(from identifier.VM, reports ...PermitReport) {
	held := map[identifier.Server]int{}
	for _, r := range reports {
		if r.Issuer == a.Issuer {
			held[r.Server] = r.Held
		}
	}
	for id, acc := range a.accounts {
		if h := acc.holders[from]; h != nil {
			h.held = min(h.held, held[id])
		}
	}
	for _, r := range reports {
		acc := a.accounts[r.Server]
		if acc == nil || acc.holders[from] == nil {
			continue
		}
		acc.holders[from].updateUsage(r)
		if r.Issuer == a.Issuer {
			acc.takeBack(r.Expired)
		}
	}
}

func (h *holder) updateUsage(r PermitReport) {
	for range r.Used {
		h.usage += usageWeight * (1 - h.usage)
	}
	for range r.Expired {
		h.usage += usageWeight * (minUsage - h.usage)
	}
	if r.Denied > 0 {
		h.usage = max(h.usage, deniedUsage)
	}
}

// Fetch returns the permits that wait for a front.
func (a *Allocator) Fetch(now time.Time, by identifier.VM) []Grant {
	var grants []Grant
	for id, acc := range a.accounts {
		h := acc.holders[by]
		if h == nil || h.pending == 0 {
			continue
		}
		grants = append(grants, Grant{Server: id, Permits: h.pending, Lifetime: acc.lifetime(), Issuer: a.Issuer})
		h.held, h.fetchedAt, h.pending = h.held+h.pending, now, 0
	}
	slices.SortFunc(grants, func(x, y Grant) int {
		if x.Server < y.Server {
			return -1
		}
		return 1
	})
	return grants
}

// Charge takes a permit for a request that this process itself sends to a server.
func (a *Allocator) Charge(id identifier.Server) {
	if acc := a.accounts[id]; acc != nil {
		acc.tokens--
	}
}

// Retain forgets the servers that are not limited any more.
func (a *Allocator) Retain(isLimited func(identifier.Server) bool) {
	for id := range a.accounts {
		if !isLimited(id) {
			delete(a.accounts, id)
		}
	}
}

// AccountInfo describes the permits of one server for the state dump.
type AccountInfo struct {
	Server identifier.Server
	// Rate is this process's part of the limit, in requests a second.
	Rate Rate
	// Outstanding is the number of permits that fronts have not used yet.
	Outstanding int
}

// Accounts returns the state of all servers, sorted by server.
func (a *Allocator) Accounts() []AccountInfo {
	var out []AccountInfo
	for id, acc := range a.accounts {
		out = append(out, AccountInfo{Server: id, Rate: acc.rate, Outstanding: int(acc.outstanding())})
	}
	slices.SortFunc(out, func(x, y AccountInfo) int {
		if x.Server < y.Server {
			return -1
		}
		return 1
	})
	return out
}
