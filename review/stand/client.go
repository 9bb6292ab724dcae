package main

import (
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"time"
)

var classes = []struct {
	name     string
	share    float64
	deadline time.Duration
	tokens   int
}{
	{"rate-check", 0.46, 4 * time.Second, 48}, {"case-chat", 0.28, 15 * time.Second, 80}, {"send-order", 0.26, 6 * time.Second, 120},
}

// runClients sends requests at a fixed mean rate over all gateways and waits for their answers.
func runClients(w *world, listens []string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
	var all sync.WaitGroup
	end := time.Now().Add(time.Duration(w.opts.seconds) * time.Second)
	for n := 0; time.Now().Before(end); n++ {
		all.Go(func() { send(w, client, listens[n%len(listens)], n) })
		time.Sleep(time.Duration(rand.ExpFloat64() / w.opts.rate * float64(time.Second)))
	}
	all.Wait()
}

// send sends one request and records its answer.
func send(w *world, client *http.Client, listen string, n int) {
	draw, class := rand.Float64(), classes[0]
	for _, class = range classes {
		if draw -= class.share; draw < 0 {
			break
		}
	}
	id := fmt.Sprintf("%016x", rand.Uint64())
	prompt := w.opts.prompt/2 + rand.Intn(w.opts.prompt)
	body := fmt.Sprintf(`{"model":"chat","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, class.tokens, strings.Repeat("abcd", prompt))
	req, err := http.NewRequest("POST", "http://"+listen+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	for name, value := range map[string]string{
		"X-Txn": id, "X-Lane": class.name, "X-Entity": fmt.Sprintf("%016x", rand.Uint64()), "X-Remaining": fmt.Sprintf("%.3f", class.deadline.Seconds()),
		"X-Labels": fmt.Sprintf("prefix=%016x,prompt_len=%d,prefix_len=%d,max_out=%d", 77+n%5, prompt, prompt/4, class.tokens),
	} {
		req.Header.Set(name, value)
	}
	w.rec.printf("client: %s (%s) sent to %s", id, class.name, listen)
	w.with(id, func(r *request) { r.class = class.name })
	status, got, whole, problem := 0, "", false, ""
	res, err := client.Do(req)
	if err == nil {
		var raw []byte
		raw, err = io.ReadAll(res.Body)
		res.Body.Close()
		status, got, whole = res.StatusCode, string(raw), err == nil
	}
	if err != nil {
		problem = err.Error()
	}
	w.with(id, func(r *request) {
		r.answer, r.got, r.whole, r.clientErr = fmt.Sprint(status), got, whole, problem
	})
	w.rec.printf("client: %s answered %d, %d bytes, whole %v %s", id, status, len(got), whole, problem)
}
