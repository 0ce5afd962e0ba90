// Command rig plays the cases of the review: it starts the system's processes on loopback
// addresses, with stand-ins for the platform's store, the runners and the clients, and checks
// one rule by what these have seen.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	service = "huvo11a"
	host    = "nony24.example"
)

// recorder writes what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	began time.Time
	out   *bufio.Writer
}

func (re *recorder) add(format string, args ...any) {
	re.mu.Lock()
	defer re.mu.Unlock()
	fmt.Fprintf(re.out, "%8.3f  %s\n", time.Since(re.began).Seconds(), fmt.Sprintf(format, args...))
}

func (re *recorder) flush() {
	re.mu.Lock()
	defer re.mu.Unlock()
	_ = re.out.Flush()
}

// job is what a client has sent, and what it was answered.
type job struct {
	id, prefix, key, spec string
	body                  map[string]any
	accepted              bool
	acceptedAt            time.Time
	starts                int
	startsAfterDone       []string
	state                 string
}

func jobOf(task string) string { return strings.SplitN(task, ".", 2)[0] }

type rig struct {
	root, dir, program         string
	storeAddress, cloudAddress string
	rec                        *recorder
	st                         *store
	fl                         *fleet
	cloud                      *cloud
	instances                  []*instance
	trouble                    bool
}

var current *rig

// abort ends the play because the case could not run.
func abort(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	fmt.Println("cannot run:", text)
	if current != nil {
		current.rec.add("cannot run: %s", text)
		current.rec.flush()
		current.stopAll()
		_ = os.RemoveAll(current.dir)
	}
	os.Exit(2)
}

func serve(ha http.Handler) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		abort("%v", err)
	}
	go func() { _ = (&http.Server{Handler: ha}).Serve(ln) }()
	return ln.Addr().String()
}

func newRig(record string) *rig {
	root, err := os.Getwd()
	if err != nil {
		abort("%v", err)
	}
	out, err := os.Create(record)
	if err != nil {
		abort("%v", err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		abort("%v", err)
	}
	rg := &rig{root: root, dir: dir, program: filepath.Join(root, "target/wagtailcroftd"), rec: &recorder{began: time.Now(), out: bufio.NewWriterSize(out, 1<<16)}, trouble: os.Getenv("TROUBLE") != "0"}
	current = rg
	if _, err := os.Stat(rg.program); err != nil {
		abort("target/wagtailcroftd is missing; run the build line of deploy/system.toml")
	}
	rg.st = newStore(rg.rec)
	rg.fl = newFleet(rg.st, rg.rec)
	rg.storeAddress = serve(rg.st)
	rg.cloud = newCloud(rg)
	rg.cloudAddress = serve(rg.cloud)
	rg.rec.add("trouble: %v", rg.trouble)
	return rg
}

// configure writes the first configuration of the operator.
func (rg *rig) configure() { rg.putConfig(3, []string{"key-of-lodu31"}) }

// putConfig writes a configuration: an urgent and a batch queue, an open one that needs no key, and
// two tenants, the second with the given keys.
func (rg *rig) putConfig(version int, keys []string) {
	route := func(name, prefix string, priority int, stretch float64, objective int, open bool) map[string]any {
		return map[string]any{"name": name, "host": host, "pathPrefix": prefix, "kind": "unsafe", "timeoutMs": 3000, "objectiveMs": objective,
			"priority": priority, "service": service, "maxAttempts": 4, "stretch": stretch, "allowAnonymous": open}
	}
	rg.st.put("op", "config", map[string]any{
		"version": version,
		"routes": []any{
			route("r-urgent", urgent, 0, 1.5, 250, false), route("r-batch", batch, 2, 3, 3000, false), route("r-open", open, 2, 3, 3000, true),
		},
		"services": []any{map[string]any{"name": service, "healthPath": "/health", "maxConnections": 64, "protocol": "h1", "tls": false,
			"enforcesCapacity": false, "standby": false}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{
			map[string]any{"name": "kaje80", "apiKeys": []string{"key-of-kaje80"}, "priority": 1, "guaranteed": map[string]any{"gpu": 8}},
			map[string]any{"name": "lodu31", "apiKeys": keys, "priority": 1, "guaranteed": map[string]any{"gpu": 0}},
		},
	})
}

var client = &http.Client{Timeout: 3 * time.Second}

// call sends a client's call to an instance. The status is 0 if there was no answer.
func (rg *rig) call(in *instance, method, path, key string, body any) (int, map[string]any) {
	var text []byte
	if body != nil {
		text, _ = json.Marshal(body)
	}
	rq, err := http.NewRequest(method, "http://"+in.front()+path, bytes.NewReader(text))
	if err != nil {
		abort("%v", err)
	}
	rq.Host = host
	rq.Header.Set("Authorization", "Bearer "+key)
	rq.Header.Set("Content-Type", "application/json")
	rq.Header.Set("X-Wagtailcroft-Deadline-Ms", "3000")
	rs, err := client.Do(rq)
	if err != nil {
		return 0, nil
	}
	defer rs.Body.Close()
	out := map[string]any{}
	read, _ := io.ReadAll(rs.Body)
	_ = json.Unmarshal(read, &out)
	return rs.StatusCode, out
}

// submit hands a job in, at one instance after the other until it is accepted.
func (rg *rig) submit(jo *job) {
	rg.fl.mu.Lock()
	rg.fl.jobs[jo.id] = jo
	rg.fl.mu.Unlock()
	jo.body["spec"] = jo.spec
	for try := 0; try < 12; try++ {
		in := rg.instances[try%len(rg.instances)]
		status, _ := rg.call(in, "POST", jo.prefix+jo.id, jo.key, jo.body)
		rg.rec.add("client: POST %s%s at %s: %d", jo.prefix, jo.id, in.name, status)
		if status/100 == 2 {
			rg.fl.mu.Lock()
			jo.accepted, jo.acceptedAt = true, time.Now()
			rg.fl.mu.Unlock()
			return
		}
		if status == 400 || status == 401 || status == 404 {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// ask asks for a job's state, at up to all instances.
func (rg *rig) ask(jo *job) string {
	for _, in := range rg.instances {
		status, out := rg.call(in, "GET", jo.prefix+jo.id, jo.key, nil)
		if status == 200 {
			state, _ := out["state"].(string)
			rg.rec.add("client: GET %s%s at %s: 200 %s", jo.prefix, jo.id, in.name, state)
			return state
		}
		rg.rec.add("client: GET %s%s at %s: %d", jo.prefix, jo.id, in.name, status)
		if status == 410 {
			return "410"
		}
	}
	return "no answer"
}

// holder returns the runner on which a task runs, and since when; nil if none.
func (fl *fleet) holder(task string) (*runner, time.Duration) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, ru := range fl.runners {
		if ru.life != nil && ru.life.runs[task] != nil {
			return ru, time.Since(ru.life.runs[task].began)
		}
	}
	return nil, 0
}

// await waits until a task has run for a time on some runner.
func (fl *fleet) await(task string, ran, within time.Duration) *runner {
	for began := time.Now(); time.Since(began) < within; time.Sleep(5 * time.Millisecond) {
		if ru, since := fl.holder(task); ru != nil && since >= ran {
			return ru
		}
	}
	return nil
}

func (fl *fleet) running() int {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	count := 0
	for _, ru := range fl.runners {
		if ru.life != nil {
			count += len(ru.life.runs)
		}
	}
	return count
}

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: rig CASE RECORD")
		os.Exit(2)
	}
	plays := map[string]func(*rig) []string{"ends": playEnds, "lives": playLives, "wide": playWide, "repeated": playRepeated, "crash": playCrash, "revoked": playRevoked, "waves": playWaves}
	play := plays[os.Args[1]]
	if play == nil {
		abort("no case %s", os.Args[1])
	}
	runtime.LockOSThread() // the processes that are started end with this thread at the latest
	rg := newRig(os.Args[2])
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		abort("interrupted: %v", <-interrupted)
	}()
	time.AfterFunc(117*time.Second, func() { abort("the case took too long") })
	broken := play(rg)
	rg.stopAll()
	if keep := os.Getenv("KEEP_LOGS"); keep == "" {
		_ = os.RemoveAll(rg.dir)
	} else {
		fmt.Println("logs in", rg.dir)
	}
	for _, text := range broken[:min(len(broken), 5)] {
		fmt.Println("BROKEN", text)
	}
	rg.rec.add("%d breaches", len(broken))
	rg.rec.flush()
	if len(broken) > 0 {
		fmt.Printf("the rule was broken: %d breaches\n", len(broken))
		os.Exit(1)
	}
	fmt.Println("the rule held")
}
