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
	// peers connects the instances of a harness with each other by in-memory pipes.
	peers struct {
		mu        sync.Mutex
		listeners map[string]*pipeListener
		// poweredOff holds the instances without power: connections to them time out instead
		// of being refused.
		poweredOff map[string]bool
	}

	// pipeListener is a net.Listener of in-memory pipes.
	pipeListener struct {
		conns  chan net.Conn
		closed chan struct{}

		// keepOpen makes Close leave the accepted connections open, as after a loss of power, so
		// that the peers do not see the process end.
		keepOpen bool

		mu sync.Mutex
		// open holds the accepted connections, which Close closes.
		open []net.Conn
	}
)

func newPeers() *peers {
	return &peers{listeners: map[string]*pipeListener{}, poweredOff: map[string]bool{}}
}

func (pe *peers) listen(address string) *pipeListener {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	pe.poweredOff[address] = false
	pe.listeners[address] = &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	return pe.listeners[address]
}

func (pe *peers) dial(ctx context.Context, _, address string) (net.Conn, error) {
	pe.mu.Lock()
	ln, poweredOff := pe.listeners[address], pe.poweredOff[address]
	pe.mu.Unlock()
	if poweredOff {
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

// makeUnreachable makes an instance unreachable while its open connections stay open.
func (pe *peers) makeUnreachable(address string) {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	pe.poweredOff[address] = true
	pe.listeners[address].keepOpen = true
}

// setPaused makes the process of an instance accept no connections, or accept them again. Its open
// connections stay open.
func (pe *peers) setPaused(address string, paused bool) {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	pe.poweredOff[address] = paused
}

// closeConnections closes every connection between instances; the listeners stay open.
func (pe *peers) closeConnections() {
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

// Accept waits for the next connection.
func (pi *pipeListener) Accept() (net.Conn, error) {
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

// Close makes Accept fail and closes the accepted connections unless keepOpen is set.
func (pi *pipeListener) Close() error {
	close(pi.closed)
	pi.mu.Lock()
	defer pi.mu.Unlock()
	for _, conn := range pi.open {
		if !pi.keepOpen {
			_ = conn.Close() // cannot fail
		}
	}
	return nil
}

// Addr implements net.Listener; it is not used.
func (pi *pipeListener) Addr() net.Addr { return &net.UnixAddr{} }

// query makes an operator's GET call to an instance and returns the decoded body and the
// status.
func query[T any](ha *harness, at int, path string) (T, int) {
	wr := httptest.NewRecorder()
	ha.instances[at].pa.OperatorHandler().ServeHTTP(wr, httptest.NewRequest(http.MethodGet, path, nil))
	var body T
	if err := json.Unmarshal(wr.Body.Bytes(), &body); err != nil {
		ha.t.Fatalf("%s: %v in %s", path, err, wr.Body)
	}
	return body, wr.Code
}

// assertContains checks that the lines contain a text.
func assertContains(t asserter.TB, lines []string, text string) {
	t.Helper()
	if !strings.Contains(strings.Join(lines, "\n"), text) {
		t.Fatalf("%q is not in %q", text, lines)
	}
}

func TestOperators(t *testing.T) {
	t.Run("every instance returns the same jobs, workers and workspaces", func(t *testing.T) {
		runScenario(t, 3, 4, func(ha *harness) {
			running := ha.mustSubmit(0, ha.job(urgentPrefix, seconds(60), asGang(tasks(2, 8))))
			waiting := ha.mustSubmit(1, ha.job(batchPrefix, seconds(60), asGang(tasks(4, 8))))
			ha.sleep(time.Second)
			for at := range ha.instances {
				jobs, _ := query[operator.JobList](ha, at, "/v1/jobs")
				asserter.Equal(t, len(jobs.Jobs), 2)
				asserter.Equal(t, string(jobs.Jobs[0].JobID), running.ID)
				asserter.Equal(t, jobs.Jobs[0].Steps[0].Running, 2)
				why, _ := query[operator.Why](ha, at, "/v1/jobs/"+waiting.ID+"/why")
				assertContains(t, why.Lines, "4 waiting for capacity at the same time on one rack: each requests 4000 millicores, 4000 MiB and 8 accelerators; 2 of 4 usable workers have enough free")
				targets, _ := query[operator.TargetList](ha, at, "/v1/targets")
				asserter.Equal(t, len(targets.Targets), 4)
				workspaces, _ := query[operator.WorkspaceList](ha, at, "/v1/workspaces")
				asserter.Equal(t, workspaces.Workspaces[0], operator.WorkspaceView{Workspace: "alice", Guaranteed: 16, Used: 16, Waiting: 32, Jobs: 2})
			}
		})
	})
	t.Run("an ended job is still known, an unknown one is not", func(t *testing.T) {
		runScenario(t, 2, 2, func(ha *harness) {
			jo := ha.mustSubmit(0, ha.job(normalPrefix, seconds(1), tasks(1, 1)))
			ha.awaitState(0, jo, "completed", 3*time.Second)
			ha.sleep(time.Second)
			got, _ := query[operator.JobView](ha, 1, "/v1/jobs/"+jo.ID)
			asserter.Equal(t, got.State, "completed")
			doc, status := query[types.Problem](ha, 1, "/v1/jobs/0000000000000000")
			asserter.Equal(t, status, http.StatusNotFound)
			asserter.Equal(t, doc.Kind, string(problem.UnknownJob))
		})
	})
	t.Run("the table shows the configuration in force and cannot be edited", func(t *testing.T) {
		runScenario(t, 1, 2, func(ha *harness) {
			table, _ := query[operator.Table](ha, 0, "/v1/table")
			asserter.Equal(t, len(table.Rows), 2)
			asserter.Equal(t, table.Rows[0].Cells.Guarantees[0].Count, 8)
			doc, status := query[types.Problem](ha, 0, "/v1/history")
			asserter.Equal(t, status, http.StatusNotImplemented)
			asserter.Equal(t, doc.Kind, string(problem.KeptByPlatform))
		})
	})
	t.Run("after a takeover the new leader answers", func(t *testing.T) {
		runScenario(t, 3, 2, func(ha *harness) {
			ha.mustSubmit(0, ha.job(normalPrefix, seconds(60), tasks(1, 1)))
			ha.sleep(time.Second)
			leader := ha.leader()
			ha.kill(leader)
			other := (leader + 1) % 3
			doc, status := query[types.Problem](ha, other, "/v1/jobs")
			asserter.Equal(t, status, http.StatusServiceUnavailable)
			asserter.Equal(t, doc.Kind, string(problem.PeerUnavailable))
			ha.sleep(6 * time.Second)
			for _, at := range []int{other, (leader + 2) % 3} {
				jobs, _ := query[operator.JobList](ha, at, "/v1/jobs")
				asserter.Equal(t, len(jobs.Jobs), 1)
			}
		})
	})
}

func TestMetricsText(t *testing.T) {
	runScenario(t, 3, 4, func(ha *harness) {
		ha.awaitState(0, ha.mustSubmit(0, ha.job(normalPrefix, seconds(1), tasks(2, 1))), "completed", 4*time.Second)
		in := ha.instances[ha.leader()].pa
		for name, handler := range map[string]http.Handler{"the address of the metrics": in.MetricsHandler(), "the operators' address": in.OperatorHandler()} {
			re := httptest.NewRecorder()
			handler.ServeHTTP(re, httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody))
			for _, line := range []string{`wagtailcroft_ends_total{label="done"} 2`, `wagtailcroft_starts_total{label="taken"} 2`, "wagtailcroft_start_millis_count 2"} {
				if !strings.Contains(re.Body.String(), line+"\n") {
					t.Fatalf("%s: the leader's metrics lack the line %q", name, line)
				}
			}
		}
	})
}
