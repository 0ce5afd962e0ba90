package participant_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/operator"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/types"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
)

type (
	// peers connects the instances of a scene with each other by pipes.
	peers struct {
		mu        sync.Mutex
		listeners map[string]*pipes
		// silent holds the instances that lost their power: nobody refuses a connection.
		silent map[string]bool
	}

	// pipes is a listener.
	pipes struct {
		conns  chan net.Conn
		closed chan struct{}

		// dark means that nothing tells of the end of the process.
		dark bool

		mu sync.Mutex
		// open are the ends that were accepted; a process that ends closes them.
		open []net.Conn
	}
)

func newPeers() *peers { return &peers{listeners: map[string]*pipes{}, silent: map[string]bool{}} }

func (pe *peers) listen(address string) *pipes {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	pe.silent[address] = false
	pe.listeners[address] = &pipes{conns: make(chan net.Conn), closed: make(chan struct{})}
	return pe.listeners[address]
}

func (pe *peers) dial(ctx context.Context, _, address string) (net.Conn, error) {
	pe.mu.Lock()
	ln, silent := pe.listeners[address], pe.silent[address]
	pe.mu.Unlock()
	if silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if ln == nil {
		return nil, syscall.ECONNREFUSED
	}
	here, there := net.Pipe()
	select {
	case ln.conns <- there:
		return here, nil
	case <-ln.closed:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// silence has an instance lose its power: what it has open stays as it is.
func (pe *peers) silence(address string) {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	pe.silent[address] = true
	pe.listeners[address].dark = true
}

// breakAll closes every connection between instances; all of them go on to listen.
func (pe *peers) breakAll() {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	for _, ln := range pe.listeners {
		ln.mu.Lock()
		for _, conn := range ln.open {
			_ = conn.Close() // cannot fail
		}
		ln.mu.Unlock()
	}
}

// Accept waits for a connection.
func (pi *pipes) Accept() (net.Conn, error) {
	select {
	case conn := <-pi.conns:
		pi.mu.Lock()
		defer pi.mu.Unlock()
		pi.open = append(pi.open, conn)
		return conn, nil
	case <-pi.closed:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (pi *pipes) Close() error {
	close(pi.closed)
	pi.mu.Lock()
	defer pi.mu.Unlock()
	for _, conn := range pi.open {
		if !pi.dark {
			_ = conn.Close() // cannot fail
		}
	}
	return nil
}

// Addr is not used.
func (pi *pipes) Addr() net.Addr { return &net.UnixAddr{} }

// asks puts an operator's question to an instance and returns the status.
func asks[T any](sc *scene, at int, path string) (T, int) {
	wr := httptest.NewRecorder()
	sc.instances[at].pa.Operators().ServeHTTP(wr, httptest.NewRequest(http.MethodGet, path, nil))
	var body T
	if err := json.Unmarshal(wr.Body.Bytes(), &body); err != nil {
		sc.t.Fatalf("%s: %v in %s", path, err, wr.Body)
	}
	return body, wr.Code
}

// says checks that some line contains a text.
func says(t asserter.Test, lines []string, text string) {
	t.Helper()
	if !strings.Contains(strings.Join(lines, "\n"), text) {
		t.Fatalf("%q is not in %q", text, lines)
	}
}

func TestOperators(t *testing.T) {
	t.Run("every instance tells the same of jobs, workers and workspaces", func(t *testing.T) {
		play(t, 3, 4, func(sc *scene) {
			running := sc.accepted(0, sc.job(urgentPrefix, seconds(60), ganged(tasks(2, 8))))
			waiting := sc.accepted(1, sc.job(batchPrefix, seconds(60), ganged(tasks(4, 8))))
			sc.sleep(time.Second)
			for at := range sc.instances {
				jobs, _ := asks[operator.JobList](sc, at, "/v1/jobs")
				asserter.Equal(t, len(jobs.Jobs), 2)
				asserter.Equal(t, string(jobs.Jobs[0].JobID), running.ID)
				asserter.Equal(t, jobs.Jobs[0].Steps[0].Running, 2)
				why, _ := asks[operator.Why](sc, at, "/v1/jobs/"+waiting.ID+"/why")
				says(t, why.Lines, "4 wait for room at one time on one rack of 4000 millicores, 4000 MiB and 8 accelerators each; 2 of 4 usable workers have it")
				targets, _ := asks[operator.TargetList](sc, at, "/v1/targets")
				asserter.Equal(t, len(targets.Targets), 4)
				workspaces, _ := asks[operator.WorkspaceList](sc, at, "/v1/workspaces")
				asserter.Equal(t, workspaces.Workspaces[0], operator.WorkspaceView{Workspace: "alice", Guaranteed: 16, Used: 16, Waiting: 32, Jobs: 2})
			}
		})
	})
	t.Run("an ended job is still known, another is not", func(t *testing.T) {
		play(t, 2, 2, func(sc *scene) {
			jo := sc.accepted(0, sc.job(normalPrefix, seconds(1), tasks(1, 1)))
			sc.becomes(0, jo, "completed", 3*time.Second)
			sc.sleep(time.Second)
			seen, _ := asks[operator.JobView](sc, 1, "/v1/jobs/"+jo.ID)
			asserter.Equal(t, seen.State, "completed")
			doc, status := asks[types.Problem](sc, 1, "/v1/jobs/0000000000000000")
			asserter.Equal(t, status, http.StatusNotFound)
			asserter.Equal(t, doc.Kind, string(problem.UnknownJob))
		})
	})
	t.Run("the table shows the configuration in force, and is not edited here", func(t *testing.T) {
		play(t, 1, 2, func(sc *scene) {
			table, _ := asks[operator.Table](sc, 0, "/v1/table")
			asserter.Equal(t, len(table.Rows), 2)
			asserter.Equal(t, table.Rows[0].Cells.Guarantees[0].Count, 8)
			doc, status := asks[types.Problem](sc, 0, "/v1/history")
			asserter.Equal(t, status, http.StatusNotImplemented)
			asserter.Equal(t, doc.Kind, string(problem.KeptByPlatform))
		})
	})
	t.Run("after a takeover the new holder answers", func(t *testing.T) {
		play(t, 3, 2, func(sc *scene) {
			sc.accepted(0, sc.job(normalPrefix, seconds(60), tasks(1, 1)))
			sc.sleep(time.Second)
			holder := sc.holder()
			sc.kill(holder)
			other := (holder + 1) % 3
			doc, status := asks[types.Problem](sc, other, "/v1/jobs")
			asserter.Equal(t, status, http.StatusServiceUnavailable)
			asserter.Equal(t, doc.Kind, string(problem.PeerUnavailable))
			sc.sleep(6 * time.Second)
			for _, at := range []int{other, (holder + 2) % 3} {
				jobs, _ := asks[operator.JobList](sc, at, "/v1/jobs")
				asserter.Equal(t, len(jobs.Jobs), 1)
			}
		})
	})
}
