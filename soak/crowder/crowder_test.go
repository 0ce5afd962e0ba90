package crowder_test

import (
	"context"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/rpc"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/platform/wire"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/peer"
	"github.com/wagtailcroft/wagtailcroft/soak/crowder"
	"github.com/wagtailcroft/wagtailcroft/soak/launcher"
	"github.com/wagtailcroft/wagtailcroft/standin/fleet"
)

const (
	// crowd is the number of connections at once. crowdEnv names another one, for runs by hand on a machine
	// of memoryEnv MiB with descriptorsEnv descriptors.
	crowd          = 300
	crowdEnv       = "WAGTAILCROFT_CROWD"
	memoryEnv      = "WAGTAILCROFT_CROWD_MEMORY_MB"
	descriptorsEnv = "WAGTAILCROFT_CROWD_DESCRIPTORS"
	// reservedDescriptors are those of a machine that the platform sets aside for files.
	reservedDescriptors = 200
	// bodyLimit and headLimit are those of the operators' configuration.
	bodyLimit = 262_144
	headLimit = 16_384
	// endless is how much a client sends of what has no end.
	endless = 960 << 10
	key     = "crowd-key"
	// answerTime is when a test gives up waiting for the answer to the ordinary call.
	answerTime = 60 * time.Second
)

// program is the path of wagtailcroftd, which TestMain builds.
var program string

// rig is an instance with a platform of its own.
type rig struct {
	machine launcher.Machine
	crowd   int
	in      *launcher.Instance
	pid     int
}

func TestMain(ma *testing.M) {
	dir, err := os.MkdirTemp("", "crowder")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "wagtailcroftd")
	if out, err := exec.Command("go", "build", "-o", program, "github.com/wagtailcroft/wagtailcroft/wagtailcroftd").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("%v: %s", err, out))
	}
	code := ma.Run()
	_ = os.RemoveAll(dir) // a folder for temporary files
	os.Exit(code)
}

func number(t *testing.T, env string, otherwise int64) int64 {
	t.Helper()
	text := os.Getenv(env)
	if text == "" {
		return otherwise
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		t.Fatalf("%s: %v", env, err)
	}
	return value
}

// newRig starts an instance on a machine with little memory and few descriptors.
func newRig(t *testing.T) *rig {
	t.Helper()
	ri := &rig{
		machine: launcher.Machine{MemoryMb: number(t, memoryEnv, 64), MaxFds: number(t, descriptorsEnv, 400)},
		crowd:   int(number(t, crowdEnv, crowd)),
	}
	sr, err := fleet.Listen(fleet.Options{
		RunnerCount: 2, RunnersPerRack: 2, MaxLease: 10 * time.Second, DrainTime: 6 * time.Second, GangTimeout: 3 * time.Second,
		Capacity: workload.Resources{CPU: 64000, Memory: 128000, Accelerators: 8},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(sr.Close)
	sr.Configure(wire.Config{
		Version: 1, Services: []wire.Service{{Name: fleet.Pool}}, Limits: wire.ConfigLimits{MaxBodyBytes: bodyLimit},
		Routes:  []wire.Route{{Name: "urgent", Host: fleet.Host, PathPrefix: "/urgent/", Service: fleet.Pool, TimeoutMs: 3000, ObjectiveMs: 1000, Stretch: 3, MaxAttempts: 3}},
		Tenants: []wire.Tenant{{Name: "crowd", APIKeys: []string{key}}},
	})
	for range 1000 {
		ip := fmt.Sprintf("127.%d.%d.%d", 100+rand.IntN(100), rand.IntN(250), 2+rand.IntN(250))
		if launcher.Free(ip) {
			ri.in, err = launcher.New(program, t.TempDir(), "front-0", ip, "z0", sr.StoreAddress, ri.machine)
			break
		}
	}
	if err != nil {
		t.Fatal(err)
	}
	if err := ri.in.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(ri.in.Kill)
	if err := ri.in.AwaitReady(); err != nil {
		t.Fatal(err)
	}
	ri.pid, _ = ri.in.PID()
	ri.assertServes(t)
	return ri
}

// assertServes checks that an ordinary client gets a job accepted, which repeats its call after a broken
// connection or a refusal, as clients do.
func (ri *rig) assertServes(t *testing.T) {
	t.Helper()
	body, err := json.Marshal(wire.JobBody{Spec: "ordinary", Steps: []wire.StepBody{{Count: 1, CPU: 1000, MemMb: 1000, EstimateMs: 1000}}})
	if err != nil {
		t.Fatal(err)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: answerTime}
	target, last := fmt.Sprintf("%s/urgent/%016x", ri.in.URL(), rand.Uint64()), ""
	for end := time.Now().Add(answerTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		rq, err := http.NewRequestWithContext(context.Background(), http.MethodPost, target, strings.NewReader(string(body)))
		if err != nil {
			t.Fatal(err)
		}
		rq.Host = fleet.Host
		rq.Header.Set("Authorization", "Bearer "+key)
		rs, err := client.Do(rq)
		if err != nil {
			last = err.Error()
			continue
		}
		_ = rs.Body.Close()
		last = rs.Status
		if rs.StatusCode == http.StatusOK {
			return
		}
	}
	t.Errorf("an ordinary submission is not accepted: %s", last)
}

// assertHolds checks that the process lives, within the memory and the descriptors of its machine.
func (ri *rig) assertHolds(t *testing.T) {
	t.Helper()
	if _, lives := ri.in.PID(); !lives {
		t.Fatal("the process has ended")
	}
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", ri.pid))
	if err != nil {
		t.Fatal(err)
	}
	peak := peakMemory(t, ri.pid)
	t.Logf("%d descriptors, peak memory %d KiB", len(files), peak)
	if bound := ri.machine.MaxFds - reservedDescriptors; int64(len(files)) > bound {
		t.Errorf("%d descriptors are open, more than %d", len(files), bound)
	}
	if bound := ri.machine.MemoryMb << 10; peak > bound {
		t.Errorf("the peak memory is %d KiB, more than %d", peak, bound)
	}
}

// peakMemory returns the peak of the resident memory of a process, in KiB.
func peakMemory(t *testing.T, pid int) int64 {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmHWM:" {
			value, err := strconv.ParseInt(fields[1], 10, 64)
			if err != nil {
				t.Fatal(err)
			}
			return value
		}
	}
	t.Fatal("no VmHWM in the status of the process")
	return 0
}

// assertOutlasts checks an instance while a crowd is connected to one of its listeners, and after it.
func assertOutlasts(t *testing.T, listener string, client crowder.Client) {
	t.Helper()
	ri := newRig(t)
	cr := crowder.Gather(ri.in.Listeners()[listener], ri.crowd, client)
	defer cr.Close()
	ri.assertHolds(t)
	ri.assertServes(t)
	ri.assertHolds(t)
}

// id returns a job id that no other client uses.
func id() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// spec returns the first bytes of a body of the largest legal size.
func spec(size int) string {
	body := `{"spec":"` + strings.Repeat("a", bodyLimit-len(`{"spec":""}`)) + `"}`
	return body[:size]
}

// emptySteps returns a body of the largest legal size with as many steps as fit.
func emptySteps() string {
	const begin, end = `{"steps":[{}`, `]}`
	body := begin + strings.Repeat(",{}", (bodyLimit-len(begin)-len(end))/3)
	return body + end
}

func whole(body string) string {
	return crowder.Post(id(), key, "Content-Length: "+strconv.Itoa(len(body))+"\r\n") + body
}

func TestCrowdHeadsOverLimit(t *testing.T) {
	assertOutlasts(t, "callers", crowder.Text(crowder.Head(endless)+"\r\n\r\n"))
}

func TestCrowdHeadsWithoutEnd(t *testing.T) {
	assertOutlasts(t, "callers", crowder.Text(crowder.Head(endless)))
}

func TestCrowdHeadsJustShort(t *testing.T) {
	assertOutlasts(t, "callers", crowder.Text(crowder.Head(headLimit-200)))
}

func TestCrowdHeaderLines(t *testing.T) {
	assertOutlasts(t, "callers", crowder.Text(crowder.Lines(100_000)))
}

func TestCrowdEmptyLines(t *testing.T) {
	assertOutlasts(t, "callers", crowder.Text(strings.Repeat("\r\n", endless/2)))
}

func TestCrowdEmptyLinesBetweenRequests(t *testing.T) {
	assertOutlasts(t, "callers", crowder.Text(whole("{}")+strings.Repeat("\r\n", endless/2)))
}

func TestCrowdBodiesWhole(t *testing.T) {
	text := whole(spec(bodyLimit))
	assertOutlasts(t, "callers", crowder.Repeat(text, 3))
}

func TestCrowdBodiesManySteps(t *testing.T) {
	text := whole(emptySteps())
	assertOutlasts(t, "callers", crowder.Repeat(text, 3))
}

func TestCrowdBodiesJustShort(t *testing.T) {
	text := crowder.Post(id(), key, "Content-Length: "+strconv.Itoa(bodyLimit)+"\r\n") + spec(bodyLimit-1)
	assertOutlasts(t, "callers", crowder.Text(text))
}

func TestCrowdBodiesPieceByPiece(t *testing.T) {
	text := crowder.Post(id(), key, "Content-Length: "+strconv.Itoa(bodyLimit)+"\r\n") + spec(bodyLimit-1)
	assertOutlasts(t, "callers", crowder.Pieces(text, 4<<10, 20))
}

func TestCrowdChunksLarge(t *testing.T) {
	text := crowder.Post(id(), key, "Transfer-Encoding: chunked\r\n") + crowder.Chunks(spec(bodyLimit-1), 64<<10)
	assertOutlasts(t, "callers", crowder.Text(text))
}

func TestCrowdChunksTiny(t *testing.T) {
	text := crowder.Post(id(), key, "Transfer-Encoding: chunked\r\n") + crowder.Chunks(spec(bodyLimit/2), 1)
	assertOutlasts(t, "callers", crowder.Text(text))
}

func TestCrowdChunksWhole(t *testing.T) {
	text := crowder.Post(id(), key, "Transfer-Encoding: chunked\r\n") + crowder.Chunks(spec(bodyLimit), 4<<10) + "0\r\n\r\n"
	assertOutlasts(t, "callers", crowder.Repeat(text, 3))
}

func TestCrowdSilent(t *testing.T) { assertOutlasts(t, "callers", crowder.Silent) }

func TestCrowdOtherProtocol(t *testing.T) {
	hello := "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" + strings.Repeat("\x00", 500)
	assertOutlasts(t, "callers", crowder.Text(hello))
}

func TestCrowdUnreadAnswers(t *testing.T) {
	text := strings.Repeat("GET /urgent/ HTTP/1.1\r\nHost: jobs.example\r\nAuthorization: Bearer "+key+"\r\n\r\n", 2000)
	assertOutlasts(t, "callers", crowder.Text(text))
}

func TestCrowdCompressedBodies(t *testing.T) {
	text := crowder.Post(id(), key, "Content-Encoding: gzip\r\nContent-Length: "+strconv.Itoa(bodyLimit)+"\r\n") + spec(bodyLimit)
	assertOutlasts(t, "callers", crowder.Repeat(text, 3))
}

func TestCrowdDeepBodies(t *testing.T) {
	text := whole(`{"x":` + strings.Repeat("[", bodyLimit/2))
	assertOutlasts(t, "callers", crowder.Repeat(text, 3))
}

func TestCrowdManyKeys(t *testing.T) {
	var sb strings.Builder
	sb.WriteString("{")
	for i := 0; sb.Len() < bodyLimit-20; i++ {
		_, _ = fmt.Fprintf(&sb, "\"k%x\":0,", i) // a builder cannot fail
	}
	sb.WriteString("\"z\":0}")
	assertOutlasts(t, "callers", crowder.Repeat(whole(sb.String()), 3))
}

func TestCrowdReadiness(t *testing.T) {
	assertOutlasts(t, "readiness", crowder.Text(crowder.Head(endless)))
}

func TestCrowdOperators(t *testing.T) {
	assertOutlasts(t, "operators", crowder.Text(crowder.Head(endless)))
}

func TestCrowdMetrics(t *testing.T) {
	assertOutlasts(t, "metrics", crowder.Text(crowder.Head(endless)))
}

func TestCrowdOperatorsUnreadAnswers(t *testing.T) {
	assertOutlasts(t, "operators", crowder.Text(strings.Repeat("GET /debug/vars HTTP/1.1\r\nHost: operators\r\n\r\n", 2000)))
}

// TestCrowdPeers sends the length of a message of a gigabyte, and a part of the message.
func TestCrowdPeers(t *testing.T) {
	assertOutlasts(t, "peers", crowder.Text("\xfc\x3f\xff\xff\xff"+strings.Repeat("a", endless)))
}

// TestCrowdPeersManyCalls sends calls of another instance without reading the answers.
func TestCrowdPeersManyCalls(t *testing.T) {
	var text strings.Builder
	en := gob.NewEncoder(&text)
	for i := range uint64(20_000) {
		if err := en.Encode(rpc.Request{ServiceMethod: "Messenger.Ping", Seq: i}); err != nil {
			t.Fatal(err)
		}
		if err := en.Encode(peer.Ping{Instance: "front-1"}); err != nil {
			t.Fatal(err)
		}
	}
	assertOutlasts(t, "peers", crowder.Text(text.String()))
}

func TestCrowdHeadsDripping(t *testing.T) {
	assertOutlasts(t, "callers", crowder.Pieces(crowder.Head(1), 1, 20))
}

func TestCrowdBodiesDripping(t *testing.T) {
	text := crowder.Post(id(), key, "Content-Length: "+strconv.Itoa(bodyLimit)+"\r\n")
	assertOutlasts(t, "callers", crowder.Pieces(text+spec(8<<10), 256, 50))
}

// TestSingleLargestRequest checks that a request of the largest legal size gets an answer in calm.
func TestSingleLargestRequest(t *testing.T) {
	ri := newRig(t)
	for name, text := range map[string]string{
		"whole":  whole(spec(bodyLimit)),
		"chunks": crowder.Post(id(), key, "Transfer-Encoding: chunked\r\n") + crowder.Chunks(spec(bodyLimit), 1) + "0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", ri.in.Listeners()["callers"])
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			crowder.Text(text)(conn)
			_ = conn.SetReadDeadline(time.Now().Add(answerTime)) // a closed connection fails below
			answer := make([]byte, 12)
			if _, err := conn.Read(answer); err != nil || string(answer) != "HTTP/1.1 400" {
				t.Errorf("a spec of the largest legal body is answered %q, %v; it is longer than 4,000 bytes, which is refused with 400", answer, err)
			}
		})
	}
	ri.assertHolds(t)
}
