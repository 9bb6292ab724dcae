// Command fiber is an application that routes through ashwood's middleware.
package main

import (
	"context"
	"log"
	"net"
	"time"

	"github.com/gofiber/fiber/v3"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/middleware"
)

func main() {
	router, err := middleware.New(context.Background(), middleware.Config{
		Settings: ashwood.Settings{
			Kinds: []ashwood.Kind{{Name: "prefill", Role: ashwood.RoleRead}, {Name: "decode", Role: ashwood.RoleWrite}},
			Classes: []ashwood.Class{{
				Name: "case-chat", Aim: 3 * time.Second, Deadline: 15 * time.Second, Worth: 2, Effect: ashwood.Pure,
			}},
		},
		Discovery: "127.0.0.1:8500",
	})
	if err != nil {
		log.Fatal(err)
	}
	app := fiber.New()
	app.Post("/v1/chat/completions", router.Handle)
	l, err := net.Listen("tcp", "127.0.0.1:3000")
	if err != nil {
		log.Fatal(err)
	}
	log.Fatal(app.Listener(middleware.Listener(l)))
}
