// Command grpc calls a gateway's gRPC front and prints the answer.
package main

import (
	"context"
	"fmt"
	"io"
	"log"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"ashwood.example/ashwood/ashwoodpb"
)

func main() {
	cc, err := grpc.NewClient("127.0.0.1:7443", grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		log.Fatal(err)
	}
	defer cc.Close()
	answer, err := ashwoodpb.NewInferenceClient(cc).Generate(context.Background(), &ashwoodpb.GenerateRequest{
		RequestId: "9b1f03aa5c7e2d41", Class: "send-order", Session: "7f3a9c21e0b4d655",
		PromptTokens: 1800, MaxTokens: 256, FirstTokenMs: 4000, Prompt: []byte("..."),
	})
	if err != nil {
		log.Fatal(err)
	}
	for {
		token, err := answer.Recv()
		if err == io.EOF {
			return
		}
		if err != nil {
			log.Fatal(err)
		}
		fmt.Print(token.Text)
	}
}
