package ashwood

import (
	"cmp"
	"math"
	"math/rand"
	"time"

	"ashwood.example/ashwood/internal/prefix"
	"ashwood.example/ashwood/internal/rendezvous"
	"ashwood.example/ashwood/internal/slowstart"
	"ashwood.example/ashwood/internal/trend"
)

// This file declares the state of a scheduler and queries on it, and dispatches events to
// their handlers. It decides nothing.

// health is the failure record of a server, or of the network path to a zone.
type health struct {
	failureRate  float64       // moving average over recent attempts
	ejectedUntil time.Duration // time from which a trial is allowed
	backoff      time.Duration
	ejected      bool
	trialRequest RequestID // the single request that tries it again
}

// trackedServer is what the scheduler knows about a server. "Own" means of this node's requests.
type trackedServer struct {
	Server
	health
	zonePath          *health // of the network path to its zone
	role              Role
	memoryTokens      float64
	active            bool    // may get new work: in the membership, not draining, of a known kind
	pendingPrefills   int     // own unfinished prefills
	queuedTokens      float64 // own tokens that wait to be prefilled or fetched
	decodeTokens      float64 // own prompt tokens sent to it for decode, until the answer's end
	sentSinceReport   float64 // part of decodeTokens that was sent since the last report
	report            Report
	reportAt          time.Duration
	loadProbedAt      time.Duration // last probe for a load report
	lastResponseAt    time.Duration // last time that it sent anything back
	recoveredAt       time.Duration // first response after its last silence
	livenessProbedAt  time.Duration // last probe for a liveness signal
	prefixRuns        prefix.ServerRuns
	idHash            uint64
	latencyRatio      float64                  // its latency, relative to what its role takes for the same work
	lastProgressAt    time.Duration            // last time that it started or finished an answer
	latestStartedSend [numStages]time.Duration // send time of the latest attempt that it has started to answer
	pausedUntil       time.Duration
	rejectsUntil      map[[2]string]time.Duration // by throttleKey
	pauseLength       time.Duration               // length of the last pause after a rejection or a failed connect
	slowStartSends    slowstart.Sends
	restartedAt       time.Duration    // when this node learned of its latest start
	slowStartCredit   slowstart.Credit // used when many nodes share its slow-start budget
	slowStartPhase    float64          // random in [0,1): staggers the sends of the nodes that share the budget
	warmThroughput    trend.Rate       // work finished outside slow start
}

// stage is what an attempt does.
type stage int

const (
	stagePrefill   stage = iota
	stageDecode          // with KV state from the same cell, or none
	stageDecodeFar       // the KV state comes from another cell
	numStages
)

// trackedAttempt is what the scheduler knows about an attempt.
type trackedAttempt struct {
	server        *trackedServer
	decodes       bool // it may produce the client's answer
	inFlight      bool
	answerStarted bool
	stage         stage
	sentAt        time.Duration
	workTokens    float64 // prompt tokens to be prefilled or fetched
	queuedTokens  float64 // the server's queuedTokens just after the send
	cachedTokens  float64 // prompt tokens that the prefix table knew for sure to be cached
	serverSilent  bool    // the server has not answered a liveness probe since the send
}

// overtaken tells whether the server has started to answer an attempt that was sent later. The
// attempt's connection may then be dead, so its wait does not show how long the work takes.
func (a *trackedAttempt) overtaken() bool { return a.server.latestStartedSend[a.stage] > a.sentAt }

// trackedRequest is what the scheduler knows about a request.
type trackedRequest struct {
	Request
	class             *Class
	deadline          time.Duration
	arrivedAt         time.Duration
	idleSince         time.Duration // last outcome; the release timeout of rule 5 counts from it
	attempts          []*trackedAttempt
	firstRun          *trackedAttempt // the first attempt that may have had an effect
	inFlight          int             // attempts
	stateHolder       *trackedServer  // prefill server that holds its KV state
	reservation       *trackedServer  // decode server that was asked for a reservation
	reservationHeld   bool            // and has confirmed it
	probeRounds       int             // how often load was probed before the choice of a prefill server
	stayInZone        bool            // a connection to another zone failed: only servers of this zone from then on
	reservationsAsked int
	tried             map[*trackedServer]bool
	timers            []uint64 // tokens of its pending timers
	done              bool     // it has its final answer, or its answer has started
}

// Scheduler makes the decisions of one node.
type Scheduler struct {
	settings         Settings
	rng              *rand.Rand
	kinds            map[string]Kind
	classes          map[string]*Class
	tenantQuota      map[string]float64     // this node's part of a tenant's quota, in requests per second
	tenantRate       map[string]*trend.Rate // of requests
	maxWorth         float64                // over all classes
	minAim           time.Duration          // over all classes
	maxPromptTokens  float64                // longest prompt that fits into the memory of some server of each stage
	unseenShare      float64                // 1 - 2/nodes, at least 0: the higher, the less own counts say about the fleet; 0 up to two nodes
	tenantImpatience map[string]float64     // moving average, in ns, of how long before the shortest aim clients leave
	servers          map[ServerID]*trackedServer
	sortedServers    []*trackedServer   // by id, so that no loop depends on map order
	zonePaths        map[string]*health // network paths, by zone
	requests         map[RequestID]*trackedRequest
	timers           map[uint64]pendingTimer
	lastTimer        uint64
	processes        float64       // processes that count as this one node
	shutdownAt       time.Duration // by then each request has its answer; math.MaxInt64 = not set
	prefixTable      prefix.Table
	stageLatency     [numStages]trend.LatencyLine
	classTokens      map[*Class]float64 // mean prompt tokens
	meanPromptTokens float64
	arrivingTokens   trend.Rate // prompt tokens of new requests
	now              time.Duration
	actions          []Action
}

func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }

// findInFlight returns the attempt that an event is about if it is still in flight.
func (s *Scheduler) findInFlight(id RequestID, index int, server ServerID) (*trackedRequest, *trackedAttempt) {
	request := s.requests[id]
	if request == nil || index < 0 || index >= len(request.attempts) ||
		!request.attempts[index].inFlight || request.attempts[index].server.ID != server {
		return nil, nil
	}
	return request, request.attempts[index]
}

// recordReport stores a server's load report, if there is one.
func (s *Scheduler) recordReport(server *trackedServer, report Report) {
	if len(report) > 0 {
		server.report, server.reportAt, server.sentSinceReport = report, s.now, 0
	}
}

func newServer(id ServerID) *trackedServer {
	return &trackedServer{
		latencyRatio: 1, prefixRuns: prefix.ServerRuns{}, rejectsUntil: map[[2]string]time.Duration{}, idHash: rendezvous.Hash(string(id)),
	}
}

// reportedLoad returns the unfinished work that a server last reported, in requests of the mean
// prompt, 0 without a report. With many nodes, reported tokens are preferred, since prompts differ
// in length by orders of magnitude. With few nodes the result is compared with own counts, which
// are in requests, so reported requests are used.
func (s *Scheduler) reportedLoad(server *trackedServer) float64 {
	if waiting, reported := server.report[ReportWaiting]; reported && s.meanPromptTokens > 0 && s.settings.Nodes > manyNodes {
		return waiting * 1000 / s.meanPromptTokens
	}
	return max(server.report[ReportInFlight], server.report[ReportQueue])
}

// rendezvousWeight ranks a server for a key. All nodes compute the same rank.
func (t *trackedServer) rendezvousWeight(key uint64) uint64 { return rendezvous.Weight(t.idHash, key) }

// affinityTargetsIn returns n servers of a pool: the width servers that rank highest for the
// prefix, and of these the n that rank highest for the session.
func (r *trackedRequest) affinityTargetsIn(pool []*trackedServer, width, n int) []*trackedServer {
	prefixKey := cmp.Or(r.Prefix, r.Session)
	targets := rendezvous.Top(pool, width, func(server *trackedServer) uint64 { return server.rendezvousWeight(prefixKey) })
	return rendezvous.Top(targets, n, func(server *trackedServer) uint64 { return server.rendezvousWeight(r.Session) })
}

// splitByZone splits servers into those of this node's zone and others.
func (s *Scheduler) splitByZone(pool []*trackedServer) (near, far []*trackedServer) {
	for _, server := range pool {
		if server.Zone == s.settings.Zone {
			near = append(near, server)
		} else {
			far = append(far, server)
		}
	}
	return near, far
}

// transferDelay returns how much longer an answer takes to start, in ns, when its KV state has to
// leave the prefill server's cell. The estimate decays with its age.
func (s *Scheduler) transferDelay() float64 {
	far := &s.stageLatency[stageDecodeFar]
	return max(far.Mean-s.stageLatency[stageDecode].Mean, 0) * math.Exp(-float64(s.now-far.Last)/float64(4*s.minAim))
}

// meanOver averages a value over the active servers of a role that have it, and counts them.
func (s *Scheduler) meanOver(role Role, value func(*trackedServer) (float64, bool)) (mean, count float64) {
	for _, server := range s.sortedServers {
		if x, ok := value(server); ok && server.active && server.role == role {
			count++
			mean += (x - mean) / count
		}
	}
	return mean, count
}

// prefixParts returns the two runs of a prompt's leading blocks: those shared with
// other sessions, then the session's own.
func (r *trackedRequest) prefixParts() []prefix.Part {
	total, shared := int(r.PromptTokens)/blockTokens, 0
	if r.Prefix != 0 {
		shared = min(int(r.PrefixTokens)/blockTokens, total)
	}
	return []prefix.Part{
		{Key: prefix.Key{Hash: r.Prefix}, Blocks: shared},
		{Key: prefix.Key{Hash: r.Session, PerSession: true}, Blocks: total - shared},
	}
}

// matchPrefix counts the leading tokens of a prompt that a server probably has in its prefix
// cache, and those that it has for sure.
func (s *Scheduler) matchPrefix(request *trackedRequest, server *trackedServer) (tokens, sure float64) {
	heldBlocks, sureBlocks := s.prefixTable.Match(s.now, server.prefixRuns, request.prefixParts())
	return float64(heldBlocks * blockTokens), float64(sureBlocks * blockTokens)
}

// newScheduler returns a scheduler without any servers.
func newScheduler(settings Settings, seed int64) *Scheduler {
	s := &Scheduler{
		settings: settings, rng: rand.New(rand.NewSource(seed)), kinds: map[string]Kind{}, classes: map[string]*Class{},
		tenantQuota: map[string]float64{}, servers: map[ServerID]*trackedServer{}, zonePaths: map[string]*health{},
		requests: map[RequestID]*trackedRequest{}, timers: map[uint64]pendingTimer{}, classTokens: map[*Class]float64{},
		tenantRate: map[string]*trend.Rate{}, tenantImpatience: map[string]float64{},
		processes: 1, shutdownAt: math.MaxInt64, prefixTable: prefix.Table{MaxBlocks: maxBlocks, Expiry: blockExpiry},
		minAim: math.MaxInt64, maxWorth: math.SmallestNonzeroFloat64,
		unseenShare: max(1-2/float64(settings.Nodes), 0),
	}
	for _, kind := range settings.Kinds {
		s.kinds[kind.Name] = kind
	}
	s.maxPromptTokens = min(maxMemory(settings.Kinds, RolePrefill), maxMemory(settings.Kinds, RoleDecode))
	for i := range settings.Classes {
		class := &settings.Classes[i]
		s.classes[class.Name] = class
		s.maxWorth = max(s.maxWorth, class.Worth)
		s.minAim = min(s.minAim, class.Aim)
	}
	for _, tenant := range settings.Tenants {
		s.tenantQuota[tenant.Name] = tenant.QuotaPerSec / float64(settings.Nodes)
		s.tenantRate[tenant.Name] = &trend.Rate{}
	}
	return s
}

// maxMemory returns the memory in tokens of the largest kind of server that serves a role,
// infinite if there is none or a kind's memory is not known.
func maxMemory(kinds []Kind, role Role) float64 {
	largest := 0.0
	for _, kind := range kinds {
		switch {
		case kind.Role != role && kind.Role != RoleMixed:
		case kind.MemoryTokens == 0:
			return math.Inf(1)
		default:
			largest = max(largest, kind.MemoryTokens)
		}
	}
	if largest == 0 {
		return math.Inf(1)
	}
	return largest
}

// sumByCell sums a value over the active servers of a role that have it, by cell, and counts them.
func (s *Scheduler) sumByCell(role Role, value func(*trackedServer) (float64, bool)) (sum, count map[int]float64) {
	sum, count = map[int]float64{}, map[int]float64{}
	for _, server := range s.sortedServers {
		if x, ok := value(server); ok && server.active && server.role == role {
			sum[server.Cell] += x
			count[server.Cell]++
		}
	}
	return sum, count
}

// oldestUnanswered returns, by server of a role, when the oldest of this node's attempts that
// have no answer yet was sent.
func (s *Scheduler) oldestUnanswered(role Role) map[*trackedServer]time.Duration {
	oldest := map[*trackedServer]time.Duration{}
	for _, request := range s.requests {
		for _, attempt := range request.attempts {
			if attempt.inFlight && !attempt.answerStarted && attempt.server.role == role &&
				(oldest[attempt.server] == 0 || attempt.sentAt < oldest[attempt.server]) {
				oldest[attempt.server] = attempt.sentAt
			}
		}
	}
	return oldest
}

// stageOf returns the stage of an attempt at a server, with KV state from another one or nil.
func stageOf(decodes bool, from, to *trackedServer) stage {
	switch {
	case !decodes:
		return stagePrefill
	case from != nil && from.Cell != to.Cell:
		return stageDecodeFar
	}
	return stageDecode
}

// throttleKey returns the properties by which a server may throttle requests. A full server
// rejects at once; one that takes longer has room and rejects only requests like this one.
func (r *trackedRequest) throttleKey() [2]string { return [2]string{r.Class, r.Tenant} }

func isPrefill(role Role) bool { return role == RolePrefill }

func isMixed(role Role) bool { return role == RoleMixed }

func canDecode(role Role) bool { return role != RolePrefill }

// Handle processes one event and appends the resulting actions to out. Events must come
// in the order of their times; those that match nothing in flight are ignored.
func (s *Scheduler) Handle(now time.Duration, e Event, out []Action) []Action {
	s.now, s.actions = max(now, s.now), out
	switch e := e.(type) {
	case MembershipUpdate:
		s.handleMembershipUpdate(e)
	case Request:
		s.handleRequest(e)
	case AnswerStarted:
		s.handleAnswerStarted(e)
	case ReservationResult:
		s.handleReservationResult(e)
	case Outcome:
		s.handleOutcome(e)
	case ClientDisconnected:
		s.handleClientDisconnected(e)
	case TimerFired:
		s.handleTimer(e)
	case ProbeResult:
		s.handleProbeResult(e)
	case Shutdown:
		s.handleShutdown(e)
	}
	out, s.actions = s.actions, nil
	return out
}
