package ashwood

import "hash/maphash"

// ranRecord remembers the ids of requests that may have run, for some time after their end: a client may
// send such a request again, and it must not run twice. Its memory is bounded, whatever ids clients make up.
type ranRecord struct {
	seed    maphash.Seed
	endedAt map[uint64]float64 // ms of the clock, by the hash of the id
	ended   []endedRequest     // the oldest first
}

type endedRequest struct {
	hash uint64
	at   float64 // ms of the clock
}

const (
	// ranRetention is how many ms an id is remembered. Clients that come again do so within the time that they wait.
	ranRetention = 120e3
	// maxRanIDs bounds the ids; beyond it the oldest is forgotten.
	maxRanIDs = 16384
)

func newRanRecord() ranRecord {
	return ranRecord{seed: maphash.MakeSeed(), endedAt: map[uint64]float64{}}
}

// add remembers an id at a time, and forgets those that are too old.
func (r *ranRecord) add(id RequestID, now float64) {
	hash := maphash.String(r.seed, string(id))
	r.endedAt[hash] = now
	r.ended = append(r.ended, endedRequest{hash, now})
	for len(r.ended) > maxRanIDs || now-r.ended[0].at > ranRetention {
		if oldest := r.ended[0]; r.endedAt[oldest.hash] == oldest.at {
			delete(r.endedAt, oldest.hash)
		}
		r.ended = r.ended[1:]
	}
}

// contains reports whether an id is remembered at a time.
func (r *ranRecord) contains(id RequestID, now float64) bool {
	at, ok := r.endedAt[maphash.String(r.seed, string(id))]
	return ok && now-at <= ranRetention
}
