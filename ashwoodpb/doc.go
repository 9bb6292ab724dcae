// Package ashwoodpb holds the gRPC services of the gateway, generated from ashwood.proto: clients
// call Inference at a gateway, gateways call Box at the engines.
package ashwoodpb
