// Command fiber is an application that routes through ashwood's middleware.
package main

import (
	"context"
	"log"
	"net"
	"os"
	"os/signal"
	"time"

	"github.com/gofiber/fiber/v3"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/middleware"
	"ashwood.example/ashwood/router"
)

func main() {
	r, err := router.New(router.Config{Settings: ashwood.Settings{
		Kinds: []ashwood.Kind{{Name: "prefill", Role: ashwood.RolePrefill}, {Name: "decode", Role: ashwood.RoleDecode}},
		Classes: []ashwood.Class{{
			Name: "case-chat", Aim: 3 * time.Second, Deadline: 15 * time.Second, Worth: 2, Effect: ashwood.Pure,
		}},
	}}, router.WithSource(router.NewPlatform("127.0.0.1:8500")))
	if err != nil {
		log.Fatal(err)
	}
	if err := r.Start(); err != nil {
		log.Fatal(err)
	}
	app := fiber.New()
	app.Post("/v1/chat/completions", middleware.Fiber(r))
	l, err := net.Listen("tcp", "127.0.0.1:3000")
	if err != nil {
		log.Fatal(err)
	}
	stop, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	defer cancel()
	go func() {
		<-stop.Done()
		patience, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		if err := r.Shutdown(patience); err != nil {
			log.Print(err)
		}
		app.Shutdown()
	}()
	log.Print(app.Listener(middleware.Listener(l)))
}
