package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// advice is the platform's advice service. It handles one call at a time, in turn, and leaves out those whose caller
// has gone.
type advice struct {
	re        *recorder
	decision  time.Duration
	perWorker time.Duration
	mu        sync.Mutex
	waiting   int
	turn      chan struct{}
	served    int
	left      int
}

func newAdvice(re *recorder) (*advice, string) {
	ad := &advice{re: re, decision: 100 * time.Millisecond, perWorker: 5 * time.Millisecond, turn: make(chan struct{}, 1)}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/advise", ad.advise)
	go func() { _ = http.Serve(ln, mux) }()
	return ad, ln.Addr().String()
}

func (ad *advice) advise(wr http.ResponseWriter, rq *http.Request) {
	var ask struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	_ = json.NewDecoder(rq.Body).Decode(&ask)
	ad.mu.Lock()
	if ad.waiting >= 32 {
		ad.mu.Unlock()
		wr.WriteHeader(http.StatusTooManyRequests)
		return
	}
	ad.waiting++
	ad.mu.Unlock()
	defer func() {
		ad.mu.Lock()
		ad.waiting--
		ad.mu.Unlock()
	}()
	select {
	case ad.turn <- struct{}{}:
	case <-rq.Context().Done():
		ad.left++
		return
	}
	defer func() { <-ad.turn }()
	time.Sleep(ad.decision + time.Duration(len(ask.Workers))*ad.perWorker)
	ad.served++
	rows := [][]string{}
	for _, id := range ask.Workers {
		rows = append(rows, []string{id, ask.Step + "-" + id})
	}
	wr.Header().Set("Content-Type", "application/json")
	text, _ := json.Marshal(map[string]any{"approved": rows, "validityMs": 3000})
	_, _ = wr.Write(text)
}
