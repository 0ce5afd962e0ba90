package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// maintenance is how long a machine is down for its upkeep.
const maintenance = 2 * time.Second

type (
	// cloud is the platform's service of machines.
	cloud struct {
		re       *recorder
		mu       sync.Mutex
		machines []*machine
		fences   map[string]string
		upkeeps  []upkeep
	}

	machine struct {
		name   string
		runner *runner
		labels []string
		state  string
		// done holds the waves whose upkeep was begun.
		done map[int64]bool
	}

	upkeep struct {
		at      time.Time
		machine string
		wave    int64
	}
)

func newCloud(re *recorder) (*cloud, string) {
	cd := &cloud{re: re, fences: map[string]string{}}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/machines", cd.list)
	mux.HandleFunc("POST /v1/machine-upkeep", cd.begin)
	go func() { _ = http.Serve(ln, mux) }()
	return cd, ln.Addr().String()
}

func (cd *cloud) list(wr http.ResponseWriter, _ *http.Request) {
	cd.mu.Lock()
	defer cd.mu.Unlock()
	all := []any{}
	for _, ma := range cd.machines {
		all = append(all, map[string]any{"machine": ma.name, "pool": pool, "state": ma.state, "zone": ma.runner.zone, "labels": ma.labels, "capacity": ordinary, "id": ma.runner.id})
	}
	wr.Header().Set("Content-Type", "application/json")
	text, _ := json.Marshal(map[string]any{"machines": all, "nextToken": nil})
	_, _ = wr.Write(text)
}

func (cd *cloud) begin(wr http.ResponseWriter, rq *http.Request) {
	var or struct {
		Machine string `json:"machine"`
		Wave    int64  `json:"wave"`
	}
	_ = json.NewDecoder(rq.Body).Decode(&or)
	cd.mu.Lock()
	defer cd.mu.Unlock()
	status, reason := http.StatusBadRequest, ""
	for _, ma := range cd.machines {
		switch {
		case ma.name != or.Machine:
		case ma.done[or.Wave]:
			status = http.StatusOK
		case ma.state != "up":
			status, reason = http.StatusConflict, "busy"
		default:
			status = http.StatusOK
			ma.done[or.Wave], ma.state = true, "upkeep"
			cd.upkeeps = append(cd.upkeeps, upkeep{time.Now(), or.Machine, or.Wave})
			go cd.carryOut(ma)
		}
	}
	cd.re.note("cloud upkeep of %s for wave %d by %s with the token %s -> %d %s", or.Machine, or.Wave, rq.Header.Get("X-Wagtailcroft-Duty-Holder"), rq.Header.Get("X-Wagtailcroft-Fencing-Token"), status, reason)
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(status)
	text, _ := json.Marshal(map[string]any{"reason": reason})
	_, _ = wr.Write(text)
}

// carryOut ends the runner of a machine; another one joins after the maintenance.
func (cd *cloud) carryOut(ma *machine) {
	former := ma.runner
	former.crash()
	former.fl.st.remove("servers", former.id)
	time.Sleep(maintenance)
	next := former.fl.add("i-"+newID()[:8], pool, former.zone)
	cd.mu.Lock()
	ma.runner, ma.state = next, "up"
	cd.mu.Unlock()
	next.start(ma.labels, ordinary)
}
