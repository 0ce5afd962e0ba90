package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// startup is the hundredth part of the time in milliseconds until a task that lasts is at work.
const startup = 3

type (
	// runner is one life of a runner. It starts whatever it is told to start.
	runner struct {
		id, address, store, service string
		capacity                    map[string]int64
		labels                      []string
		began                       time.Time

		mu      sync.Mutex
		changed *sync.Cond
		fence   int64
		// deadline is the end of the lease, on the runner's clock.
		deadline int64
		running  map[string]*task
		ended    []endedRun
		number   int64
		// most is the highest run of each task that was stopped or has ended.
		most map[string]int64
	}

	task struct {
		run           int64
		began, length int64
		stopping      bool
		// lasts means that the task runs until it is stopped or fails.
		lasts bool
		// failing means that the task is to fail now.
		failing bool
		// finished means that it is done now.
		finished bool
		// waits means that other members of the gang are not present yet, alone that they did not come in time.
		waits, alone bool
	}

	endedRun struct {
		number int64
		task   string
		run    int64
		how    string
	}

	// work is what a client's spec asks for.
	work struct {
		Millis int64 `json:"ms"`
		Lasts  bool  `json:"lasts"`
		// Gang is the number of tasks that work only together; 0 means that each works by itself.
		Gang int `json:"gang"`
	}
)

// clock returns the reading of the runner's steady clock.
func (ru *runner) clock() int64 { return time.Since(ru.began).Milliseconds() + 1 }

func (ru *runner) born() int64 { return ru.began.UnixMilli() }

func runnerMain(args []string) {
	fl := flag.NewFlagSet("runner", flag.ExitOnError)
	ru := &runner{began: time.Now(), running: map[string]*task{}, most: map[string]int64{}, capacity: map[string]int64{}}
	fl.StringVar(&ru.id, "id", "", "")
	fl.StringVar(&ru.address, "address", "", "")
	fl.StringVar(&ru.store, "store", "", "")
	fl.StringVar(&ru.service, "service", "", "")
	rack := fl.String("rack", "", "")
	listen := fl.String("listen", "", "")
	_ = fl.Parse(args)
	ru.capacity["cpu"], ru.capacity["memMb"], ru.capacity["gpu"] = 64000, 131072, 8
	ru.labels = []string{"a", *rack}
	ru.changed = sync.NewCond(&ru.mu)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", ru.start)
	mux.HandleFunc("POST /v1/run-stop", ru.stop)
	mux.HandleFunc("POST /v1/hold", ru.hold)
	mux.HandleFunc("POST /v1/pace", func(wr http.ResponseWriter, _ *http.Request) { ru.answer(wr, http.StatusOK, map[string]any{}) })
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("POST /stand-in/fail/{job}", func(_ http.ResponseWriter, rq *http.Request) {
		ru.mu.Lock()
		defer ru.mu.Unlock()
		for name, ta := range ru.running {
			ta.failing = ta.failing || strings.HasPrefix(name, rq.PathValue("job"))
		}
	})
	mux.HandleFunc("POST /stand-in/finish/{job}", func(_ http.ResponseWriter, rq *http.Request) {
		ru.mu.Lock()
		defer ru.mu.Unlock()
		for name, ta := range ru.running {
			ta.finished = ta.finished || strings.HasPrefix(name, rq.PathValue("job"))
		}
	})
	go ru.beat()
	go ru.tick()
	fmt.Fprintln(os.Stderr, http.ListenAndServe(*listen, mux))
	os.Exit(1)
}

// beat writes the runner's entry to the store.
func (ru *runner) beat() {
	for seq := 1; ; seq++ {
		entry, _ := json.Marshal(map[string]any{
			"service": ru.service, "address": ru.address, "zone": "kochi", "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
			"capacity": ru.capacity, "labels": ru.labels, "clockMs": ru.clock(), "seqNo": seq, "born": ru.born(),
		})
		rq, _ := http.NewRequest(http.MethodPut, "http://"+ru.store+"/stand-in/servers/"+ru.id, bytes.NewReader(entry))
		if rs, err := http.DefaultClient.Do(rq); err == nil {
			_ = rs.Body.Close()
		}
		time.Sleep(heartbeat)
	}
}

// tick ends what is done and what has no lease any more.
func (ru *runner) tick() {
	for range time.Tick(10 * time.Millisecond) {
		ru.mu.Lock()
		now := ru.clock()
		for name, ta := range ru.running {
			switch {
			case now > ru.deadline:
				ru.end(name, ta, "lapsed")
			case ta.stopping:
				ru.end(name, ta, "stopped")
			case ta.failing:
				ru.end(name, ta, "failed")
			case ta.alone:
				ru.end(name, ta, "alone")
			case ta.finished || !ta.lasts && !ta.waits && now-ta.began >= ta.length:
				ru.end(name, ta, "done")
			}
		}
		ru.changed.Broadcast()
		ru.mu.Unlock()
	}
}

func (ru *runner) end(name string, ta *task, how string) {
	delete(ru.running, name)
	ru.number++
	ru.ended = append(ru.ended, endedRun{ru.number, name, ta.run, how})
	ru.most[name] = max(ru.most[name], ta.run)
	ru.tell("end", name, ta.run, how)
}

// tell writes an event to standard output, from where the case collects it.
func (ru *runner) tell(event, task string, run int64, how string) {
	line, _ := json.Marshal(map[string]any{"at": time.Now().UnixMilli(), "runner": ru.id, "event": event, "task": task, "run": run, "how": how})
	_, _ = os.Stdout.Write(append(line, '\n'))
}

func (ru *runner) answer(wr http.ResponseWriter, status int, body map[string]any) {
	body["clockMs"] = ru.clock()
	writeJSON(wr, status, body)
}

// admit checks the instance that a command is meant for and its fence, and takes its deadline. It is called
// with mu held and reports whether the command may be carried out.
func (ru *runner) admit(wr http.ResponseWriter, rq *http.Request, fence, deadline int64) bool {
	if want := rq.Header.Get("X-Wagtailcroft-Expect-Instance"); want != "" && want != ru.id {
		ru.answer(wr, http.StatusMisdirectedRequest, map[string]any{})
		return false
	}
	if fence < ru.fence {
		ru.answer(wr, http.StatusConflict, map[string]any{"reason": "fence"})
		return false
	}
	ru.fence = fence
	ru.deadline = max(ru.deadline, min(deadline, ru.clock()+maxHold.Milliseconds()))
	return true
}

func (ru *runner) start(wr http.ResponseWriter, rq *http.Request) {
	var co struct {
		Task, Spec string
		Run        int64
		DeadlineMs int64
		Fence      int64
		Checkpoint string
	}
	if err := json.Unmarshal(readAll(rq), &co); err != nil {
		ru.answer(wr, http.StatusBadRequest, map[string]any{})
		return
	}
	ru.mu.Lock()
	defer ru.mu.Unlock()
	if !ru.admit(wr, rq, co.Fence, co.DeadlineMs) {
		return
	}
	switch ta := ru.running[co.Task]; {
	case ta != nil && ta.run == co.Run:
		ru.answer(wr, http.StatusOK, map[string]any{})
		return
	case ta != nil || co.Run <= ru.most[co.Task]:
		ru.answer(wr, http.StatusConflict, map[string]any{"reason": "old"})
		return
	case ru.clock() > ru.deadline:
		ru.answer(wr, http.StatusConflict, map[string]any{"reason": "late"})
		return
	}
	var wo work
	_ = json.Unmarshal([]byte(co.Spec), &wo)
	ta := &task{run: co.Run, began: ru.clock(), length: wo.Millis, lasts: wo.Lasts, waits: wo.Gang > 0}
	ru.running[co.Task] = ta
	if ta.waits {
		go ru.meet(co.Task, ta, wo.Gang)
	}
	ru.tell("begin", co.Task, co.Run, "")
	ru.answer(wr, http.StatusOK, map[string]any{})
}

// meet waits for the other members of a gang. Its tasks begin to work together, and so end together.
func (ru *runner) meet(name string, ta *task, members int) {
	stage := name[:strings.LastIndex(name, ".")]
	rs, err := http.Post(fmt.Sprintf("http://%s/stand-in/gang/%s/%d/%s/%d", ru.store, stage, ta.run, name, members), "", nil)
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ta.waits, ta.alone = false, err != nil || rs.StatusCode != http.StatusOK
	ta.began = ru.clock()
	if err == nil {
		_ = rs.Body.Close()
	}
}

func (ru *runner) stop(wr http.ResponseWriter, rq *http.Request) {
	var co struct {
		Task  string
		Run   int64
		Fence int64
	}
	_ = json.Unmarshal(readAll(rq), &co)
	ru.mu.Lock()
	defer ru.mu.Unlock()
	if !ru.admit(wr, rq, co.Fence, 0) {
		return
	}
	ru.most[co.Task] = max(ru.most[co.Task], co.Run)
	if ta := ru.running[co.Task]; ta != nil && ta.run <= co.Run {
		ta.stopping = true
	}
	ru.answer(wr, http.StatusOK, map[string]any{})
}

func (ru *runner) hold(wr http.ResponseWriter, rq *http.Request) {
	var co struct{ Fence, LastSeen, DeadlineMs, WaitMs int64 }
	_ = json.Unmarshal(readAll(rq), &co)
	ru.mu.Lock()
	defer ru.mu.Unlock()
	if !ru.admit(wr, rq, co.Fence, co.DeadlineMs) {
		return
	}
	left := ru.ended[:0]
	for _, en := range ru.ended {
		if en.number > co.LastSeen {
			left = append(left, en)
		}
	}
	ru.ended = left
	until := ru.clock() + min(co.WaitMs, 2000)
	for len(ru.ended) == 0 && ru.clock() < until && rq.Context().Err() == nil {
		ru.changed.Wait()
	}
	running, ended := [][]any{}, [][]any{}
	for name, ta := range ru.running {
		percent := min(99, 100*(ru.clock()-ta.began)/max(ta.length, 1))
		if ta.lasts {
			percent = min(100, (ru.clock()-ta.began)/startup)
		}
		running = append(running, []any{name, ta.run, "", percent, 1000})
	}
	for _, en := range ru.ended[:min(len(ru.ended), 500)] {
		ended = append(ended, []any{en.number, en.task, en.run, en.how, ""})
	}
	ru.answer(wr, http.StatusOK, map[string]any{"running": running, "endedRuns": ended, "born": ru.born()})
}
