package standin

import (
	"net"
	"strconv"
	"sync"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
)

const (
	clusterType  = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
	endpointType = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
)

// Management is a management server that tells clusters and endpoints over an aggregated stream.
type Management struct {
	discoveryv3.UnimplementedAggregatedDiscoveryServiceServer
	Addr   string
	Record *Record
	Told   func(version int) // called once a version of the endpoints has been written to a gateway; nil = not at all

	mu      sync.Mutex
	version int
	boxes   map[string][]string // addresses, by cluster
	drained map[string]bool     // addresses
	changed chan struct{}
}

// StartManagement serves boxes, whose addresses are given by kind.
func StartManagement(record *Record, boxes map[string][]string, told func(version int)) (*Management, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &Management{Addr: l.Addr().String(), Record: record, Told: told, version: 1, boxes: boxes, drained: map[string]bool{}, changed: make(chan struct{})}
	server := grpc.NewServer()
	discoveryv3.RegisterAggregatedDiscoveryServiceServer(server, m)
	go server.Serve(l)
	return m, nil
}

// Drain tells that a box drains.
func (m *Management) Drain(addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.version++
	m.drained[addr] = true
	close(m.changed)
	m.changed = make(chan struct{})
}

// StreamAggregatedResources serves one gateway.
func (m *Management) StreamAggregatedResources(stream discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesServer) error {
	requests := make(chan *discoveryv3.DiscoveryRequest)
	go func() {
		defer close(requests)
		for {
			r, err := stream.Recv()
			if err != nil {
				return
			}
			select {
			case requests <- r:
			case <-stream.Context().Done():
				return
			}
		}
	}()
	sent, wanted := map[string]int{}, map[string]bool{}
	for {
		m.mu.Lock()
		version, changed := m.version, m.changed
		m.mu.Unlock()
		for _, typeURL := range []string{clusterType, endpointType} {
			if wanted[typeURL] && sent[typeURL] < version {
				sent[typeURL] = version
				if err := stream.Send(m.response(typeURL, version)); err != nil {
					return err
				}
				m.Record.Log("told version %d of %s", version, typeURL)
				if m.Told != nil && typeURL == endpointType {
					m.Told(version)
				}
			}
		}
		select {
		case r, ok := <-requests:
			if !ok {
				return nil
			}
			wanted[r.GetTypeUrl()] = true
			if r.GetErrorDetail() != nil {
				m.Record.Log("the gateway rejects a version: %s", r.GetErrorDetail().GetMessage())
			}
		case <-changed:
		}
	}
}

// response returns all resources of a type.
func (m *Management) response(typeURL string, version int) *discoveryv3.DiscoveryResponse {
	m.mu.Lock()
	defer m.mu.Unlock()
	response := &discoveryv3.DiscoveryResponse{TypeUrl: typeURL, VersionInfo: strconv.Itoa(version), Nonce: strconv.Itoa(version)}
	for kind, addresses := range m.boxes {
		var resource proto.Message
		if typeURL == clusterType {
			resource = &clusterv3.Cluster{Name: kind, ClusterDiscoveryType: &clusterv3.Cluster_Type{Type: clusterv3.Cluster_EDS}}
		} else {
			locality := &endpointv3.LocalityLbEndpoints{Locality: &corev3.Locality{Zone: "glenorchy", SubZone: "1"}}
			for _, addr := range addresses {
				locality.LbEndpoints = append(locality.LbEndpoints, m.endpoint(addr))
			}
			resource = &endpointv3.ClusterLoadAssignment{ClusterName: kind, Endpoints: []*endpointv3.LocalityLbEndpoints{locality}}
		}
		packed, err := anypb.New(resource)
		if err != nil {
			m.Record.Log("%v", err)
			continue
		}
		response.Resources = append(response.Resources, packed)
	}
	return response
}

func (m *Management) endpoint(addr string) *endpointv3.LbEndpoint {
	host, port, _ := net.SplitHostPort(addr)
	number, _ := strconv.ParseUint(port, 10, 32)
	health := corev3.HealthStatus_HEALTHY
	if m.drained[addr] {
		health = corev3.HealthStatus_DRAINING
	}
	return &endpointv3.LbEndpoint{HealthStatus: health, HostIdentifier: &endpointv3.LbEndpoint_Endpoint{Endpoint: &endpointv3.Endpoint{
		Address: &corev3.Address{Address: &corev3.Address_SocketAddress{SocketAddress: &corev3.SocketAddress{
			Address: host, PortSpecifier: &corev3.SocketAddress_PortValue{PortValue: uint32(number)},
		}}},
	}}}
}
