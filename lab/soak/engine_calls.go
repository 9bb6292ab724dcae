package soak

import (
	"io"
	"net/http"
	"strings"
	"time"
)

// This file is what an engine does with calls that are no attempts.

// reserve answers the asking for a place.
func (e *engine) reserve(w http.ResponseWriter, r *http.Request) {
	id, asked, story, check := r.PathValue("id"), time.Now(), e.world.story, e.world.check
	check.reserves()
	switch {
	case !e.does(r.Context(), 0):
		abort()
	case e.chance(placeRefusals):
		w.WriteHeader(http.StatusConflict)
	case story.BlindPlaces || check.reading(id):
		check.holds(id, e.index, hold{place: true, unknown: connOf(r).ended(), since: asked})
		w.WriteHeader(http.StatusOK)
	case e.does(r.Context(), unknownAfter):
		w.WriteHeader(http.StatusNoContent)
	default:
		abort()
	}
}

// release lets go of what is held for a request. An engine that hangs does and does not answer.
func (e *engine) release(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	running := e.running
	e.mu.Unlock()
	<-running
	e.world.check.releases(strings.TrimPrefix(r.URL.Path, roomsPath), e.index)
	if !e.does(r.Context(), 0) {
		abort()
	}
	w.WriteHeader(http.StatusNoContent)
}

// probe answers with the load.
func (e *engine) probe(w http.ResponseWriter, r *http.Request) {
	e.world.check.probes()
	switch {
	case !e.world.story.Probes:
		w.WriteHeader(http.StatusNotFound)
	case !e.does(r.Context(), 0):
		abort()
	default:
		w.Header().Set(headerReport, e.report())
		_, _ = io.WriteString(w, e.report()) // the caller may have closed
	}
}
