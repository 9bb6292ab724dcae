package main

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"os/exec"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"ashwood.example/ashwood/ashwoodpb"
)

// grpcEngine is a mixed engine that answers at once.
type grpcEngine struct {
	ashwoodpb.UnimplementedBoxServer
}

func (grpcEngine) Read(context.Context, *ashwoodpb.GenerateRequest) (*ashwoodpb.ReadResult, error) {
	return &ashwoodpb.ReadResult{}, nil
}

func (grpcEngine) Write(_ *ashwoodpb.GenerateRequest, stream grpc.ServerStreamingServer[ashwoodpb.Token]) error {
	return stream.Send(&ashwoodpb.Token{Text: "hello"})
}

// newCertificate returns a self-signed certificate and its key as files, and as credentials for
// either side that trust only this certificate.
func newCertificate(t *testing.T) (certFile, keyFile string, creds credentials.TransportCredentials) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	text := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, DNSNames: []string{"box.internal"}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	cert, err := x509.CreateCertificate(rand.Reader, text, text, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	certPEM := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: cert})
	keyPEM := pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private})
	pair, err := tls.X509KeyPair(certPEM, keyPEM)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(certPEM)
	return writeTempFile(t, "cert.pem", string(certPEM)), writeTempFile(t, "key.pem", string(keyPEM)), credentials.NewTLS(&tls.Config{
		Certificates: []tls.Certificate{pair}, RootCAs: pool, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert,
	})
}

func TestGRPCFront_OperatorFile(t *testing.T) {
	t.Run("in plain text", func(t *testing.T) { checkFront(t, "", insecure.NewCredentials()) })
	t.Run("with certificates on all sides", func(t *testing.T) {
		cert, key, creds := newCertificate(t)
		files := fmt.Sprintf("ca = %q\ncertificate = %[1]q\nkey = %q\n", cert, key)
		checkFront(t, "[grpc.tls]\n"+files+"[grpc.box_tls]\nserver_name = \"box.internal\"\n"+files, creds)
	})
}

// checkFront has the program route a call to an engine with these operator settings.
func checkFront(t *testing.T, operator string, creds credentials.TransportCredentials) {
	_, conn := startGRPCFront(t, grpcEngine{}, operator, creds)
	stream, err := ashwoodpb.NewInferenceClient(conn).Generate(context.Background(), &ashwoodpb.GenerateRequest{
		RequestId: "q", Class: "send-order", PromptTokens: 64}, grpc.WaitForReady(true))
	if err != nil {
		t.Fatal(err)
	}
	if tok, err := stream.Recv(); err != nil || tok.GetText() != "hello" {
		t.Errorf("%v, %v", tok, err)
	}
	if _, err := stream.Recv(); err != io.EOF {
		t.Errorf("end of stream: %v", err)
	}
}

// startGRPCFront starts the program with the gRPC front and one server that acts as prefill and
// as decode engine, and returns a client connection to the front.
func startGRPCFront(t *testing.T, engine ashwoodpb.BoxServer, operator string, creds credentials.TransportCredentials) (*exec.Cmd, *grpc.ClientConn) {
	t.Helper()
	cmd, conn, _ := startGRPCFrontAt(t, engine, operator, creds)
	return cmd, conn
}

// startGRPCFrontAt is startGRPCFront, and returns the front's address too.
func startGRPCFrontAt(t *testing.T, engine ashwoodpb.BoxServer, operator string, creds credentials.TransportCredentials) (*exec.Cmd, *grpc.ClientConn, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer(grpc.Creds(creds))
	ashwoodpb.RegisterBoxServer(server, engine)
	go server.Serve(listener)
	t.Cleanup(server.Stop)
	cmd, _, front := startProgram(t, configJSON(startDiscovery(t, `{"generation":1,"reset":true,"instances":[]}`), "null"), fmt.Sprintf(`
[grpc]
listen = "127.0.0.1:0"
[[grpc.boxes]]
id = "r"
address = %q
kind = "prefill"
[[grpc.boxes]]
id = "w"
address = %q
kind = "decode"
`, listener.Addr(), listener.Addr())+operator)
	conn, err := grpc.NewClient("passthrough:///"+front, grpc.WithTransportCredentials(creds))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return cmd, conn, front
}
