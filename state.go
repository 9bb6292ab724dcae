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
	fail    float64       // failing share of recent attempts
	until   time.Duration // ejected until
	backoff time.Duration
	ejected bool
	trial   RequestID // the single request that tries it again
}

type server struct {
	Server
	health
	path        *health // to its zone
	role        Role
	memory      float64
	listed      bool    // on; anything else gets nothing new
	reads       int     // own unfinished reads
	queue       float64 // own tokens that wait to be read or fetched
	held        float64 // own prompt tokens sent to it as a writer, until the answer's end
	sentSince   float64 // of those, sent since the report
	report      Report
	reportAt    time.Duration
	polled      time.Duration // last asked for it
	heardAt     time.Duration // it last sent anything back
	backAt      time.Duration // it was heard again after a silence
	signAsked   time.Duration // last probed for a sign of life
	runs        prefix.Held
	hash        uint64                // of its id
	ratio       float64               // latency against what its role takes for like work
	alive       time.Duration         // it last finished or began something
	began       [stages]time.Duration // the latest send that it has begun to answer
	pausedUntil time.Duration
	refuses     map[[2]string]time.Duration // kinds of request, until when
	pause       time.Duration               // the last pause after it would not take a request
	sends       slowstart.Sends             // in slow start
	since       time.Duration               // known to have started anew
	credit      slowstart.Credit            // where many nodes share its budget in slow start
	phase       float64                     // drawn then, of this node among those that share its slow start
	done        trend.Rate                  // work finished once warm
}

// stage is what an attempt does.
type stage int

const (
	reading    stage = iota
	writing          // with a state from the same cell, or none
	writingFar       // the state has to leave the reader's cell
	stages
)

// attempt is one send.
type attempt struct {
	srv    *server
	write  bool // it may answer
	out    bool
	begun  bool // its answer has
	stage  stage
	sent   time.Duration
	tokens float64 // to be read or fetched
	queue  float64 // own tokens waiting there, these included
	kept   float64 // tokens that the table was sure of
	silent bool    // its server has left a probe without an answer since
}

// overtaken tells that its server has begun what was sent later: its connection may have
// fallen silent, and then its wait says nothing of how long the work takes.
func (a *attempt) overtaken() bool { return a.srv.began[a.stage] > a.sent }

type request struct {
	Request
	class    *Class
	deadline time.Duration
	arrived  time.Duration
	idle     time.Duration // of the last outcome; rule 5 counts from it
	attempts []*attempt
	ran      *attempt // the first that may have had an effect
	out      int
	state    *server // reader that holds its read state
	ahead    *server // writer asked to hold a place
	held     bool    // and it does
	polls    int     // how often its homes were asked for their load
	near     bool    // a connect to another zone never came up: it goes on in this one
	asked    int     // places asked for
	tried    map[*server]bool
	done     bool
}

// timer tells what a Timer event is for: an attempt to look at, or one of these.
type timer struct {
	id      RequestID
	what    int
	attempt int // with lookForSign
}

const (
	lookAgain = -1 - iota
	watchAgain
	endRequests
	lookForSign
)

// Scheduler makes the decisions of one node.
type Scheduler struct {
	set        Settings
	rng        *rand.Rand
	kinds      map[string]Kind
	classes    map[string]*Class
	quota      map[string]float64 // this node's part of a tenant's share
	asked      map[string]*trend.Rate
	topWorth   float64
	minAim     time.Duration
	longest    float64            // tokens of a prompt that fits into the memory of some server of each stage
	crowd      float64            // of nodes: 0 where own counts tell of the fleet (up to two), near 1 where they are chance
	impatience map[string]float64 // of a tenant's clients: how far before the shortest aim they leave
	servers    map[ServerID]*server
	order      []*server          // by id, so that no loop depends on map order
	zones      map[string]*health // paths to other zones
	reqs       map[RequestID]*request
	timers     map[uint64]timer
	next       uint64
	copies     float64       // processes that count as this one node
	endsAt     time.Duration // by then each request has its answer; math.MaxInt64 = not known
	table      prefix.Table
	pace       [stages]trend.Line
	cost       map[*Class]float64
	prompt     float64    // tokens of a prompt
	coming     trend.Rate // tokens of the prompts that come in
	now        time.Duration
	out        []Action
}

func (s *Scheduler) act(a Action) { s.out = append(s.out, a) }

func (s *Scheduler) after(d time.Duration, t timer) {
	s.next++
	s.timers[s.next] = t
	s.act(SetTimer{At: s.now + max(d, time.Millisecond), Token: s.next})
}

// find gives the attempt that an event is about, if it is still out.
func (s *Scheduler) find(id RequestID, n int, v ServerID) (*request, *attempt) {
	r := s.reqs[id]
	if r == nil || n < 0 || n >= len(r.attempts) || !r.attempts[n].out || r.attempts[n].srv.ID != v {
		return nil, nil
	}
	return r, r.attempts[n]
}

func (s *Scheduler) heard(v *server, rep Report) {
	if len(rep) > 0 {
		v.report, v.reportAt, v.sentSince = rep, s.now, 0
	}
}

func newServer(id ServerID) *server {
	return &server{ratio: 1, runs: prefix.Held{}, refuses: map[[2]string]time.Duration{}, hash: rendezvous.Hash(string(id))}
}

// running is the unfinished work that a server last reported, in requests of the mean prompt, 0
// without a report. Prompts differ by orders of magnitude: where tokens are told, they count. Of
// few nodes, whose own counts are in requests, requests do.
func (s *Scheduler) running(v *server) float64 {
	if waiting, told := v.report[ReportWaiting]; told && s.prompt > 0 && s.set.Nodes > manyNodes {
		return waiting * 1000 / s.prompt
	}
	return max(v.report[ReportInFlight], v.report[ReportQueue])
}

// score is the rank of a server for a key, alike at all nodes.
func (v *server) score(key uint64) uint64 { return rendezvous.Weight(v.hash, key) }

// homesIn gives n readers of a pool by the session's key, of so many by the prefix's.
func (r *request) homesIn(pool []*server, many, n int) []*server {
	prefix := cmp.Or(r.Prefix, r.Session)
	homes := rendezvous.Top(pool, many, func(v *server) uint64 { return v.score(prefix) })
	return rendezvous.Top(homes, n, func(v *server) uint64 { return v.score(r.Session) })
}

// byZone parts servers into those of this node's zone and others.
func (s *Scheduler) byZone(pool []*server) (near, far []*server) {
	for _, v := range pool {
		if v.Zone == s.set.Zone {
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
	far := &s.pace[writingFar]
	return max(far.Y-s.pace[writing].Y, 0) * math.Exp(-float64(s.now-far.Last)/float64(4*s.minAim))
}

// mean averages a figure over the listed servers of a role that have it.
func (s *Scheduler) mean(role Role, figure func(*server) (float64, bool)) (mean, n float64) {
	for _, v := range s.order {
		if x, ok := figure(v); ok && v.listed && v.role == role {
			n++
			mean += (x - mean) / n
		}
	}
	return mean, n
}

// parts gives the two runs of a prompt's leading blocks: what it shares with
// other sessions, then its session's own.
func (r *request) parts() []prefix.Part {
	all, shared := int(r.PromptTokens)/blockTokens, 0
	if r.Prefix != 0 {
		shared = min(int(r.PrefixTokens)/blockTokens, all)
	}
	return []prefix.Part{{Key: prefix.Key{Hash: r.Prefix}, Blocks: shared}, {Key: prefix.Key{Hash: r.Session, Own: true}, Blocks: all - shared}}
}

// match counts the leading tokens of a prompt that a server holds, and those
// that it surely holds.
func (s *Scheduler) match(r *request, v *server) (tokens, sure float64) {
	held, known := s.table.Match(s.now, v.runs, r.parts())
	return float64(held * blockTokens), float64(known * blockTokens)
}

// empty is a scheduler that knows its settings, and nothing of the fleet yet.
func empty(set Settings, seed int64) *Scheduler {
	s := &Scheduler{
		set: set, rng: rand.New(rand.NewSource(seed)), kinds: map[string]Kind{}, classes: map[string]*Class{},
		quota: map[string]float64{}, servers: map[ServerID]*server{}, zones: map[string]*health{},
		reqs: map[RequestID]*request{}, timers: map[uint64]timer{}, cost: map[*Class]float64{},
		asked: map[string]*trend.Rate{}, impatience: map[string]float64{},
		copies: 1, endsAt: math.MaxInt64, table: prefix.Table{MaxBlocks: maxBlocks, Expiry: blockExpiry},
		minAim: math.MaxInt64, topWorth: math.SmallestNonzeroFloat64,
		crowd: max(1-2/float64(set.Nodes), 0),
	}
	for _, kind := range set.Kinds {
		s.kinds[kind.Name] = kind
	}
	s.longest = min(mostMemory(set.Kinds, RoleRead), mostMemory(set.Kinds, RoleWrite))
	for i := range set.Classes {
		c := &set.Classes[i]
		s.classes[c.Name] = c
		s.topWorth = max(s.topWorth, c.Worth)
		s.minAim = min(s.minAim, c.Aim)
	}
	for _, t := range set.Tenants {
		s.quota[t.Name] = t.QuotaPerSec / float64(set.Nodes)
		s.asked[t.Name] = &trend.Rate{}
	}
	return s
}

// mostMemory is the memory in tokens of the largest kind of server of a stage, infinite where
// there is none or a kind does not tell its own.
func mostMemory(kinds []Kind, stage Role) float64 {
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
func (s *Scheduler) byCell(role Role, figure func(*server) (float64, bool)) (sum, n map[int]float64) {
	sum, n = map[int]float64{}, map[int]float64{}
	for _, v := range s.order {
		if x, ok := figure(v); ok && v.listed && v.role == role {
			sum[v.Cell] += x
			n[v.Cell]++
		}
	}
	return sum, n
}

// oldestWaits gives, by server of a role, when the oldest of this node's attempts was sent that
// have no answer yet.
func (s *Scheduler) oldestWaits(role Role) map[*server]time.Duration {
	oldest := map[*server]time.Duration{}
	for _, r := range s.reqs {
		for _, a := range r.attempts {
			if a.out && !a.begun && a.srv.role == role && (oldest[a.srv] == 0 || a.sent < oldest[a.srv]) {
				oldest[a.srv] = a.sent
			}
		}
	}
	return oldest
}

func stageOf(write bool, from, to *server) stage {
	switch {
	case !write:
		return reading
	case from != nil && from.Cell != to.Cell:
		return writingFar
	}
	return writing
}

// kind is what a throttle may tell requests apart by: a full server says so at
// once, one that takes its time has room and refuses this kind alone.
func (r *request) kind() [2]string { return [2]string{r.Class, r.Tenant} }

func reads(r Role) bool { return r == RoleRead }

func mixed(r Role) bool { return r == RoleMixed }

func writes(r Role) bool { return r != RoleRead }

// Handle takes in one event and appends the actions to out. Events come in
// the order of their times; stray ones are ignored.
func (s *Scheduler) Handle(now time.Duration, e Event, out []Action) []Action {
	s.now, s.out = max(now, s.now), out
	switch e := e.(type) {
	case MembershipUpdate:
		s.members(e)
	case Request:
		s.request(e)
	case AnswerStarted:
		s.first(e)
	case ReservationResult:
		s.placeNote(e)
	case Outcome:
		s.outcome(e)
	case ClientDisconnected:
		s.gone(e)
	case TimerFired:
		s.timer(e)
	case ProbeResult:
		s.probed(e)
	case Shutdown:
		s.ending(e)
	}
	out, s.out = s.out, nil
	return out
}
