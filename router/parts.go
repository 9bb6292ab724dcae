package router

import (
	"context"
	"log/slog"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/gateway"
	"ashwood.example/ashwood/internal/grpcfront"
	"ashwood.example/ashwood/internal/platform"
	"ashwood.example/ashwood/internal/xds"
)

// HTTPEngines is the transport to engines of the platform's HTTP/1.1 protocol,
// with at most so many connections.
func HTTPEngines(connections int) func(ashwood.Settings, gateway.Clock) (Transport, error) {
	return func(set ashwood.Settings, c gateway.Clock) (Transport, error) {
		return platform.NewEngines(set, c, connections), nil
	}
}

// GRPCEngines is the transport to boxes of the gRPC Box service. Without
// credentials, connections are in plain text.
func GRPCEngines(creds credentials.TransportCredentials) func(ashwood.Settings, gateway.Clock) (Transport, error) {
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	return func(set ashwood.Settings, c gateway.Clock) (Transport, error) {
		return grpcfront.NewEngines(set, creds, c), nil
	}
}

// Static is a list that stays as it is.
type Static []ashwood.Server

// Run tells of the list once.
func (s Static) Run(ctx context.Context, update func(ashwood.MembershipForm, []ashwood.Server)) error {
	update(ashwood.MembershipSnapshot, s)
	<-ctx.Done()
	return nil
}

// Platform is the platform's discovery. Move has it asked at another address.
type Platform struct{ d *platform.Discovery }

// NewPlatform follows discovery at an address.
func NewPlatform(addr string, opts ...Option) *Platform {
	o := resolve(opts)
	return &Platform{platform.NewDiscovery(addr, o.clock, o.log)}
}

// Move has discovery asked at another address from now on; the list in hand stays.
func (p *Platform) SetAddress(addr string) { p.d.SetAddress(addr) }

// Known says which version of the list the Router's Known is, so that a watch
// goes on from there. It is to be called before Start.
func (p *Platform) ResumeFrom(version int64) { p.d.ResumeFrom(version) }

// Fleet says how many gateways there are and how lists come, by a Router's settings: a
// discovery that all ask is asked less often by each. The seed makes their waits
// differ. It is to be called before Start.
func (p *Platform) Configure(set ashwood.Settings, seed int64) { p.d.Configure(set, seed) }

// Share says how many processes ask in the place of one gateway while one takes the
// other's place: at a discovery that all ask, each makes its part of the calls.
func (p *Platform) SetProcesses(processes int) { p.d.SetProcesses(processes) }

// Run watches until ctx ends.
func (p *Platform) Run(ctx context.Context, update func(ashwood.MembershipForm, []ashwood.Server)) error {
	p.d.Run(ctx, update)
	return nil
}

// XDS is an Envoy management server whose clusters and endpoints are followed.
type XDS struct {
	Server      string   // host:port
	Node        string   // id of this node
	Clusters    []string // names; none = all that the server has
	Credentials credentials.TransportCredentials
	opts        []Option
}

// With has the source use a Router's options for clock and log.
func (x XDS) With(opts ...Option) XDS {
	x.opts = opts
	return x
}

// Run follows the server until ctx ends.
func (x XDS) Run(ctx context.Context, update func(ashwood.MembershipForm, []ashwood.Server)) error {
	o := resolve(x.opts)
	if x.Credentials == nil {
		x.Credentials = insecure.NewCredentials()
	}
	cfg := xds.Config{Server: x.Server, Node: x.Node, Clusters: x.Clusters, Credentials: x.Credentials}
	return xds.New(cfg, o.clock, o.log, update).Run(ctx)
}

// resolve gives options their defaults.
func resolve(opts []Option) options {
	o := options{clock: gateway.SystemClock(), log: slog.New(slog.DiscardHandler), transport: HTTPEngines(defaultConnections), drained: nothing, refused: nothing}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

func nothing() {}
