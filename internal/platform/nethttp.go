package platform

import (
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"runtime/debug"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/gateway"
)

// NetHTTP serves the platform's protocol on net/http. Clients see the same as from a Server: bounds on
// what is read, events flushed as they arrive, and a broken stream ends the connection without the
// last chunk.
type NetHTTP struct {
	Handler Handler
	Front   string // name of the front in package limits
	Log     *slog.Logger

	quickAnswersOnce sync.Once
	quickAnswers     *rate.Limiter // over all connections, which the host's server doesn't tell apart
}

// ServeHTTP answers a request. A client's disconnect is noticed through the request's context, which
// net/http cancels, and where the host's server has ConnContext, before each attempt through the connection itself.
func (n *NetHTTP) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	streamStarted := false // once an answer has started, no other status can be sent
	defer func() {
		value := recover()
		if value == nil {
			return
		}
		if err, ok := value.(error); ok && errors.Is(err, http.ErrAbortHandler) {
			panic(value) // net/http's own way to abort a connection
		}
		n.Log.Error("panic", "value", value, "stack", string(debug.Stack()))
		if streamStarted {
			panic(http.ErrAbortHandler)
		}
		http.Error(w, "internal error", http.StatusInternalServerError)
	}()
	req, code, err := n.readRequest(w, r)
	if err != nil {
		n.rejectRequest(w, code, err)
		return
	}
	conn := hostConnOf(r)
	if conn != nil {
		req.ClientLeft = conn.clientLeft
	}
	reply, err := n.Handler.Serve(r.Context(), req)
	if conn != nil && conn.dropped.Load() {
		w.Header().Set("Connection", "close")
	}
	switch {
	case errors.Is(err, ashwood.ErrDuplicate):
		n.rejectRequest(w, http.StatusConflict, err)
		return
	case err != nil:
		n.rejectRequest(w, http.StatusBadRequest, err)
		return
	}
	switch reply.Kind {
	case gateway.Served:
		streamStarted = true
		n.writeStream(w, reply.Stream)
	case gateway.Refused:
		if !n.mayKeepAfterQuickAnswer() {
			w.Header().Set("Connection", "close")
		}
		if reply.RetryAfter > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(reply.RetryAfter/1000, 'f', 3, 64))
		}
		http.Error(w, refusedText, http.StatusServiceUnavailable)
	case gateway.Failed:
		http.Error(w, failedText(reply.Err), http.StatusBadGateway)
	default: // the client has disconnected
		panic(http.ErrAbortHandler)
	}
}

// mayKeepAfterQuickAnswer counts an answer without an engine's work, and reports whether the connection may be kept.
func (n *NetHTTP) mayKeepAfterQuickAnswer() bool {
	n.quickAnswersOnce.Do(func() { n.quickAnswers = newQuickAnswerLimit(quickAnswersPerFront) })
	return n.quickAnswers.Allow()
}

// rejectRequest answers a request that is not sound and closes its connection, as the platform's own server does.
func (n *NetHTTP) rejectRequest(w http.ResponseWriter, code int, err error) {
	w.Header().Set("Connection", "close")
	http.Error(w, err.Error(), code)
}

// readRequest reads a request within bounds of size and time.
func (n *NetHTTP) readRequest(w http.ResponseWriter, r *http.Request) (*gateway.Request, int, error) {
	rc := http.NewResponseController(w)
	// A host's writer may not support read deadlines; its own then applies.
	deadlineSet := rc.SetReadDeadline(time.Now().Add(readTimeout)) == nil
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBody))
	if deadlineSet {
		_ = rc.SetReadDeadline(time.Time{}) // setting it worked a moment ago
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, http.StatusRequestEntityTooLarge, err
	case err != nil:
		return nil, http.StatusRequestTimeout, err
	}
	req, err := ParseRequest(r.Method, r.URL.RequestURI(), body, func(name string) []string { return r.Header.Values(name) })
	if err != nil {
		return nil, http.StatusBadRequest, err
	}
	for name, values := range r.Header {
		for _, value := range values {
			forwardHeader(req, name, value)
		}
	}
	req.Front = n.Front
	if addr, err := netip.ParseAddrPort(r.RemoteAddr); err == nil {
		req.ClientAddr = addr.Addr().Unmap()
	}
	return req, 0, nil
}

// writeStream writes an answer piece by piece as it arrives.
func (n *NetHTTP) writeStream(w http.ResponseWriter, stream gateway.Stream) {
	defer stream.Close()
	rc := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	for {
		piece, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return
		}
		if err == nil {
			_ = rc.SetWriteDeadline(time.Now().Add(writeTimeout)) // if the host's writer supports it
			if _, err = w.Write(piece); err == nil {
				err = rc.Flush()
			}
		}
		if err != nil {
			n.Log.Debug("answer to a client broke off", "err", err)
			panic(http.ErrAbortHandler)
		}
	}
}
