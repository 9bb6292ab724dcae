package platform

import (
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"runtime/debug"
	"strconv"
	"time"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/gateway"
)

// NetHTTP is the platform's protocol on net/http. What a client sees is what it
// sees of a Server: bounds on what is read, events flushed as they come, a broken
// stream that ends the connection without the last chunk.
type NetHTTP struct {
	Handler Handler
	Front   string // to limits
	Log     *slog.Logger
}

// ServeHTTP answers a request. The client's leaving is noticed by the request's
// context, which net/http ends.
func (n *NetHTTP) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	begun := false // an answer has: nothing else may be said
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		if err, ok := p.(error); ok && errors.Is(err, http.ErrAbortHandler) {
			panic(p) // net/http's own way to break a connection
		}
		n.Log.Error("panic", "value", p, "stack", string(debug.Stack()))
		if begun {
			panic(http.ErrAbortHandler)
		}
		http.Error(w, "internal error", http.StatusInternalServerError)
	}()
	req, code, err := n.read(w, r)
	if err != nil {
		w.Header().Set("Connection", "close") // what follows may not begin where it seems to
		http.Error(w, err.Error(), code)
		return
	}
	reply, err := n.Handler.Serve(r.Context(), req)
	switch {
	case errors.Is(err, ashwood.ErrDuplicate):
		http.Error(w, err.Error(), http.StatusConflict)
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	switch reply.Kind {
	case gateway.Served:
		begun = true
		n.pass(w, reply.Stream)
	case gateway.Refused:
		if reply.RetryAfter > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(reply.RetryAfter/1000, 'f', 3, 64))
		}
		http.Error(w, refusedText, http.StatusServiceUnavailable)
	case gateway.Failed:
		http.Error(w, failedText(reply.Err), http.StatusBadGateway)
	default: // the client has left
		panic(http.ErrAbortHandler)
	}
}

// read takes a request in, within bounds of size and time.
func (n *NetHTTP) read(w http.ResponseWriter, r *http.Request) (*gateway.Request, int, error) {
	rc := http.NewResponseController(w)
	// A host's writer may not let the deadline be set; its own then holds.
	set := rc.SetReadDeadline(time.Now().Add(readTimeout)) == nil
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if set {
		_ = rc.SetReadDeadline(time.Time{}) // it could be set a moment ago
	}
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, http.StatusRequestEntityTooLarge, err
	case err != nil:
		return nil, http.StatusRequestTimeout, err
	}
	req, err := Parse(r.Method, r.URL.RequestURI(), body, func(name string) []string { return r.Header.Values(name) })
	if err != nil {
		return nil, http.StatusBadRequest, err
	}
	for name, values := range r.Header {
		for _, value := range values {
			pass(req, name, value)
		}
	}
	req.Front = n.Front
	if at, err := netip.ParseAddrPort(r.RemoteAddr); err == nil {
		req.ClientAddr = at.Addr().Unmap()
	}
	return req, 0, nil
}

// pass writes an answer as it comes.
func (n *NetHTTP) pass(w http.ResponseWriter, stream gateway.Stream) {
	defer stream.Close()
	rc := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	for {
		piece, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return
		}
		if err == nil {
			_ = rc.SetWriteDeadline(time.Now().Add(writeWait)) // where the host's writer lets it be set
			if _, err = w.Write(piece); err == nil {
				err = rc.Flush()
			}
		}
		if err != nil {
			n.Log.Debug("a stream broke", "err", err)
			panic(http.ErrAbortHandler)
		}
	}
}
