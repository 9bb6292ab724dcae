package xds

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/structpb"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/internal/clock"
)

// manager is a scripted management server: the test holds each stream.
type manager struct {
	discoveryv3.UnimplementedAggregatedDiscoveryServiceServer
	streams chan *talk
}

type talk struct {
	discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesServer
	end chan struct{}
}

func (m *manager) StreamAggregatedResources(s discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesServer) error {
	t := &talk{s, make(chan struct{})}
	m.streams <- t
	<-t.end
	return nil
}

// asked is what a request of the client says.
type asked struct {
	Type, Version, Nonce, Names string
	Rejects                     bool
}

func (k *talk) next(t *testing.T) asked {
	t.Helper()
	in, err := k.Recv()
	if err != nil {
		t.Fatal(err)
	}
	a := asked{in.TypeUrl, in.VersionInfo, in.ResponseNonce, "", in.ErrorDetail != nil}
	for _, n := range in.ResourceNames {
		a.Names += n + " "
	}
	return a
}

func (k *talk) tell(t *testing.T, url, version, nonce string, list ...proto.Message) {
	t.Helper()
	out := &discoveryv3.DiscoveryResponse{TypeUrl: url, VersionInfo: version, Nonce: nonce}
	for _, m := range list {
		a, err := anypb.New(m)
		if err != nil {
			t.Fatal(err)
		}
		out.Resources = append(out.Resources, a)
	}
	if err := k.Send(out); err != nil {
		t.Fatal(err)
	}
}

func meta(fields map[string]any) *corev3.Metadata {
	s, err := structpb.NewStruct(fields)
	if err != nil {
		panic(err)
	}
	return &corev3.Metadata{FilterMetadata: map[string]*structpb.Struct{metadataKey: s}}
}

func edsCluster(name, kind string) *clusterv3.Cluster {
	return &clusterv3.Cluster{Name: name, Metadata: meta(map[string]any{"kind": kind}),
		ClusterDiscoveryType: &clusterv3.Cluster_Type{Type: clusterv3.Cluster_EDS}}
}

func endpoint(port uint32, health corev3.HealthStatus, m *corev3.Metadata) *endpointv3.LbEndpoint {
	return &endpointv3.LbEndpoint{HealthStatus: health, Metadata: m, LoadBalancingWeight: wrapperspb.UInt32(3),
		HostIdentifier: &endpointv3.LbEndpoint_Endpoint{Endpoint: &endpointv3.Endpoint{Address: &corev3.Address{
			Address: &corev3.Address_SocketAddress{SocketAddress: &corev3.SocketAddress{Address: "127.0.0.9",
				PortSpecifier: &corev3.SocketAddress_PortValue{PortValue: port}}}}}}}
}

func load(cluster string, list ...*endpointv3.LbEndpoint) *endpointv3.ClusterLoadAssignment {
	return &endpointv3.ClusterLoadAssignment{ClusterName: cluster, Endpoints: []*endpointv3.LocalityLbEndpoints{
		{Locality: &corev3.Locality{Zone: "glenorchy", SubZone: "4"}, LbEndpoints: list}}}
}

func TestClustersAndEndpointsBecomeTheList(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m, s := &manager{streams: make(chan *talk, 9)}, grpc.NewServer()
	discoveryv3.RegisterAggregatedDiscoveryServiceServer(s, m)
	go s.Serve(l)
	defer s.Stop()
	lists := make(chan []ashwood.Server, 9)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := New(Config{Server: l.Addr().String(), Node: "n", Credentials: insecure.NewCredentials()}, clock.System(), slog.New(slog.DiscardHandler),
		func(_ ashwood.MembershipForm, list []ashwood.Server) { lists <- list })
	go c.Run(ctx)
	k := <-m.streams
	same := func(what string, want, got any) {
		t.Helper()
		if diff := cmp.Diff(want, got); diff != "" {
			t.Fatalf("%s: %s", what, diff)
		}
	}
	same("first", asked{Type: typeCluster}, k.next(t))
	k.tell(t, typeCluster, "1", "a", edsCluster("readers", "prefill"), edsCluster("writers", "decode-a"))
	same("accepted", asked{Type: typeCluster, Version: "1", Nonce: "a"}, k.next(t))
	same("services", asked{Type: typeEndpoint, Names: "readers writers "}, k.next(t))
	same("no endpoints yet", 0, len(<-lists))

	k.tell(t, typeEndpoint, "1", "b",
		load("readers", endpoint(1, corev3.HealthStatus_HEALTHY, meta(map[string]any{"id": "s-1", "cell": 7, "started_at_ms": 2500}))),
		load("writers", endpoint(2, corev3.HealthStatus_UNKNOWN, nil), endpoint(3, corev3.HealthStatus_UNHEALTHY, nil)))
	same("accepted", asked{Type: typeEndpoint, Version: "1", Nonce: "b", Names: "readers writers "}, k.next(t))
	reader := ashwood.Server{ID: "s-1", Address: "127.0.0.9:1", Kind: "prefill", Zone: "glenorchy", Cell: 7,
		State: ashwood.StateActive, Weight: 3, Started: 2500 * time.Millisecond}
	writer := func(addr string, state ashwood.ServerState) ashwood.Server {
		return ashwood.Server{ID: ashwood.ServerID(addr), Address: addr, Kind: "decode-a", Zone: "glenorchy", Cell: 4, State: state, Weight: 3}
	}
	same("list", []ashwood.Server{reader, writer("127.0.0.9:2", ashwood.StateActive), writer("127.0.0.9:3", ashwood.StateRemoved)}, <-lists)

	// A bad update is rejected whole, the list in hand stays; a later good one counts.
	k.tell(t, typeEndpoint, "2", "c", load("writers", endpoint(0, corev3.HealthStatus_HEALTHY, nil)))
	same("rejected", asked{typeEndpoint, "1", "c", "readers writers ", true}, k.next(t))
	k.tell(t, typeEndpoint, "3", "d", load("writers", endpoint(2, corev3.HealthStatus_DRAINING, nil)))
	same("accepted", asked{Type: typeEndpoint, Version: "3", Nonce: "d", Names: "readers writers "}, k.next(t))
	same("draining", []ashwood.Server{reader, writer("127.0.0.9:2", ashwood.StateDraining)}, <-lists)

	// A new stream goes on from the versions in hand.
	close(k.end)
	k = <-m.streams
	defer func() { close(k.end) }()
	same("again", asked{Type: typeCluster, Version: "1"}, k.next(t))
	same("again", asked{Type: typeEndpoint, Version: "3", Names: "readers writers "}, k.next(t))
	k.tell(t, typeCluster, "2", "e", edsCluster("readers", "prefill"))
	same("accepted", asked{Type: typeCluster, Version: "2", Nonce: "e"}, k.next(t))
	same("one cluster less", []ashwood.Server{reader}, <-lists)
}
