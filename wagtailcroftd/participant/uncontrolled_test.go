package participant_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/standin/fleet"
)

// leave makes a call about a job whose client disconnects after d.
func (ha *harness) leave(at int, method string, jo fleet.Job, d time.Duration) {
	text, err := json.Marshal(jo.Body)
	asserter.NoError(ha.t, err)
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	time.AfterFunc(d, leave)
	rq := httptest.NewRequestWithContext(ctx, method, jo.Queue+jo.ID, bytes.NewReader(text))
	rq.Host = fleet.Host
	rq.Header.Set("Authorization", "Bearer "+aliceKey)
	ha.instances[at].pa.ClientHandler().ServeHTTP(httptest.NewRecorder(), rq)
}

// assertServes checks that an instance is ready and accepts the job of an ordinary caller at once.
func (ha *harness) assertServes(at int) {
	ha.t.Helper()
	re := httptest.NewRecorder()
	ha.instances[at].pa.ReadinessHandler().ServeHTTP(re, httptest.NewRequest(http.MethodGet, "/v1/ready", nil))
	asserter.Equal(ha.t, re.Code, http.StatusOK)
	ha.mustSubmit(at, ha.job(normalPrefix, seconds(1), tasks(1, 1)))
}

func TestUncontrolledClients(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodDelete} {
		t.Run("an id that no job can have is unknown, and no reason to refuse others: "+method, func(t *testing.T) {
			runScenario(t, 1, 1, func(ha *harness) {
				for _, id := range []string{strings.Repeat("a", 300), strings.Repeat("a", 30_000), "A123456789abcdef", "%ff", "0123456789abcdef/"} {
					status, _, _ := ha.call(0, method, normalPrefix+id, aliceKey, struct{}{})
					asserter.Equal(t, status, http.StatusGone)
					ha.assertServes(0)
				}
			})
		})
	}
	t.Run("an operator's question about such an id is no reason to refuse callers", func(t *testing.T) {
		runScenario(t, 1, 1, func(ha *harness) {
			re := httptest.NewRecorder()
			ha.instances[0].pa.OperatorHandler().ServeHTTP(re, httptest.NewRequest(http.MethodGet, "/v1/jobs/"+strings.Repeat("a", 300), nil))
			asserter.Equal(t, re.Code, http.StatusNotFound)
			ha.assertServes(0)
		})
	})
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodDelete} {
		t.Run("a client that leaves before its answer is no reason to refuse others: "+method, func(t *testing.T) {
			runScenario(t, 1, 1, func(ha *harness) {
				for _, d := range []time.Duration{0, time.Millisecond, 3 * time.Millisecond} {
					ha.leave(0, method, ha.job(normalPrefix, seconds(1), tasks(1, 1)), d)
					ha.assertServes(0)
				}
			})
		})
	}
	t.Run("neither is one that waits less than the store takes", func(t *testing.T) {
		runScenario(t, 1, 1, func(ha *harness) {
			ha.cluster.SlowStore(20)
			status, _, _ := ha.call(0, http.MethodGet, normalPrefix+"00000000000000ff", aliceKey, struct{}{})
			asserter.Equal(t, status, http.StatusGone)
			rq := httptest.NewRequest(http.MethodGet, normalPrefix+"00000000000000ff", nil)
			rq.Host = fleet.Host
			rq.Header.Set("Authorization", "Bearer "+aliceKey)
			rq.Header.Set("X-Wagtailcroft-Deadline-Ms", "1")
			ha.instances[0].pa.ClientHandler().ServeHTTP(httptest.NewRecorder(), rq)
			ha.assertServes(0)
		})
	})
}
