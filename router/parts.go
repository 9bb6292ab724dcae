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

// HTTPEngines returns a constructor, for WithTransport, of the transport to engines that speak
// the platform's HTTP/1.1 protocol. It opens at most this number of connections.
func HTTPEngines(connections int) func(ashwood.Settings, gateway.Clock) (Transport, error) {
	return func(settings ashwood.Settings, clock gateway.Clock) (Transport, error) {
		return platform.NewEngines(settings, clock, connections), nil
	}
}

// GRPCEngines returns a constructor, for WithTransport, of the transport to engines that
// serve the gRPC Box service. Without credentials, connections are in plain text.
func GRPCEngines(creds credentials.TransportCredentials) func(ashwood.Settings, gateway.Clock) (Transport, error) {
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	return func(settings ashwood.Settings, clock gateway.Clock) (Transport, error) {
		return grpcfront.NewEngines(settings, creds, clock), nil
	}
}

// Static is a source whose membership never changes.
type Static []ashwood.Server

// Run reports the membership once, as a snapshot, and then waits for ctx to end.
func (s Static) Run(ctx context.Context, update func(ashwood.MembershipForm, []ashwood.Server)) error {
	update(ashwood.MembershipSnapshot, s)
	<-ctx.Done()
	return nil
}

// Platform is the source that follows the platform's discovery service.
type Platform struct{ discovery *platform.Discovery }

// NewPlatform makes a source for the discovery service at an address. Of the options, it
// uses the clock and the logger.
func NewPlatform(addr string, opts ...Option) *Platform {
	o := resolveOptions(opts)
	return &Platform{platform.NewDiscovery(addr, o.clock, o.logger)}
}

// SetAddress changes the address of the discovery service. The current membership stays.
func (p *Platform) SetAddress(addr string) { p.discovery.SetAddress(addr) }

// ResumeFrom sets the version of the membership that the Router begins with
// (Config.LastKnownEngines), so that the first watch continues from there. It must be called
// before Start.
func (p *Platform) ResumeFrom(version int64) { p.discovery.ResumeFrom(version) }

// Configure takes the number of gateways and the form of membership reports from a Router's
// settings: where all gateways poll the discovery service, each polls it less often. The seed
// makes their waits differ. It must be called before Start.
func (p *Platform) Configure(settings ashwood.Settings, seed int64) {
	p.discovery.Configure(settings, seed)
}

// SetProcesses sets how many processes run as this one gateway during a handover: where all
// gateways poll the discovery service, each process makes its share of the calls.
func (p *Platform) SetProcesses(processes int) { p.discovery.SetProcesses(processes) }

// Run watches the membership until ctx ends.
func (p *Platform) Run(ctx context.Context, update func(ashwood.MembershipForm, []ashwood.Server)) error {
	p.discovery.Run(ctx, update)
	return nil
}

// XDS is the source that follows the clusters and endpoints of an Envoy management server.
type XDS struct {
	Server      string   // host:port
	Node        string   // id of this node
	Clusters    []string // names; none = all clusters of the server
	Credentials credentials.TransportCredentials
	options     []Option
}

// With returns a copy of the source that takes its clock and its logger from opts.
func (x XDS) With(opts ...Option) XDS {
	x.options = opts
	return x
}

// Run follows the management server until ctx ends.
func (x XDS) Run(ctx context.Context, update func(ashwood.MembershipForm, []ashwood.Server)) error {
	o := resolveOptions(x.options)
	if x.Credentials == nil {
		x.Credentials = insecure.NewCredentials()
	}
	cfg := xds.Config{Server: x.Server, Node: x.Node, Clusters: x.Clusters, Credentials: x.Credentials}
	return xds.New(cfg, o.clock, o.logger, update).Run(ctx)
}

// resolveOptions applies opts to the default options.
func resolveOptions(opts []Option) options {
	o := options{clock: gateway.SystemClock(), logger: slog.New(slog.DiscardHandler), transport: HTTPEngines(defaultConnections), onDrain: noop, onRefuse: noop}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

func noop() {}
