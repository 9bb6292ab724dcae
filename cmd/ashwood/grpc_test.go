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

// grpcBox reads and writes.
type grpcBox struct {
	ashwoodpb.UnimplementedBoxServer
}

func (grpcBox) Read(context.Context, *ashwoodpb.GenerateRequest) (*ashwoodpb.ReadResult, error) {
	return &ashwoodpb.ReadResult{}, nil
}

func (grpcBox) Write(_ *ashwoodpb.GenerateRequest, s grpc.ServerStreamingServer[ashwoodpb.Token]) error {
	return s.Send(&ashwoodpb.Token{Text: "hello"})
}

// certificate makes a key with a certificate that is its own CA, as files and
// as credentials of either side that trust it alone.
func certificate(t *testing.T) (certFile, keyFile string, creds credentials.TransportCredentials) {
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
	return write(t, "cert.pem", string(certPEM)), write(t, "key.pem", string(keyPEM)), credentials.NewTLS(&tls.Config{
		Certificates: []tls.Certificate{pair}, RootCAs: pool, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert,
	})
}

func TestOperatorsFileSetsUpTheGRPCFront(t *testing.T) {
	t.Run("in plain text", func(t *testing.T) { tryFront(t, "", insecure.NewCredentials()) })
	t.Run("with certificates on all sides", func(t *testing.T) {
		cert, key, creds := certificate(t)
		files := fmt.Sprintf("ca = %q\ncertificate = %[1]q\nkey = %q\n", cert, key)
		tryFront(t, "[grpc.tls]\n"+files+"[grpc.box_tls]\nserver_name = \"box.internal\"\n"+files, creds)
	})
}

// tryFront has the program route a call to a box with these settings.
func tryFront(t *testing.T, operator string, creds credentials.TransportCredentials) {
	_, cc := openFront(t, grpcBox{}, operator, creds)
	s, err := ashwoodpb.NewInferenceClient(cc).Generate(context.Background(), &ashwoodpb.GenerateRequest{
		RequestId: "q", Class: "send-order", PromptTokens: 64}, grpc.WaitForReady(true))
	if err != nil {
		t.Fatal(err)
	}
	if tok, err := s.Recv(); err != nil || tok.GetText() != "hello" {
		t.Errorf("%v, %v", tok, err)
	}
	if _, err := s.Recv(); err != io.EOF {
		t.Errorf("end %v", err)
	}
}

// openFront starts the program with the gRPC front and a box of both roles, and a client of it.
func openFront(t *testing.T, engine ashwoodpb.BoxServer, operator string, creds credentials.TransportCredentials) (*exec.Cmd, *grpc.ClientConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	box := grpc.NewServer(grpc.Creds(creds))
	ashwoodpb.RegisterBoxServer(box, engine)
	go box.Serve(l)
	t.Cleanup(box.Stop)
	cmd, _, front := start(t, configuration(discovery(t, `{"generation":1,"reset":true,"instances":[]}`), "null"), fmt.Sprintf(`
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
`, l.Addr(), l.Addr())+operator)
	cc, err := grpc.NewClient("passthrough:///"+front, grpc.WithTransportCredentials(creds))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cc.Close() })
	return cmd, cc
}
