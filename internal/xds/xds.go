// Package xds watches Envoy's clusters and endpoints over an aggregated
// discovery stream (ADS, state of the world) and turns them into membership
// snapshots. It keeps no health of its own and chooses no engine.
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

// Type URLs of the resources that are watched.
const (
	typeURLCluster  = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
	typeURLEndpoint = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
)

// metadataKey is the filter name under which the metadata of clusters and endpoints
// holds what Envoy has no field for: a cluster's "kind" (its name if absent), and an
// endpoint's "id" (its address if absent), "cell" (its sub-zone if absent) and
// "started_at_ms".
const metadataKey = "ashwood"

const (
	minReconnectBackoff = 100.0 // ms after a stream has ended; doubles with each stream that received nothing
	maxReconnectBackoff = 5000.0
	keepaliveInterval   = 20 * time.Second
	keepaliveTimeout    = 5 * time.Second
)

// Config names the management server, this node and the clusters to watch.
type Config struct {
	Server   string   `toml:"server"`   // host:port of the management server
	Node     string   `toml:"node"`     // id of this node; the gateway's name by default
	Clusters []string `toml:"clusters"` // names of clusters to watch; empty = all that the server has

	Credentials credentials.TransportCredentials `toml:"-"`
}

// Client watches the clusters and endpoints of a management server.
type Client struct {
	cfg      Config
	clock    clock.Clock
	log      *slog.Logger
	onUpdate func(ashwood.MembershipForm, []ashwood.Server)

	versions  map[string]string // last accepted version, by type URL
	clusters  map[string]cluster
	endpoints map[string][]*endpointv3.LocalityLbEndpoints // by service name; nil = not received yet
}

// cluster holds the parts of an Envoy cluster that are used.
type cluster struct {
	kind    string
	service string // its name in EDS; "" if the endpoints came with the cluster
	inline  []*endpointv3.LocalityLbEndpoints
}

// New returns a client that calls onUpdate with a membership snapshot at each accepted response.
func New(cfg Config, c clock.Clock, log *slog.Logger, onUpdate func(ashwood.MembershipForm, []ashwood.Server)) *Client {
	return &Client{
		cfg: cfg, clock: c, log: log, onUpdate: onUpdate, versions: map[string]string{},
		clusters: map[string]cluster{}, endpoints: map[string][]*endpointv3.LocalityLbEndpoints{},
	}
}

// Run watches the server until ctx ends. While the server is unreachable, the last
// snapshot stays in effect.
func (c *Client) Run(ctx context.Context) error {
	cc, err := grpc.NewClient("passthrough:///"+c.cfg.Server, grpc.WithTransportCredentials(c.cfg.Credentials),
		grpc.WithDisableServiceConfig(), grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}))
	if err != nil {
		return fmt.Errorf("xds: %s: %w", c.cfg.Server, err)
	}
	defer cc.Close()
	backoff := minReconnectBackoff
	for ctx.Err() == nil {
		received, err := c.runStream(ctx, cc)
		if received {
			backoff = minReconnectBackoff
		}
		c.log.Warn("xds: stream ended", "err", err)
		clock.Wait(ctx, c.clock, backoff)
		backoff = min(2*backoff, maxReconnectBackoff)
	}
	return ctx.Err()
}

// runStream runs one stream; received reports whether any response came.
func (c *Client) runStream(ctx context.Context, cc *grpc.ClientConn) (received bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := discoveryv3.NewAggregatedDiscoveryServiceClient(cc).StreamAggregatedResources(ctx, grpc.WaitForReady(true))
	if err != nil {
		return false, err
	}
	services := c.endpointServices()
	if err := s.Send(c.newRequest(typeURLCluster, c.cfg.Clusters)); err != nil {
		return false, err
	}
	if len(services) > 0 {
		if err := s.Send(c.newRequest(typeURLEndpoint, services)); err != nil {
			return false, err
		}
	}
	nonces := map[string]string{}
	for {
		res, err := s.Recv()
		if err != nil {
			return received, err
		}
		received = true
		typeURL := res.GetTypeUrl()
		if typeURL != typeURLCluster && typeURL != typeURLEndpoint {
			continue // not requested
		}
		nonces[typeURL] = res.GetNonce()
		names := services
		if typeURL == typeURLCluster {
			names = c.cfg.Clusters
		}
		rejection := c.applyResponse(typeURL, res.GetResources())
		if rejection == nil {
			c.versions[typeURL] = res.GetVersionInfo()
		} else {
			c.log.Warn("xds: response rejected", "type", typeURL, "version", res.GetVersionInfo(), "err", rejection)
		}
		request := c.newRequest(typeURL, names)
		request.ResponseNonce = nonces[typeURL]
		if rejection != nil {
			request.ErrorDetail = &rpcstatus.Status{Code: int32(codes.InvalidArgument), Message: rejection.Error()}
		}
		if err := s.Send(request); err != nil {
			return received, err
		}
		if newServices := c.endpointServices(); typeURL == typeURLCluster && !slices.Equal(newServices, services) {
			services = newServices
			endpointRequest := c.newRequest(typeURLEndpoint, services)
			endpointRequest.ResponseNonce = nonces[typeURLEndpoint]
			if err := s.Send(endpointRequest); err != nil {
				return received, err
			}
		}
	}
}

func (c *Client) newRequest(typeURL string, names []string) *discoveryv3.DiscoveryRequest {
	return &discoveryv3.DiscoveryRequest{
		TypeUrl: typeURL, ResourceNames: names, VersionInfo: c.versions[typeURL],
		Node: &corev3.Node{Id: c.cfg.Node, UserAgentName: "ashwood"},
	}
}

// endpointServices returns the names to request from EDS.
func (c *Client) endpointServices() (names []string) {
	for _, cl := range c.clusters {
		if cl.service != "" {
			names = append(names, cl.service)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// applyResponse accepts a whole response or, on an error, nothing of it.
func (c *Client) applyResponse(typeURL string, resources []*anypb.Any) error {
	clusters, endpoints := c.clusters, maps.Clone(c.endpoints)
	var err error
	if typeURL == typeURLCluster {
		err = c.applyClusters(resources)
	} else {
		err = c.applyEndpoints(resources)
	}
	var list []ashwood.Server
	if err == nil {
		list, err = c.allServers()
	}
	if err != nil {
		c.clusters, c.endpoints = clusters, endpoints
		return err
	}
	c.onUpdate(ashwood.MembershipSnapshot, list)
	return nil
}

func (c *Client) applyClusters(resources []*anypb.Any) error {
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
		if kind := metadataValue(in.GetMetadata(), "kind").GetStringValue(); kind != "" {
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
			if _, err := localityServers(cl.kind, cl.inline); err != nil {
				return err
			}
		default:
			return fmt.Errorf("xds: cluster %s: type %v is neither EDS nor STATIC", in.GetName(), in.GetType())
		}
		next[in.GetName()] = cl
	}
	c.clusters = next
	services := c.endpointServices()
	maps.DeleteFunc(c.endpoints, func(name string, _ []*endpointv3.LocalityLbEndpoints) bool {
		return !slices.Contains(services, name)
	})
	return nil
}

// applyEndpoints replaces the endpoints of the clusters in the response; EDS need not send all clusters.
func (c *Client) applyEndpoints(resources []*anypb.Any) error {
	next := map[string][]*endpointv3.LocalityLbEndpoints{}
	for _, r := range resources {
		var in endpointv3.ClusterLoadAssignment
		if err := r.UnmarshalTo(&in); err != nil {
			return fmt.Errorf("xds: endpoints: %w", err)
		}
		if _, err := localityServers("", in.GetEndpoints()); err != nil {
			return fmt.Errorf("xds: endpoints of %s: %w", in.GetClusterName(), err)
		}
		next[in.GetClusterName()] = in.GetEndpoints()
	}
	maps.Copy(c.endpoints, next)
	return nil
}

// allServers returns the servers of all known clusters.
func (c *Client) allServers() (all []ashwood.Server, err error) {
	seen := map[ashwood.ServerID]bool{}
	for _, name := range slices.Sorted(maps.Keys(c.clusters)) {
		cl := c.clusters[name]
		endpoints := cl.inline
		if cl.service != "" {
			endpoints = c.endpoints[cl.service]
		}
		list, err := localityServers(cl.kind, endpoints)
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

// localityServers returns the servers of one cluster's localities.
func localityServers(kind string, localities []*endpointv3.LocalityLbEndpoints) (list []ashwood.Server, err error) {
	for _, l := range localities {
		for _, e := range l.GetLbEndpoints() {
			at := e.GetEndpoint().GetAddress().GetSocketAddress()
			if at.GetAddress() == "" || at.GetPortValue() == 0 {
				return nil, errors.New("an endpoint without a socket address")
			}
			addr := net.JoinHostPort(at.GetAddress(), strconv.Itoa(int(at.GetPortValue())))
			v := ashwood.Server{
				ID: ashwood.ServerID(addr), Address: addr, Kind: kind, Zone: l.GetLocality().GetZone(),
				Cell: cellNumber(l.GetLocality().GetSubZone()), State: serverState(e.GetHealthStatus()), Weight: 1,
				Started: startTime(e),
			}
			if id := metadataValue(e.GetMetadata(), "id").GetStringValue(); id != "" {
				v.ID = ashwood.ServerID(id)
			}
			if n, ok := metadataValue(e.GetMetadata(), "cell").GetKind().(*structpb.Value_NumberValue); ok {
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

func startTime(e *endpointv3.LbEndpoint) time.Duration {
	return clock.Duration(max(metadataValue(e.GetMetadata(), "started_at_ms").GetNumberValue(), 0))
}

func metadataValue(m *corev3.Metadata, key string) *structpb.Value {
	return m.GetFilterMetadata()[metadataKey].GetFields()[key]
}

// cellNumber returns a sub-zone's number, or the hash of a name that is not a number.
func cellNumber(subZone string) int {
	if n, err := strconv.Atoi(subZone); err == nil || subZone == "" {
		return n
	}
	h := fnv.New32a()
	h.Write([]byte(subZone))
	return int(h.Sum32())
}

// serverState returns the lifecycle state for a health status.
func serverState(h corev3.HealthStatus) ashwood.ServerState {
	switch h {
	case corev3.HealthStatus_DRAINING:
		return ashwood.StateDraining
	case corev3.HealthStatus_UNHEALTHY, corev3.HealthStatus_TIMEOUT:
		return ashwood.StateRemoved
	}
	return ashwood.StateActive
}
