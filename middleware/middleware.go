// Package middleware puts a router into a host's server: Fiber, net/http or gRPC.
// Requests are in the platform's form, or over gRPC of the Inference service; what
// clients see is what they see of the daemon. Each is thin over the same core; the
// host starts and stops the router.
package middleware

import (
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

// Handler takes requests to their answers; *router.Router is one.
type Handler = platform.Handler

// Names of the fronts to limits.
const (
	FrontFiber = "fiber"
	FrontHTTP  = "nethttp"
	FrontGRPC  = "grpc"
)

// Fiber is a handler for a Fiber application. It answers every request that it is
// given.
func Fiber(h Handler) fiber.Handler {
	return func(c fiber.Ctx) error {
		platform.HandleFastHTTP(c.RequestCtx(), h, FrontFiber)
		return nil
	}
}

// Listener wraps the one that a Fiber application listens on, for app.Listener.
// Without it, a client that leaves before its first token is not noticed, and
// one that never sends a whole request is waited for. A connection's first
// request has two seconds; the application's ReadTimeout bounds later ones.
func Listener(l net.Listener) net.Listener { return platform.WrapListener(l) }

// HTTP is a handler for net/http. It answers every request that it is given. The
// log is for what goes wrong beside the answers; nil for none.
//
// net/http itself settles a request that has both Content-Length and
// Transfer-Encoding; the body that it read goes on with a length alone.
func HTTP(h Handler, log *slog.Logger) http.Handler {
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	return &platform.NetHTTP{Handler: h, Front: FrontHTTP, Log: log}
}

// Wrap is middleware for net/http: requests that match are routed, the others go
// to the next handler.
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

// GRPC has a host's gRPC server answer Inference calls. The settings are the
// router's; log may be nil.
func GRPC(host grpc.ServiceRegistrar, h Handler, set ashwood.Settings, log *slog.Logger) {
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	grpcfront.Register(host, h, set, gateway.SystemClock(), log)
}
