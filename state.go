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

// This file declares what a scheduler remembers, and hands events on. It decides nothing.

// health is the trust in a server, or in the path to a zone.
type health struct {
	failureRate  float64       // failing share of recent attempts
	ejectedUntil time.Duration // ejected until
	backoff      time.Duration
	ejected      bool
	trialRequest RequestID // the single request that tries it again
}

type trackedServer struct {
	Server
	health
	zonePath          *health // to its zone
	role              Role
	memoryTokens      float64
	active            bool    // on; anything else gets nothing new
	pendingPrefills   int     // own unfinished reads
	queuedTokens      float64 // own tokens that wait to be read or fetched
	decodeTokens      float64 // own prompt tokens sent to it as a writer, until the answer's end
	sentSinceReport   float64 // of those, sent since the report
	report            Report
	reportAt          time.Duration
	loadProbedAt      time.Duration // last asked for it
	lastResponseAt    time.Duration // it last sent anything back
	recoveredAt       time.Duration // it was heard again after a silence
	livenessProbedAt  time.Duration // last probed for a sign of life
	prefixRuns        prefix.ServerRuns
	idHash            uint64                   // of its id
	latencyRatio      float64                  // latency against what its role takes for like work
	lastProgressAt    time.Duration            // it last finished or began something
	latestStartedSend [numStages]time.Duration // the latest send that it has begun to answer
	pausedUntil       time.Duration
	rejectsUntil      map[[2]string]time.Duration // kinds of request, until when
	pauseLength       time.Duration               // the last pause after it would not take a request
	slowStartSends    slowstart.Sends             // in slow start
	restartedAt       time.Duration               // known to have started anew
	slowStartCredit   slowstart.Credit            // where many nodes share its budget in slow start
	slowStartPhase    float64                     // drawn then, of this node among those that share its slow start
	warmThroughput    trend.Rate                  // work finished once warm
}

// stage is what an attempt does.
type stage int

const (
	stagePrefill   stage = iota
	stageDecode          // with a state from the same cell, or none
	stageDecodeFar       // the state has to leave the reader's cell
	numStages
)

// attempt is one send.
type trackedAttempt struct {
	server        *trackedServer
	decodes       bool // it may answer
	inFlight      bool
	answerStarted bool // its answer has
	stage         stage
	sentAt        time.Duration
	workTokens    float64 // to be read or fetched
	queuedTokens  float64 // own tokens waiting there, these included
	cachedTokens  float64 // tokens that the table was sure of
	serverSilent  bool    // its server has left a probe without an answer since
}

// overtaken tells that its server has begun what was sent later: its connection may have
// fallen silent, and then its wait says nothing of how long the work takes.
func (a *trackedAttempt) overtaken() bool { return a.server.latestStartedSend[a.stage] > a.sentAt }

type trackedRequest struct {
	Request
	class             *Class
	deadline          time.Duration
	arrivedAt         time.Duration
	idleSince         time.Duration // of the last outcome; rule 5 counts from it
	attempts          []*trackedAttempt
	firstRun          *trackedAttempt // the first that may have had an effect
	inFlight          int
	stateHolder       *trackedServer // reader that holds its read state
	reservation       *trackedServer // writer asked to hold a place
	reservationHeld   bool           // and it does
	probeRounds       int            // how often its homes were asked for their load
	stayInZone        bool           // a connect to another zone never came up: it goes on in this one
	reservationsAsked int            // places asked for
	tried             map[*trackedServer]bool
	done              bool
}

// timer tells what a Timer event is for: an attempt to look at, or one of these.
type pendingTimer struct {
	requestID RequestID
	purpose   int
	attempt   int // with lookForSign
}

const (
	timerAdvance = -1 - iota
	timerWatch
	timerShutdown
	timerLiveness
)

// Scheduler makes the decisions of one node.
type Scheduler struct {
	settings         Settings
	rng              *rand.Rand
	kinds            map[string]Kind
	classes          map[string]*Class
	tenantQuota      map[string]float64 // this node's part of a tenant's share
	tenantRate       map[string]*trend.Rate
	maxWorth         float64
	minAim           time.Duration
	maxPromptTokens  float64            // tokens of a prompt that fits into the memory of some server of each stage
	unseenShare      float64            // of nodes: 0 where own counts tell of the fleet (up to two), near 1 where they are chance
	tenantImpatience map[string]float64 // of a tenant's clients: how far before the shortest aim they leave
	servers          map[ServerID]*trackedServer
	sortedServers    []*trackedServer   // by id, so that no loop depends on map order
	zonePaths        map[string]*health // paths to other zones
	requests         map[RequestID]*trackedRequest
	timers           map[uint64]pendingTimer
	lastTimer        uint64
	processes        float64       // processes that count as this one node
	shutdownAt       time.Duration // by then each request has its answer; math.MaxInt64 = not known
	prefixTable      prefix.Table
	stageLatency     [numStages]trend.LatencyLine
	classTokens      map[*Class]float64
	meanPromptTokens float64    // tokens of a prompt
	arrivingTokens   trend.Rate // tokens of the prompts that come in
	now              time.Duration
	actions          []Action
}

func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }

func (s *Scheduler) setTimer(d time.Duration, t pendingTimer) {
	s.lastTimer++
	s.timers[s.lastTimer] = t
	s.emit(SetTimer{At: s.now + max(d, time.Millisecond), Token: s.lastTimer})
}

// find gives the attempt that an event is about, if it is still out.
func (s *Scheduler) findInFlight(id RequestID, n int, v ServerID) (*trackedRequest, *trackedAttempt) {
	r := s.requests[id]
	if r == nil || n < 0 || n >= len(r.attempts) || !r.attempts[n].inFlight || r.attempts[n].server.ID != v {
		return nil, nil
	}
	return r, r.attempts[n]
}

func (s *Scheduler) recordReport(v *trackedServer, rep Report) {
	if len(rep) > 0 {
		v.report, v.reportAt, v.sentSinceReport = rep, s.now, 0
	}
}

func newServer(id ServerID) *trackedServer {
	return &trackedServer{latencyRatio: 1, prefixRuns: prefix.ServerRuns{}, rejectsUntil: map[[2]string]time.Duration{}, idHash: rendezvous.Hash(string(id))}
}

// running is the unfinished work that a server last reported, in requests of the mean prompt, 0
// without a report. Prompts differ by orders of magnitude: where tokens are told, they count. Of
// few nodes, whose own counts are in requests, requests do.
func (s *Scheduler) reportedLoad(v *trackedServer) float64 {
	if waiting, told := v.report[ReportWaiting]; told && s.meanPromptTokens > 0 && s.settings.Nodes > manyNodes {
		return waiting * 1000 / s.meanPromptTokens
	}
	return max(v.report[ReportInFlight], v.report[ReportQueue])
}

// score is the rank of a server for a key, alike at all nodes.
func (v *trackedServer) rendezvousWeight(key uint64) uint64 { return rendezvous.Weight(v.idHash, key) }

// homesIn gives n readers of a pool by the session's key, of so many by the prefix's.
func (r *trackedRequest) affinityTargetsIn(pool []*trackedServer, many, n int) []*trackedServer {
	prefix := cmp.Or(r.Prefix, r.Session)
	homes := rendezvous.Top(pool, many, func(v *trackedServer) uint64 { return v.rendezvousWeight(prefix) })
	return rendezvous.Top(homes, n, func(v *trackedServer) uint64 { return v.rendezvousWeight(r.Session) })
}

// byZone parts servers into those of this node's zone and others.
func (s *Scheduler) splitByZone(pool []*trackedServer) (near, far []*trackedServer) {
	for _, v := range pool {
		if v.Zone == s.settings.Zone {
			near = append(near, v)
		} else {
			far = append(far, v)
		}
	}
	return near, far
}

// transferDelay is how much longer an answer takes to begin where its state has to leave
// the reader's cell, less with the age of what is known of it.
func (s *Scheduler) transferDelay() float64 {
	far := &s.stageLatency[stageDecodeFar]
	return max(far.Mean-s.stageLatency[stageDecode].Mean, 0) * math.Exp(-float64(s.now-far.Last)/float64(4*s.minAim))
}

// mean averages a figure over the listed servers of a role that have it.
func (s *Scheduler) meanOver(role Role, figure func(*trackedServer) (float64, bool)) (mean, n float64) {
	for _, v := range s.sortedServers {
		if x, ok := figure(v); ok && v.active && v.role == role {
			n++
			mean += (x - mean) / n
		}
	}
	return mean, n
}

// parts gives the two runs of a prompt's leading blocks: what it shares with
// other sessions, then its session's own.
func (r *trackedRequest) prefixParts() []prefix.Part {
	all, shared := int(r.PromptTokens)/blockTokens, 0
	if r.Prefix != 0 {
		shared = min(int(r.PrefixTokens)/blockTokens, all)
	}
	return []prefix.Part{{Key: prefix.Key{Hash: r.Prefix}, Blocks: shared}, {Key: prefix.Key{Hash: r.Session, PerSession: true}, Blocks: all - shared}}
}

// match counts the leading tokens of a prompt that a server holds, and those
// that it surely holds.
func (s *Scheduler) matchPrefix(r *trackedRequest, v *trackedServer) (tokens, sure float64) {
	held, known := s.prefixTable.Match(s.now, v.prefixRuns, r.prefixParts())
	return float64(held * blockTokens), float64(known * blockTokens)
}

// empty is a scheduler that knows its settings, and nothing of the fleet yet.
func newScheduler(set Settings, seed int64) *Scheduler {
	s := &Scheduler{
		settings: set, rng: rand.New(rand.NewSource(seed)), kinds: map[string]Kind{}, classes: map[string]*Class{},
		tenantQuota: map[string]float64{}, servers: map[ServerID]*trackedServer{}, zonePaths: map[string]*health{},
		requests: map[RequestID]*trackedRequest{}, timers: map[uint64]pendingTimer{}, classTokens: map[*Class]float64{},
		tenantRate: map[string]*trend.Rate{}, tenantImpatience: map[string]float64{},
		processes: 1, shutdownAt: math.MaxInt64, prefixTable: prefix.Table{MaxBlocks: maxBlocks, Expiry: blockExpiry},
		minAim: math.MaxInt64, maxWorth: math.SmallestNonzeroFloat64,
		unseenShare: max(1-2/float64(set.Nodes), 0),
	}
	for _, kind := range set.Kinds {
		s.kinds[kind.Name] = kind
	}
	s.maxPromptTokens = min(maxMemory(set.Kinds, RoleRead), maxMemory(set.Kinds, RoleWrite))
	for i := range set.Classes {
		c := &set.Classes[i]
		s.classes[c.Name] = c
		s.maxWorth = max(s.maxWorth, c.Worth)
		s.minAim = min(s.minAim, c.Aim)
	}
	for _, t := range set.Tenants {
		s.tenantQuota[t.Name] = t.QuotaPerSec / float64(set.Nodes)
		s.tenantRate[t.Name] = &trend.Rate{}
	}
	return s
}

// mostMemory is the memory in tokens of the largest kind of server of a stage, infinite where
// there is none or a kind does not tell its own.
func maxMemory(kinds []Kind, stage Role) float64 {
	most := 0.0
	for _, kind := range kinds {
		switch {
		case kind.Role != stage && kind.Role != RoleMixed:
		case kind.MemoryTokens == 0:
			return math.Inf(1)
		default:
			most = max(most, kind.MemoryTokens)
		}
	}
	if most == 0 {
		return math.Inf(1)
	}
	return most
}

// byCell sums a figure over the listed servers of a role that have it, by cell, and counts them.
func (s *Scheduler) sumByCell(role Role, figure func(*trackedServer) (float64, bool)) (sum, n map[int]float64) {
	sum, n = map[int]float64{}, map[int]float64{}
	for _, v := range s.sortedServers {
		if x, ok := figure(v); ok && v.active && v.role == role {
			sum[v.Cell] += x
			n[v.Cell]++
		}
	}
	return sum, n
}

// oldestWaits gives, by server of a role, when the oldest of this node's attempts was sent that
// have no answer yet.
func (s *Scheduler) oldestUnanswered(role Role) map[*trackedServer]time.Duration {
	oldest := map[*trackedServer]time.Duration{}
	for _, r := range s.requests {
		for _, a := range r.attempts {
			if a.inFlight && !a.answerStarted && a.server.role == role && (oldest[a.server] == 0 || a.sentAt < oldest[a.server]) {
				oldest[a.server] = a.sentAt
			}
		}
	}
	return oldest
}

func stageOf(write bool, from, to *trackedServer) stage {
	switch {
	case !write:
		return stagePrefill
	case from != nil && from.Cell != to.Cell:
		return stageDecodeFar
	}
	return stageDecode
}

// kind is what a throttle may tell requests apart by: a full server says so at
// once, one that takes its time has room and refuses this kind alone.
func (r *trackedRequest) throttleKey() [2]string { return [2]string{r.Class, r.Tenant} }

func isPrefill(r Role) bool { return r == RoleRead }

func isMixed(r Role) bool { return r == RoleMixed }

func canDecode(r Role) bool { return r != RoleRead }

// Handle takes in one event and appends the actions to out. Events come in
// the order of their times; stray ones are ignored.
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
