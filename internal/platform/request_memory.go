package platform

import (
	"errors"
	"net"
	"sync"
	"time"
)

// requestMemory limits the memory of a listener's requests: the bodies of those that are being read or served,
// and the bytes read ahead from connections whose request is served. When a body that is being read needs more
// than the limit leaves, the unfinished request that holds most is evicted: clients may begin requests and never
// finish them. A request that has been read whole is never evicted.
//
// Lock order: requestMemory.mu is taken last.
type requestMemory struct {
	mu         sync.Mutex
	maxBytes   int64 // for all processes of this gateway; 0 = no limit
	processes  int
	used       int64                    // by bodies and bytes read ahead
	evicting   int64                    // part of used that evicted requests have not released yet
	readAhead  int64                    // part of used, beyond what each connection may hold in any case
	released   sync.Cond                // signalled when used shrinks or a request is evicted
	unfinished map[*requestLease]uint64 // requests whose body is being read, with the order in which they began
	begun      uint64                   // number of requests that have begun
}

// requestLease is the memory of one request.
type requestLease struct {
	memory *requestMemory
	conn   net.Conn // from which the request is read

	// Guarded by memory.mu:
	bytes   int64
	evicted bool
}

// errEvicted is returned while a body is read whose memory is needed for other requests. The request has not run.
var errEvicted = errors.New("platform: no memory left for the request")

const (
	// readAheadDivisor bounds the bytes that connections may read ahead beyond maxReadAhead: to the limit divided by it.
	readAheadDivisor = 2
	// unlimitedReadAhead is that bound in bytes for a listener without a limit.
	unlimitedReadAhead = 4 << 20
)

func newRequestMemory() *requestMemory {
	m := &requestMemory{processes: 1, unfinished: map[*requestLease]uint64{}}
	m.released.L = &m.mu
	return m
}

// setMaxBytes sets the limit for all processes of this gateway; 0 = none.
func (m *requestMemory) setMaxBytes(maxBytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.maxBytes = maxBytes
}

// setProcesses divides the memory among the processes of this gateway.
func (m *requestMemory) setProcesses(processes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.processes = max(processes, 1)
	for len(m.unfinished) > 0 && !m.fits(0, m.evicting) {
		m.evictLargest()
	}
}

// fits reports whether n more bytes are within the limit, if excluded bytes are not counted. The caller holds m.mu.
func (m *requestMemory) fits(n, excluded int64) bool {
	return m.maxBytes == 0 || m.used-excluded+n <= m.maxBytes/int64(m.processes)
}

// begin returns the lease of a request whose body is about to be read.
func (m *requestMemory) begin(conn net.Conn) *requestLease {
	lease := &requestLease{memory: m, conn: conn}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.begun++
	m.unfinished[lease] = m.begun
	return lease
}

// grow counts n more bytes for a request whose body is being read. It waits while evicted requests still hold
// the memory, which they release whatever their clients do.
func (r *requestLease) grow(n int64) error {
	m := r.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	for !r.evicted && !m.fits(n, 0) {
		if !m.fits(n, m.evicting) {
			m.evictLargest()
			continue
		}
		m.released.Wait()
	}
	if r.evicted {
		return errEvicted
	}
	r.bytes += n
	m.used += n
	return nil
}

// evictLargest evicts the unfinished request that holds most, of equal ones the one that began first. There must be
// one. The caller holds m.mu.
func (m *requestMemory) evictLargest() {
	var largest *requestLease
	for lease, begun := range m.unfinished {
		if largest == nil || lease.bytes > largest.bytes || lease.bytes == largest.bytes && begun < m.unfinished[largest] {
			largest = lease
		}
	}
	delete(m.unfinished, largest)
	largest.evicted = true
	m.evicting += largest.bytes
	m.released.Broadcast() // it may be waiting itself
	// It wakes the reading goroutine. If it fails, the connection has ended.
	_ = largest.conn.SetReadDeadline(time.Unix(1, 0))
}

// shrink counts n bytes less for a request.
func (r *requestLease) shrink(n int64) {
	m := r.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	r.bytes -= n
	m.used -= n
	if r.evicted {
		m.evicting -= n
	}
	m.released.Broadcast()
}

// complete records that the body has been read whole. It fails if the request has been evicted.
func (r *requestLease) complete() error {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	if r.evicted {
		return errEvicted
	}
	delete(r.memory.unfinished, r)
	return nil
}

// release ends the lease. It may be called more than once.
func (r *requestLease) release() {
	r.memory.mu.Lock()
	delete(r.memory.unfinished, r)
	bytes := r.bytes
	r.memory.mu.Unlock()
	r.shrink(bytes)
}

// countReadAhead changes the bytes that a connection has read ahead.
func (m *requestMemory) countReadAhead(from, to int64) {
	if from == to {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used += to - from
	m.readAhead += max(to-maxReadAhead, 0) - max(from-maxReadAhead, 0)
	m.released.Broadcast()
}

// mayReadAhead reports whether a connection may read ahead beyond what each may hold in any case.
func (m *requestMemory) mayReadAhead() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	limit := int64(unlimitedReadAhead)
	if m.maxBytes > 0 {
		limit = m.maxBytes / int64(m.processes) / readAheadDivisor
	}
	return m.readAhead < limit && m.fits(0, 0)
}
