// Package xds follows Envoy's clusters and endpoints over an aggregated
// discovery stream (ADS, state of the world) and turns them into the module's
// list of engines.
package xds

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"maps"
	"net"
	"slices"
	"strconv"
	"time"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	rpcstatus "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/structpb"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/internal/clock"
)

// Type URLs of the resources that are followed.
const (
	typeCluster  = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
	typeEndpoint = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
)

// metadataKey is the filter name under which clusters and endpoints tell what
// Envoy has no field for: a cluster its "kind" (otherwise its name is the
// kind), an endpoint its "id" (otherwise its address), its "cell" (otherwise
// its sub-zone) and "started_at_ms".
const metadataKey = "ashwood"

const (
	pauseFirst = 100.0 // ms after a stream has ended, doubling
	pauseMost  = 5000.0
	pingEvery  = 20 * time.Second
	pingWait   = 5 * time.Second
)

// Config tells whom to follow, and as whom.
type Config struct {
	Server   string   `toml:"server"`   // host:port of the management server
	Node     string   `toml:"node"`     // id of this node; by default the gateway's name
	Clusters []string `toml:"clusters"` // names of clusters; none = all that the server has

	Credentials credentials.TransportCredentials `toml:"-"`
}

// Client follows a management server.
type Client struct {
	cfg    Config
	clock  clock.Clock
	log    *slog.Logger
	update func(ashwood.MembershipForm, []ashwood.Server)

	versions  map[string]string // last accepted, by type
	clusters  map[string]cluster
	endpoints map[string][]*endpointv3.LocalityLbEndpoints // by service name; nil = not told yet
}

// cluster is what is kept of an Envoy cluster.
type cluster struct {
	kind    string
	service string // its name in EDS, "" where the endpoints came with the cluster
	inline  []*endpointv3.LocalityLbEndpoints
}

// New makes a client that tells update of each change, as a whole list.
func New(cfg Config, c clock.Clock, log *slog.Logger, update func(ashwood.MembershipForm, []ashwood.Server)) *Client {
	return &Client{
		cfg: cfg, clock: c, log: log, update: update, versions: map[string]string{},
		clusters: map[string]cluster{}, endpoints: map[string][]*endpointv3.LocalityLbEndpoints{},
	}
}

// Run follows the server until ctx ends. While the server is gone, the list in
// hand stays.
func (c *Client) Run(ctx context.Context) error {
	cc, err := grpc.NewClient("passthrough:///"+c.cfg.Server, grpc.WithTransportCredentials(c.cfg.Credentials),
		grpc.WithDisableServiceConfig(), grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingEvery, Timeout: pingWait}))
	if err != nil {
		return fmt.Errorf("xds: %s: %w", c.cfg.Server, err)
	}
	defer cc.Close()
	pause := pauseFirst
	for ctx.Err() == nil {
		told, err := c.follow(ctx, cc)
		if told {
			pause = pauseFirst
		}
		c.log.Warn("xds: the stream has ended", "err", err)
		clock.Wait(ctx, c.clock, pause)
		pause = min(2*pause, pauseMost)
	}
	return ctx.Err()
}

// follow runs one stream; told says whether it brought anything.
func (c *Client) follow(ctx context.Context, cc *grpc.ClientConn) (told bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := discoveryv3.NewAggregatedDiscoveryServiceClient(cc).StreamAggregatedResources(ctx, grpc.WaitForReady(true))
	if err != nil {
		return false, err
	}
	asked := c.services()
	if err := s.Send(c.ask(typeCluster, c.cfg.Clusters)); err != nil {
		return false, err
	}
	if len(asked) > 0 {
		if err := s.Send(c.ask(typeEndpoint, asked)); err != nil {
			return false, err
		}
	}
	nonces := map[string]string{}
	for {
		res, err := s.Recv()
		if err != nil {
			return told, err
		}
		told = true
		kind := res.GetTypeUrl()
		if kind != typeCluster && kind != typeEndpoint {
			continue // not asked for
		}
		nonces[kind] = res.GetNonce()
		names := asked
		if kind == typeCluster {
			names = c.cfg.Clusters
		}
		problem := c.take(kind, res.GetResources())
		if problem == nil {
			c.versions[kind] = res.GetVersionInfo()
		} else {
			c.log.Warn("xds: rejected", "type", kind, "version", res.GetVersionInfo(), "err", problem)
		}
		answer := c.ask(kind, names)
		answer.ResponseNonce = nonces[kind]
		if problem != nil {
			answer.ErrorDetail = &rpcstatus.Status{Code: int32(codes.InvalidArgument), Message: problem.Error()}
		}
		if err := s.Send(answer); err != nil {
			return told, err
		}
		if want := c.services(); kind == typeCluster && !slices.Equal(want, asked) {
			asked = want
			more := c.ask(typeEndpoint, asked)
			more.ResponseNonce = nonces[typeEndpoint]
			if err := s.Send(more); err != nil {
				return told, err
			}
		}
	}
}

func (c *Client) ask(kind string, names []string) *discoveryv3.DiscoveryRequest {
	return &discoveryv3.DiscoveryRequest{
		TypeUrl: kind, ResourceNames: names, VersionInfo: c.versions[kind],
		Node: &corev3.Node{Id: c.cfg.Node, UserAgentName: "ashwood"},
	}
}

// services are the names to ask EDS for.
func (c *Client) services() (names []string) {
	for _, cl := range c.clusters {
		if cl.service != "" {
			names = append(names, cl.service)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// take accepts a response whole or, on an error, not at all.
func (c *Client) take(kind string, resources []*anypb.Any) error {
	clusters, endpoints := c.clusters, maps.Clone(c.endpoints)
	var err error
	if kind == typeCluster {
		err = c.takeClusters(resources)
	} else {
		err = c.takeEndpoints(resources)
	}
	var list []ashwood.Server
	if err == nil {
		list, err = c.list()
	}
	if err != nil {
		c.clusters, c.endpoints = clusters, endpoints
		return err
	}
	c.update(ashwood.MembershipSnapshot, list)
	return nil
}

func (c *Client) takeClusters(resources []*anypb.Any) error {
	next := map[string]cluster{}
	for _, r := range resources {
		var in clusterv3.Cluster
		if err := r.UnmarshalTo(&in); err != nil {
			return fmt.Errorf("xds: cluster: %w", err)
		}
		if in.GetName() == "" {
			return errors.New("xds: a cluster without a name")
		}
		if len(c.cfg.Clusters) > 0 && !slices.Contains(c.cfg.Clusters, in.GetName()) {
			continue
		}
		cl := cluster{kind: in.GetName()}
		if kind := told(in.GetMetadata(), "kind").GetStringValue(); kind != "" {
			cl.kind = kind
		}
		switch in.GetType() {
		case clusterv3.Cluster_EDS:
			cl.service = in.GetEdsClusterConfig().GetServiceName()
			if cl.service == "" {
				cl.service = in.GetName()
			}
		case clusterv3.Cluster_STATIC:
			cl.inline = in.GetLoadAssignment().GetEndpoints()
			if _, err := servers(cl.kind, cl.inline); err != nil {
				return err
			}
		default:
			return fmt.Errorf("xds: cluster %s: type %v is neither EDS nor STATIC", in.GetName(), in.GetType())
		}
		next[in.GetName()] = cl
	}
	c.clusters = next
	wanted := c.services()
	maps.DeleteFunc(c.endpoints, func(name string, _ []*endpointv3.LocalityLbEndpoints) bool {
		return !slices.Contains(wanted, name)
	})
	return nil
}

// takeEndpoints replaces the clusters that are named; EDS need not name all.
func (c *Client) takeEndpoints(resources []*anypb.Any) error {
	next := map[string][]*endpointv3.LocalityLbEndpoints{}
	for _, r := range resources {
		var in endpointv3.ClusterLoadAssignment
		if err := r.UnmarshalTo(&in); err != nil {
			return fmt.Errorf("xds: endpoints: %w", err)
		}
		if _, err := servers("", in.GetEndpoints()); err != nil {
			return fmt.Errorf("xds: endpoints of %s: %w", in.GetClusterName(), err)
		}
		next[in.GetClusterName()] = in.GetEndpoints()
	}
	maps.Copy(c.endpoints, next)
	return nil
}

// list is the module's list of all that is known.
func (c *Client) list() (all []ashwood.Server, err error) {
	seen := map[ashwood.ServerID]bool{}
	for _, name := range slices.Sorted(maps.Keys(c.clusters)) {
		cl := c.clusters[name]
		endpoints := cl.inline
		if cl.service != "" {
			endpoints = c.endpoints[cl.service]
		}
		list, err := servers(cl.kind, endpoints)
		if err != nil {
			return nil, err
		}
		for _, v := range list {
			if seen[v.ID] {
				return nil, fmt.Errorf("xds: two endpoints have the id %q", v.ID)
			}
			seen[v.ID] = true
			all = append(all, v)
		}
	}
	return all, nil
}

// servers are the engines of a cluster.
func servers(kind string, localities []*endpointv3.LocalityLbEndpoints) (list []ashwood.Server, err error) {
	for _, l := range localities {
		for _, e := range l.GetLbEndpoints() {
			at := e.GetEndpoint().GetAddress().GetSocketAddress()
			if at.GetAddress() == "" || at.GetPortValue() == 0 {
				return nil, errors.New("an endpoint without a socket address")
			}
			addr := net.JoinHostPort(at.GetAddress(), strconv.Itoa(int(at.GetPortValue())))
			v := ashwood.Server{
				ID: ashwood.ServerID(addr), Address: addr, Kind: kind, Zone: l.GetLocality().GetZone(),
				Cell: cell(l.GetLocality().GetSubZone()), State: state(e.GetHealthStatus()), Weight: 1,
				Started: started(e),
			}
			if id := told(e.GetMetadata(), "id").GetStringValue(); id != "" {
				v.ID = ashwood.ServerID(id)
			}
			if n, ok := told(e.GetMetadata(), "cell").GetKind().(*structpb.Value_NumberValue); ok {
				v.Cell = int(n.NumberValue)
			}
			if w := e.GetLoadBalancingWeight().GetValue(); w > 0 {
				v.Weight = float64(w)
			}
			list = append(list, v)
		}
	}
	return list, nil
}

func started(e *endpointv3.LbEndpoint) time.Duration {
	return clock.Duration(max(told(e.GetMetadata(), "started_at_ms").GetNumberValue(), 0))
}

func told(m *corev3.Metadata, key string) *structpb.Value {
	return m.GetFilterMetadata()[metadataKey].GetFields()[key]
}

// cell numbers a sub-zone; names that are no numbers are hashed.
func cell(subZone string) int {
	if n, err := strconv.Atoi(subZone); err == nil || subZone == "" {
		return n
	}
	h := fnv.New32a()
	h.Write([]byte(subZone))
	return int(h.Sum32())
}

// state turns a health status into the list's life cycle.
func state(h corev3.HealthStatus) ashwood.ServerState {
	switch h {
	case corev3.HealthStatus_DRAINING:
		return ashwood.StateDraining
	case corev3.HealthStatus_UNHEALTHY, corev3.HealthStatus_TIMEOUT:
		return ashwood.StateRemoved
	}
	return ashwood.StateActive
}
