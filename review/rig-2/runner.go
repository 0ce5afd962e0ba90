package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat    = 1500 * time.Millisecond
	maxHoldMs    = 10000
	stopGrace    = 50 * time.Millisecond
	gangTimeout  = 3000 * time.Millisecond
	checkpointMs = 500
	restoreMs    = 600
	// failAfter is when a task fails on a runner that fails all that it starts.
	failAfter = 50 * time.Millisecond
)

type (
	// work is what a task does. The clients write it into the spec, which the system passes on unread.
	work struct {
		Ms     int64 `json:"ms"`
		Gang   int   `json:"gang,omitempty"`
		Saves  bool  `json:"saves,omitempty"`
		Lasts  bool  `json:"lasts,omitempty"`
		Number int   `json:"number,omitempty"`
		// StartupMs is how long a task that lasts takes until it is at work.
		StartupMs int64 `json:"startupMs,omitempty"`
		// CPU and Gpu are what the task takes, for the record.
		CPU int `json:"cpu,omitempty"`
		Gpu int `json:"gpu,omitempty"`
	}

	capacity struct {
		CPU   int `json:"cpu"`
		MemMb int `json:"memMb"`
		Gpu   int `json:"gpu"`
	}

	// fleet is all runners, and the gangs whose members run on them.
	fleet struct {
		re    *recorder
		st    *store
		mu    sync.Mutex
		gangs map[string]*gang
		// starts are the orders that runners have carried out, and listed the ends that they have listed, in order.
		starts []started
		ends   []ending
		all    []*runner
	}

	// started is an order to start that a runner has carried out.
	started struct {
		at                 time.Time
		runner, task, spec string
		run                int64
		checkpoint         string
		labels             []string
	}

	ending struct {
		at           time.Time
		runner, task string
		run          int64
		how          string
	}

	gang struct {
		size    int
		members map[string]*run
		began   time.Time
		over    bool
	}

	runner struct {
		fl      *fleet
		id      string
		address string
		zone    string
		service string
		mu      sync.Mutex
		// life is nil while the runner is down.
		life *life
		// ill means that each start is answered with 503, and nothing is done.
		ill bool
		// fails means that each task that is started fails soon.
		fails bool
	}

	// life is one incarnation of a runner.
	life struct {
		ru       *runner
		born     int64
		began    time.Time
		labels   []string
		cap      capacity
		ln       net.Listener
		sv       *http.Server
		conns    map[net.Conn]bool
		fence    int64
		leaseEnd int64
		runs     map[string]*run
		highest  map[string]int64
		ends     [][]any
		count    int64
		changed  chan struct{}
		stop     chan struct{}
		cut      bool
	}

	run struct {
		life     *life
		task     string
		number   int64
		spec     work
		base     int64
		began    time.Time
		ready    time.Time
		stopping time.Time
		gang     *gang
		// doomed means that the run fails soon after its start.
		doomed bool
	}
)

func newFleet(re *recorder, st *store) *fleet {
	return &fleet{re: re, st: st, gangs: map[string]*gang{}}
}

func (fl *fleet) add(id, service, zone string) *runner {
	ip := freeAddress()
	ru := &runner{fl: fl, id: id, address: fmt.Sprintf("%s:%d", ip, freePorts(ip, 1)[0]), zone: zone, service: service}
	fl.all = append(fl.all, ru)
	return ru
}

// start begins a life: the runner listens, then registers itself, then goes on writing its entry.
func (ru *runner) start(labels []string, ca capacity) {
	ln, err := net.Listen("tcp", ru.address)
	check(err)
	now := time.Now()
	li := &life{
		ru: ru, born: now.UnixMilli(), began: now, labels: labels, cap: ca, ln: ln, conns: map[net.Conn]bool{},
		runs: map[string]*run{}, highest: map[string]int64{}, changed: make(chan struct{}), stop: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", li.guard(li.startRun))
	mux.HandleFunc("POST /v1/run-stop", li.guard(li.stopRun))
	mux.HandleFunc("POST /v1/hold", li.guard(li.hold))
	mux.HandleFunc("POST /v1/pace", li.guard(func(wr http.ResponseWriter, _ *http.Request) { li.reply(wr, 200, nil) }))
	mux.HandleFunc("GET /health", func(wr http.ResponseWriter, _ *http.Request) {})
	li.sv = &http.Server{Handler: mux, ConnState: func(co net.Conn, state http.ConnState) {
		ru.mu.Lock()
		defer ru.mu.Unlock()
		if state == http.StateNew {
			li.conns[co] = true
		} else if state == http.StateClosed {
			delete(li.conns, co)
		}
	}}
	ru.mu.Lock()
	ru.life = li
	ru.mu.Unlock()
	ru.fl.re.note("runner %s up, born %d, labels %v, capacity %+v", ru.id, li.born, labels, ca)
	go func() { _ = li.sv.Serve(ln) }()
	go li.beat()
	go li.work()
}

// crash ends the life at once: connections are reset, and all that ran and was listed is gone.
func (ru *runner) crash() {
	ru.fl.mu.Lock()
	ru.mu.Lock()
	li := ru.life
	ru.life = nil
	if li != nil {
		close(li.stop)
		for _, rn := range li.runs {
			ru.fl.re.note("runner %s crashes under %s run %d", ru.id, rn.task, rn.number)
			ru.fl.leave(rn)
		}
		li.runs = map[string]*run{}
	}
	ru.mu.Unlock()
	ru.fl.mu.Unlock()
	if li == nil {
		return
	}
	ru.fl.re.note("runner %s down", ru.id)
	_ = li.ln.Close()
	ru.mu.Lock()
	conns := li.conns
	li.conns = map[net.Conn]bool{}
	ru.mu.Unlock()
	for co := range conns {
		if tc, is := co.(*net.TCPConn); is {
			_ = tc.SetLinger(0)
		}
		_ = co.Close()
	}
}

func (li *life) beat() {
	for seq := 1; ; seq++ {
		li.ru.fl.st.put("servers", li.ru.id, map[string]any{
			"service": li.ru.service, "address": li.ru.address, "zone": li.ru.zone, "version": "v1", "slots": 8, "state": "ready",
			"coldRemainingMs": 0, "capacity": li.cap, "labels": li.labels, "clockMs": li.clock(), "seqNo": seq, "born": li.born,
		})
		select {
		case <-time.After(heartbeat):
		case <-li.stop:
			return
		}
	}
}

func (li *life) clock() int64 { return 1000 + time.Since(li.began).Milliseconds() }

func (li *life) reply(wr http.ResponseWriter, status int, more map[string]any) {
	body := map[string]any{"clockMs": li.clock()}
	for key, value := range more {
		body[key] = value
	}
	text, _ := json.Marshal(body)
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(status)
	_, _ = wr.Write(text)
}

func (li *life) guard(next http.HandlerFunc) http.HandlerFunc {
	return func(wr http.ResponseWriter, rq *http.Request) {
		if expected := rq.Header.Get("X-Wagtailcroft-Expect-Instance"); expected != "" && expected != li.ru.id {
			wr.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		next(wr, rq)
	}
}

type order struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	Fence      int64  `json:"fence"`
	Checkpoint string `json:"checkpoint"`
	LastSeen   int64  `json:"lastSeen"`
	WaitMs     int64  `json:"waitMs"`
}

// take reads an order and checks its fence. The caller must release the locks if it returns true.
func (li *life) take(wr http.ResponseWriter, rq *http.Request) (or order, ok bool) {
	if err := json.NewDecoder(rq.Body).Decode(&or); err != nil {
		wr.WriteHeader(http.StatusBadRequest)
		return or, false
	}
	li.ru.fl.mu.Lock()
	li.ru.mu.Lock()
	if li.ru.life != li {
		li.unlock()
		wr.WriteHeader(http.StatusMisdirectedRequest)
		return or, false
	}
	if or.Fence < li.fence {
		li.unlock()
		li.reply(wr, http.StatusConflict, map[string]any{"reason": "fence"})
		return or, false
	}
	li.fence = or.Fence
	return or, true
}

func (li *life) unlock() {
	li.ru.mu.Unlock()
	li.ru.fl.mu.Unlock()
}

func (li *life) extend(deadline int64) {
	li.leaseEnd = max(li.leaseEnd, min(deadline, li.clock()+maxHoldMs))
}

func (li *life) startRun(wr http.ResponseWriter, rq *http.Request) {
	or, ok := li.take(wr, rq)
	if !ok {
		return
	}
	fl := li.ru.fl
	status, reason := http.StatusOK, ""
	present := li.runs[or.Task]
	switch {
	case li.ru.ill:
		status = http.StatusServiceUnavailable
	case present != nil && present.number == or.Run:
		li.extend(or.DeadlineMs)
	case or.Run <= li.highest[or.Task]:
		li.extend(or.DeadlineMs)
		status, reason = http.StatusConflict, "old"
	case or.DeadlineMs <= li.clock():
		status, reason = http.StatusConflict, "late"
	default:
		li.extend(or.DeadlineMs)
		rn := &run{life: li, task: or.Task, number: or.Run, began: time.Now(), ready: time.Now(), doomed: li.ru.fails}
		_ = json.Unmarshal([]byte(or.Spec), &rn.spec)
		if or.Checkpoint != "" {
			rn.base, _ = strconv.ParseInt(or.Checkpoint, 16, 64)
			rn.ready = rn.began.Add(restoreMs * time.Millisecond)
		}
		li.runs[or.Task] = rn
		fl.join(rn)
		fl.starts = append(fl.starts, started{at: time.Now(), runner: li.ru.id, task: or.Task, spec: or.Spec, run: or.Run, checkpoint: or.Checkpoint, labels: li.labels})
	}
	li.unlock()
	fl.re.note("runner %s (labels %v) start %s run %d checkpoint %q fence %d -> %d %s", li.ru.id, li.labels, or.Task, or.Run, or.Checkpoint, or.Fence, status, reason)
	more := map[string]any{}
	if reason != "" {
		more["reason"] = reason
	}
	li.reply(wr, status, more)
}

func (li *life) stopRun(wr http.ResponseWriter, rq *http.Request) {
	or, ok := li.take(wr, rq)
	if !ok {
		return
	}
	if rn := li.runs[or.Task]; rn != nil && rn.number <= or.Run && rn.stopping.IsZero() {
		rn.stopping = time.Now().Add(stopGrace)
	}
	li.highest[or.Task] = max(li.highest[or.Task], or.Run)
	li.unlock()
	li.ru.fl.re.note("runner %s stop %s run %d -> 200", li.ru.id, or.Task, or.Run)
	li.reply(wr, http.StatusOK, nil)
}

func (li *life) hold(wr http.ResponseWriter, rq *http.Request) {
	or, ok := li.take(wr, rq)
	if !ok {
		return
	}
	li.extend(or.DeadlineMs)
	for len(li.ends) > 0 && li.ends[0][0].(int64) <= or.LastSeen {
		li.ends = li.ends[1:]
	}
	deadline := time.After(time.Duration(or.WaitMs) * time.Millisecond)
	for waiting := or.WaitMs > 0; waiting && len(li.ends) == 0; {
		changed := li.changed
		li.unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-li.stop:
			return
		case <-rq.Context().Done():
			return
		}
		li.ru.fl.mu.Lock()
		li.ru.mu.Lock()
	}
	running := [][]any{}
	for _, rn := range li.runs {
		row := []any{rn.task, rn.number, rn.saved(), rn.percent()}
		if rn.spec.Lasts {
			row = append(row, 10)
		}
		running = append(running, row)
	}
	ends := append([][]any{}, li.ends[:min(len(li.ends), 500)]...)
	li.unlock()
	li.reply(wr, http.StatusOK, map[string]any{"born": li.born, "running": running, "endedRuns": ends})
}

// worked returns the work in milliseconds that a run has done, with what it resumed from.
func (rn *run) worked() int64 {
	from := rn.ready
	if rn.gang != nil {
		if rn.gang.began.IsZero() {
			return rn.base
		}
		if rn.gang.began.After(from) {
			from = rn.gang.began
		}
	}
	return rn.base + max(time.Since(from).Milliseconds(), 0)
}

func (rn *run) saved() string {
	if steps := rn.worked() / checkpointMs; rn.spec.Saves && steps > 0 {
		return fmt.Sprintf("%016x", steps*checkpointMs)
	}
	return ""
}

func (rn *run) percent() int {
	if rn.spec.Lasts {
		return int(min(time.Since(rn.began).Milliseconds()*100/max(rn.spec.StartupMs, 1), 100))
	}
	return int(min(rn.worked()*100/max(rn.spec.Ms, 1), 100))
}

// end lists an end. The caller holds both locks.
func (rn *run) end(how string) {
	li := rn.life
	delete(li.runs, rn.task)
	li.highest[rn.task] = max(li.highest[rn.task], rn.number)
	li.count++
	saved := rn.saved()
	if how == "done" {
		saved = ""
	}
	li.ends = append(li.ends, []any{li.count, rn.task, rn.number, how, saved})
	li.ru.fl.ends = append(li.ru.fl.ends, ending{at: time.Now(), runner: li.ru.id, task: rn.task, run: rn.number, how: how})
	li.ru.fl.re.note("runner %s end %s run %d %s saved %q", li.ru.id, rn.task, rn.number, how, saved)
	close(li.changed)
	li.changed = make(chan struct{})
}

// work lets runs end whose time has come.
func (li *life) work() {
	fl := li.ru.fl
	for {
		select {
		case <-time.After(10 * time.Millisecond):
		case <-li.stop:
			return
		}
		fl.mu.Lock()
		li.ru.mu.Lock()
		now := time.Now()
		var left []*gang
		for _, rn := range li.runs {
			switch {
			case len(li.runs) > 0 && li.clock() > li.leaseEnd:
				rn.end("lapsed")
			case rn.doomed && now.Sub(rn.began) > failAfter:
				rn.end("failed")
			case !rn.stopping.IsZero() && now.After(rn.stopping):
				rn.end("stopped")
			case rn.gang != nil && rn.gang.over:
				rn.end("broken")
				continue
			case rn.gang != nil && rn.gang.began.IsZero() && now.Sub(rn.began) > gangTimeout:
				rn.end("alone")
			case !rn.spec.Lasts && rn.worked() >= rn.spec.Ms && (rn.gang == nil || !rn.gang.began.IsZero()):
				rn.end("done")
				if rn.gang != nil {
					continue // the others have done the same work and end by themselves
				}
			default:
				continue
			}
			if rn.gang != nil {
				left = append(left, rn.gang)
			}
		}
		li.ru.mu.Unlock()
		for _, ga := range left {
			ga.over = true
		}
		fl.mu.Unlock()
	}
}

// gangOf returns the key of the gang of a run: task and index differ, the run is shared.
func gangOf(rn *run) string {
	return rn.task[:strings.LastIndex(rn.task, ".")] + "#" + strconv.FormatInt(rn.number, 10)
}

func (fl *fleet) join(rn *run) {
	if rn.spec.Gang < 2 {
		return
	}
	key := gangOf(rn)
	ga := fl.gangs[key]
	if ga == nil {
		ga = &gang{size: rn.spec.Gang, members: map[string]*run{}}
		fl.gangs[key] = ga
	}
	rn.gang = ga
	ga.members[rn.task] = rn
	if len(ga.members) == ga.size && ga.began.IsZero() {
		ga.began = time.Now()
	}
}

// leave notes that a run ended with its runner.
func (fl *fleet) leave(rn *run) {
	if rn.gang != nil {
		rn.gang.over = true
	}
}
