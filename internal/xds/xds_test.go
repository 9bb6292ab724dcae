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

// scriptedServer is a management server that hands each stream to the test.
type scriptedServer struct {
	discoveryv3.UnimplementedAggregatedDiscoveryServiceServer
	streams chan *scriptedStream
}

// scriptedStream is one discovery stream, which ends when closed is closed.
type scriptedStream struct {
	discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesServer
	closed chan struct{}
}

func (m *scriptedServer) StreamAggregatedResources(s discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesServer) error {
	t := &scriptedStream{s, make(chan struct{})}
	m.streams <- t
	<-t.closed
	return nil
}

// requestSummary holds the compared parts of a client's discovery request.
type requestSummary struct {
	Type, Version, Nonce, Names string
	Rejects                     bool
}

func (s *scriptedStream) nextRequest(t *testing.T) requestSummary {
	t.Helper()
	in, err := s.Recv()
	if err != nil {
		t.Fatal(err)
	}
	a := requestSummary{in.TypeUrl, in.VersionInfo, in.ResponseNonce, "", in.ErrorDetail != nil}
	for _, n := range in.ResourceNames {
		a.Names += n + " "
	}
	return a
}

func (s *scriptedStream) respond(t *testing.T, url, version, nonce string, list ...proto.Message) {
	t.Helper()
	out := &discoveryv3.DiscoveryResponse{TypeUrl: url, VersionInfo: version, Nonce: nonce}
	for _, m := range list {
		a, err := anypb.New(m)
		if err != nil {
			t.Fatal(err)
		}
		out.Resources = append(out.Resources, a)
	}
	if err := s.Send(out); err != nil {
		t.Fatal(err)
	}
}

func ashwoodMetadata(fields map[string]any) *corev3.Metadata {
	s, err := structpb.NewStruct(fields)
	if err != nil {
		panic(err)
	}
	return &corev3.Metadata{FilterMetadata: map[string]*structpb.Struct{metadataKey: s}}
}

func edsCluster(name, kind string) *clusterv3.Cluster {
	return &clusterv3.Cluster{Name: name, Metadata: ashwoodMetadata(map[string]any{"kind": kind}),
		ClusterDiscoveryType: &clusterv3.Cluster_Type{Type: clusterv3.Cluster_EDS}}
}

func endpoint(port uint32, health corev3.HealthStatus, m *corev3.Metadata) *endpointv3.LbEndpoint {
	return &endpointv3.LbEndpoint{HealthStatus: health, Metadata: m, LoadBalancingWeight: wrapperspb.UInt32(3),
		HostIdentifier: &endpointv3.LbEndpoint_Endpoint{Endpoint: &endpointv3.Endpoint{Address: &corev3.Address{
			Address: &corev3.Address_SocketAddress{SocketAddress: &corev3.SocketAddress{Address: "127.0.0.9",
				PortSpecifier: &corev3.SocketAddress_PortValue{PortValue: port}}}}}}}
}

func loadAssignment(cluster string, list ...*endpointv3.LbEndpoint) *endpointv3.ClusterLoadAssignment {
	return &endpointv3.ClusterLoadAssignment{ClusterName: cluster, Endpoints: []*endpointv3.LocalityLbEndpoints{
		{Locality: &corev3.Locality{Zone: "glenorchy", SubZone: "4"}, LbEndpoints: list}}}
}

func TestClient_MembershipUpdates(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	management, server := &scriptedServer{streams: make(chan *scriptedStream, 9)}, grpc.NewServer()
	discoveryv3.RegisterAggregatedDiscoveryServiceServer(server, management)
	go server.Serve(l)
	defer server.Stop()
	snapshots := make(chan []ashwood.Server, 9)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := New(Config{Server: l.Addr().String(), Node: "n", Credentials: insecure.NewCredentials()}, clock.System(), slog.New(slog.DiscardHandler),
		func(_ ashwood.MembershipForm, list []ashwood.Server) { snapshots <- list })
	go c.Run(ctx)
	stream := <-management.streams
	wantEqual := func(what string, want, got any) {
		t.Helper()
		if diff := cmp.Diff(want, got); diff != "" {
			t.Fatalf("%s: %s", what, diff)
		}
	}
	wantEqual("first request", requestSummary{Type: typeURLCluster}, stream.nextRequest(t))
	stream.respond(t, typeURLCluster, "1", "a", edsCluster("pool-a", "prefill"), edsCluster("pool-b", "decode-a"))
	wantEqual("accepted", requestSummary{Type: typeURLCluster, Version: "1", Nonce: "a"}, stream.nextRequest(t))
	wantEqual("services", requestSummary{Type: typeURLEndpoint, Names: "pool-a pool-b "}, stream.nextRequest(t))
	wantEqual("no endpoints yet", 0, len(<-snapshots))

	stream.respond(t, typeURLEndpoint, "1", "b",
		loadAssignment("pool-a", endpoint(1, corev3.HealthStatus_HEALTHY, ashwoodMetadata(map[string]any{"id": "s-1", "cell": 7, "started_at_ms": 2500}))),
		loadAssignment("pool-b", endpoint(2, corev3.HealthStatus_UNKNOWN, nil), endpoint(3, corev3.HealthStatus_UNHEALTHY, nil)))
	wantEqual("accepted", requestSummary{Type: typeURLEndpoint, Version: "1", Nonce: "b", Names: "pool-a pool-b "}, stream.nextRequest(t))
	prefill := ashwood.Server{ID: "s-1", Address: "127.0.0.9:1", Kind: "prefill", Zone: "glenorchy", Cell: 7,
		State: ashwood.StateActive, Weight: 3, Started: 2500 * time.Millisecond}
	decode := func(addr string, state ashwood.ServerState) ashwood.Server {
		return ashwood.Server{ID: ashwood.ServerID(addr), Address: addr, Kind: "decode-a", Zone: "glenorchy", Cell: 4, State: state, Weight: 3}
	}
	wantEqual("membership", []ashwood.Server{prefill, decode("127.0.0.9:2", ashwood.StateActive), decode("127.0.0.9:3", ashwood.StateRemoved)}, <-snapshots)

	// A malformed update is rejected as a whole and the last snapshot stays; a later valid one is applied.
	stream.respond(t, typeURLEndpoint, "2", "c", loadAssignment("pool-b", endpoint(0, corev3.HealthStatus_HEALTHY, nil)))
	wantEqual("rejected", requestSummary{typeURLEndpoint, "1", "c", "pool-a pool-b ", true}, stream.nextRequest(t))
	stream.respond(t, typeURLEndpoint, "3", "d", loadAssignment("pool-b", endpoint(2, corev3.HealthStatus_DRAINING, nil)))
	wantEqual("accepted", requestSummary{Type: typeURLEndpoint, Version: "3", Nonce: "d", Names: "pool-a pool-b "}, stream.nextRequest(t))
	wantEqual("draining", []ashwood.Server{prefill, decode("127.0.0.9:2", ashwood.StateDraining)}, <-snapshots)

	// A new stream continues from the last accepted versions.
	close(stream.closed)
	stream = <-management.streams
	defer func() { close(stream.closed) }()
	wantEqual("again", requestSummary{Type: typeURLCluster, Version: "1"}, stream.nextRequest(t))
	wantEqual("again", requestSummary{Type: typeURLEndpoint, Version: "3", Names: "pool-a pool-b "}, stream.nextRequest(t))
	stream.respond(t, typeURLCluster, "2", "e", edsCluster("pool-a", "prefill"))
	wantEqual("accepted", requestSummary{Type: typeURLCluster, Version: "2", Nonce: "e"}, stream.nextRequest(t))
	wantEqual("one cluster removed", []ashwood.Server{prefill}, <-snapshots)
}
