package engine

// State tells whether an engine's process runs and can be reached.
type State string

// The states of an engine.
const (
	Up     State = "up"
	Down   State = "down"   // the process has ended: connects are refused
	Silent State = "silent" // the machine is unreachable: nothing is sent, connects time out
)

// StreamFault is what goes wrong with an answer's stream; it is drawn when the
// attempt arrives.
type StreamFault int

// The faults of streams.
const (
	StreamIntact         StreamFault = iota
	StreamBreaks                     // the connection ends some tokens after the first
	StreamStalls                     // nothing follows after the first tokens, the connection stays open
	StreamMalformedHead              // malformed bytes are sent in place of the response head
	StreamMalformedChunk             // malformed bytes are sent in place of the second chunk
)

// Condition is an engine's present condition with the effect of all active faults.
// Shares are of attempts.
type Condition struct {
	State               State
	ColdCrashed         bool    // overloaded while cold: down until it is restarted by hand
	Draining            bool    // finishes what it has and rejects new work
	Hung                bool    // accepts work and answers nothing
	Paused              bool    // does no work; calls that need none are answered
	Refusing            bool    // rejects all new work
	SlowFactor          float64 // how many times longer its work takes
	LinkSlowFactor      float64 // how many times longer KV states take over its local link
	ErrorShare          float64 // share that ends with an error
	BreakShare          float64 // share of answers whose connection breaks after they have begun
	StallShare          float64 // share of answers that stall with the connection open
	MalformedHeadShare  float64 // share of answers that begin with malformed bytes
	MalformedChunkShare float64 // share of answers whose second chunk is malformed
	MalformedReports    bool    // load reports are malformed
}

// engine is the state of one engine.
type engine struct {
	spec         Spec
	kind         Kind
	speed        float64
	condition    Condition
	startedAt    float64
	cache        *cache
	localLink    *link // to engines of its cell
	uplink       *link // of its cell, to all other cells
	reports      reportHistory
	conns        int
	pinned       float64 // tokens in use by attempts, KV states and reservations; cached prompts are not among them
	queue        []*job
	running      []*job // in the order of their admission
	fetching     []*job
	kvStates     []*hold // waiting in this engine's memory
	reservations []*hold // held here, with KV states already transferred to them
	overheadMs   float64 // of connections and probes, added to the next step
	stepActive   bool
	stepOverdue  bool // the step's time has passed while the engine hung or was paused
	incarnation  int  // counts starts; timers of an earlier incarnation are ignored
	coldWork     []arrival
}

type arrival struct{ at, ms float64 }

// job is an attempt at an engine.
type job struct {
	Job
	call          Call
	engine        *engine
	hold          *hold
	arrivedAt     float64
	cachedTokens  float64 // prompt tokens found in the prefix cache
	prefillCached int     // prompt tokens found in the prefill engine's cache
	prefilled     float64 // prompt tokens computed so far
	pinned        float64 // tokens of the engine's memory that it uses
	plannedTokens float64 // tokens to compute in the current step
	decodes       bool    // the current step generates a token
	recompute     bool    // preempted for lack of memory: prompt and answer so far are computed again
	produced      int
	unsent        int
	answerLength  int // of the complete answer
	streamFault   StreamFault
	faultAt       int // tokens after which the stream fault happens
	fails         bool
	abandoned     bool // the caller has cancelled it
}

// remainingPrefill returns how many tokens are still to be computed.
func (j *job) remainingPrefill() float64 {
	if j.engine.kind.Role == RoleDecode && !j.recompute {
		return 0
	}
	total := j.Prompt.Tokens
	if j.recompute {
		total += float64(j.produced)
	}
	return max(0, total-j.cachedTokens-j.prefilled)
}

// pin takes memory of the engine for a job; a negative amount returns it.
func (eng *engine) pin(j *job, tokens float64) {
	j.pinned += tokens
	eng.pinned += tokens
}

// fits tells whether so many tokens fit beside the pinned ones. Cached prompts are
// evicted for them.
func (eng *engine) fits(tokens float64) bool { return eng.pinned+tokens <= eng.kind.MemoryTokens }

// evictForPinned evicts cached prompts until the pinned tokens fit.
func (eng *engine) evictForPinned() {
	if excess := eng.pinned + eng.cache.used - eng.kind.MemoryTokens; excess > 0 {
		eng.cache.evict(excess)
	}
}

func (eng *engine) slotsTaken() int {
	return len(eng.running) + len(eng.fetching) + len(eng.reservations)
}

// capacity is the engine's present capacity, as a share of that of a warm engine of
// speed 1.
func (f *Fleet) capacity(eng *engine) float64 {
	connFactor := 1 - eng.kind.FullConnsCost*min(1, float64(eng.conns)/float64(eng.kind.MaxConns))
	return f.warmShare(eng) * eng.speed * connFactor / eng.condition.SlowFactor
}

// warmShare grows linearly from the cold share at the start to 1.
func (f *Fleet) warmShare(eng *engine) float64 {
	since := f.now - eng.startedAt
	if eng.kind.WarmUpMs <= 0 || since >= eng.kind.WarmUpMs {
		return 1
	}
	return eng.kind.ColdCapacity + (1-eng.kind.ColdCapacity)*max(0, since)/eng.kind.WarmUpMs
}

// addColdWork counts work sent to a cold engine. An engine that is sent more than
// the allowed multiple of its present capacity crashes.
func (f *Fleet) addColdWork(eng *engine, class string) {
	if f.warmShare(eng) >= 1 {
		eng.coldWork = nil
		return
	}
	window := f.cfg.Cold.WindowMs
	eng.coldWork = append(eng.coldWork, arrival{f.now, f.meanWork(eng.kind, class)})
	for len(eng.coldWork) > 0 && eng.coldWork[0].at < f.now-window {
		eng.coldWork = eng.coldWork[1:]
	}
	sum := 0.0
	for _, w := range eng.coldWork {
		sum += w.ms
	}
	if sum > f.cfg.Cold.Multiple*(1+f.cfg.Cold.Tolerance)*f.capacity(eng)*window {
		eng.condition.ColdCrashed = true
		f.stopEngine(eng, Down)
	}
}

// meanWork is the mean work of a request of a class at an engine of a kind, in ms of
// a warm engine of speed 1 with half its slots in use.
func (f *Fleet) meanWork(k Kind, class string) float64 {
	c := f.classes[class]
	if k.Role == RolePrefill {
		return c.PrefillTokens * 1000 / k.PrefillPerS
	}
	batch := max(1, float64(k.Slots)/2)
	step := k.StepMs + batch*k.PerSeqMs
	return c.OutputTokens * step / batch
}

// Send brings an attempt to an engine. Its events follow; a hung engine emits none.
func (f *Fleet) Send(id string, spec Job) (Call, error) {
	eng, err := f.reachable(id)
	if err != nil {
		return 0, err
	}
	f.lastCall++
	j := &job{Job: spec, call: f.lastCall, engine: eng, arrivedAt: f.now}
	f.calls[j.call] = j
	f.addColdWork(eng, spec.Class)
	if eng.condition.State != Up { // this attempt has crashed it
		f.emit(Event{Kind: EventLost, Call: j.call, Engine: id})
		delete(f.calls, j.call)
		return j.call, nil
	}
	j.answerLength = AnswerTokens(f.cfg.Seed, f.classes[spec.Class], spec.Prompt.Session, int(spec.Prompt.Tokens), spec.MaxOutputTokens)
	f.drawFaults(j)
	switch {
	case eng.condition.Hung:
		f.enqueueAtHung(j)
	case eng.condition.Draining:
		f.reject(j, EventRejected, "draining")
	case eng.condition.Refusing:
		f.reject(j, EventRejected, "refusing")
	case eng.kind.Role == RolePrefill:
		f.enqueuePrefill(j)
	default:
		f.enqueueDecode(j)
	}
	return j.call, nil
}

// enqueueAtHung queues an attempt at a hung engine. It is answered once the engine
// has recovered, if at all.
func (f *Fleet) enqueueAtHung(j *job) {
	eng := j.engine
	if len(eng.queue) >= eng.kind.MaxQueue {
		delete(f.calls, j.call) // never answered
		return
	}
	eng.queue = append(eng.queue, j)
	f.createHold(j)
	if h := f.holds[j.Request]; eng.kind.Role == RoleDecode && !h.hasNoState() && h.waiter == nil {
		f.cancelReservation(h)
		j.hold, h.waiter = h, j
	}
}

// isFull tells whether the queue and, with an empty queue, the slots have no room
// for one more attempt.
func (eng *engine) isFull() bool {
	return len(eng.queue) >= eng.kind.MaxQueue && (len(eng.queue) > 0 || eng.slotsTaken() >= eng.kind.Slots)
}

// drawFaults draws at random which faults an attempt meets.
func (f *Fleet) drawFaults(j *job) {
	c := j.engine.condition
	j.fails = f.rng.Float64() < j.engine.kind.ErrorRate+c.ErrorShare
	at := f.rng.Float64()
	for _, choice := range []struct {
		share float64
		fault StreamFault
	}{{c.BreakShare, StreamBreaks}, {c.StallShare, StreamStalls}, {c.MalformedHeadShare, StreamMalformedHead}, {c.MalformedChunkShare, StreamMalformedChunk}} {
		if at < choice.share {
			j.streamFault = choice.fault
			break
		}
		at -= choice.share
	}
	j.faultAt = 2 + f.rng.IntN(12)
}

// reachable returns an engine whose process can be reached.
func (f *Fleet) reachable(id string) (*engine, error) {
	eng := f.engines[id]
	switch {
	case eng == nil:
		return nil, ErrUnknownEngine
	case eng.condition.State != Up:
		return nil, ErrNotRunning
	}
	return eng, nil
}

// reject ends an attempt that never ran.
func (f *Fleet) reject(j *job, kind EventKind, reason string) {
	f.finish(j, Event{Kind: kind, Reason: reason})
}

// finish ends an attempt with an event. No event is emitted if the caller has
// cancelled the attempt or the engine hangs.
func (f *Fleet) finish(j *job, e Event) {
	if _, ok := f.calls[j.call]; !ok {
		return
	}
	delete(f.calls, j.call)
	if j.hold != nil && j.hold.waiter == j {
		j.hold.waiter = nil
	}
	if j.abandoned || j.engine.condition.Hung {
		return
	}
	e.Call, e.Engine, e.Report = j.call, j.engine.spec.ID, f.report(j.engine)
	f.emit(e)
}

// startStep starts a step if there is work and none is active.
func (f *Fleet) startStep(eng *engine) {
	f.refresh(eng)
	if eng.condition.State != Up || eng.condition.Hung || eng.condition.Paused {
		return
	}
	f.admit(eng)
	if eng.stepActive {
		return
	}
	var ms float64
	if eng.kind.Role == RolePrefill {
		ms = f.planPrefillStep(eng)
	} else {
		ms = f.planDecodeStep(eng)
	}
	if len(eng.running) == 0 {
		eng.overheadMs = 0 // the engine was idle: the overhead delays no work
		return
	}
	ms = ms/f.capacity(eng) + eng.overheadMs
	eng.overheadMs = 0
	eng.stepActive = true
	incarnation := eng.incarnation
	f.after(ms, func() { f.endStep(eng, incarnation) })
}

// endStep ends a step; while the engine hangs or is paused, the step stays open.
func (f *Fleet) endStep(eng *engine, incarnation int) {
	if eng.incarnation != incarnation {
		return
	}
	if eng.condition.Hung || eng.condition.Paused {
		eng.stepOverdue = true // resume ends it
		return
	}
	eng.stepActive, eng.stepOverdue = false, false
	if eng.kind.Role == RolePrefill {
		f.endPrefillStep(eng)
	} else {
		f.endDecodeStep(eng)
	}
	f.startStep(eng)
}

// resume continues after a hang or a pause: a step whose time has passed ends now.
func (f *Fleet) resume(eng *engine) {
	if eng.stepOverdue {
		f.endStep(eng, eng.incarnation)
		return
	}
	f.startStep(eng)
}

// admit takes attempts from the queue in FIFO order while there is room.
func (f *Fleet) admit(eng *engine) {
	for len(eng.queue) > 0 {
		j := eng.queue[0]
		if j.abandoned && eng.kind.Cancel != CancelIgnored { // cancelled while the engine hung
			eng.queue = eng.queue[1:]
			f.dropPrefill(j)
			f.finish(j, Event{})
			continue
		}
		if eng.kind.DropExpired && !j.recompute && f.now > j.arrivedAt+j.Remaining {
			eng.queue = eng.queue[1:]
			f.dropPrefill(j)
			f.reject(j, EventRejected, ReasonExpired)
			continue
		}
		var admitted bool
		if eng.kind.Role == RolePrefill {
			admitted = f.admitPrefill(eng, j)
		} else {
			admitted = f.admitDecode(eng, j)
		}
		if !admitted {
			return
		}
	}
}

// remove deletes an element from a list in place.
func remove[T comparable](list []T, v T) []T {
	for i, other := range list {
		if other == v {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}
