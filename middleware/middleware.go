// Package middleware connects a router to a server of the host application: Fiber, net/http or
// gRPC. Requests have the platform's HTTP format or, over gRPC, are calls of the Inference
// service; clients get the same answers as from the daemon. The package only translates: the
// router decides, and the host starts and stops the router.
package middleware

import (
	"context"
	"log/slog"
	"net"
	"net/http"

	"github.com/gofiber/fiber/v3"
	"google.golang.org/grpc"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/gateway"
	"ashwood.example/ashwood/internal/grpcfront"
	"ashwood.example/ashwood/internal/platform"
)

// Handler answers requests; *router.Router implements it.
type Handler = platform.Handler

// Names of the fronts, for limits.
const (
	FrontFiber = "fiber"
	FrontHTTP  = "nethttp"
	FrontGRPC  = "grpc"
)

// Fiber returns a handler for a Fiber application. It answers every request that it gets.
func Fiber(h Handler) fiber.Handler {
	return func(c fiber.Ctx) error {
		platform.HandleFastHTTP(c.RequestCtx(), h, FrontFiber)
		return nil
	}
}

// Listener wraps the listener of a Fiber application, for app.Listener. Without it, a client
// that disconnects before its first token is not noticed, and one that never sends a complete
// request is waited for. The first request of a connection must arrive within two seconds; the
// application's ReadTimeout limits later ones.
func Listener(l net.Listener) net.Listener { return platform.WrapListener(l) }

// ConnContext is for the ConnContext of a host's http.Server. Without it, a client that closes its connection behind bytes that it has sent
// ahead of its answer is not noticed.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return platform.ConnContext(ctx, conn)
}

// HTTP returns a handler for net/http. It answers every request that it gets. The log gets
// faults that no answer shows; nil logs nothing.
//
// net/http itself resolves a request with both Content-Length and Transfer-Encoding; the body
// that it read is sent on with a Content-Length only.
func HTTP(h Handler, log *slog.Logger) http.Handler {
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	return &platform.NetHTTP{Handler: h, Front: FrontHTTP, Log: log}
}

// Wrap returns middleware for net/http: requests that match are routed, all others go to the
// next handler.
func Wrap(h Handler, log *slog.Logger, match func(*http.Request) bool) func(http.Handler) http.Handler {
	route := HTTP(h, log)
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if match(r) {
				route.ServeHTTP(w, r)
				return
			}
			next.ServeHTTP(w, r)
		})
	}
}

// GRPC registers the Inference service on the host's gRPC server. The settings are those of the
// router; log may be nil.
func GRPC(host grpc.ServiceRegistrar, h Handler, settings ashwood.Settings, log *slog.Logger) {
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	grpcfront.Register(host, h, settings, gateway.SystemClock(), log)
}
