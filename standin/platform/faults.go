package platform

import (
	"context"
	"net/http"
	"slices"
	"strings"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/platform"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
)

// controlPaths are served whatever the faults are.
var controlPaths = []string{"/v1/faults", "/v1/audit"}

// SetFaults replaces the faults.
func (pl *Platform) SetFaults(_ context.Context, req platform.SetFaultsRequestObject) (platform.SetFaultsResponseObject, error) {
	pl.Change(func(fa *platform.Faults) { *fa = *req.Body })
	return platform.SetFaults200JSONResponse(*req.Body), nil
}

// Change edits the faults in force.
func (pl *Platform) Change(edit func(*platform.Faults)) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	before := pl.faults
	edit(&pl.faults)
	if pl.faults.StaleReads != before.StaleReads {
		pl.tables.freeze(pl.faults.StaleReads)
	}
	pl.inventory.markLeaving(pl.faults.Leaving, pl.clock.Now())
}

// verdict is what the faults do to one call.
type verdict struct {
	delay clock.Millis
	cut   bool
	down  bool
}

// faulty delays, cuts or refuses calls as the faults say.
func (pl *Platform) faulty(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if slices.Contains(controlPaths, r.URL.Path) {
			next.ServeHTTP(w, r)
			return
		}
		ve := pl.judge(r)
		if ve.delay > 0 && !clock.Sleep(r.Context(), pl.clock, ve.delay) {
			return
		}
		if ve.cut {
			panic(http.ErrAbortHandler)
		}
		if ve.down {
			http.Error(w, "the store is down", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
		if pl.losesAnswer(r) {
			panic(http.ErrAbortHandler)
		}
	})
}

func (pl *Platform) judge(r *http.Request) verdict {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	zone := identifier.Zone(r.Header.Get(ZoneHeader))
	instance := identifier.Instance(r.Header.Get(InstanceHeader))
	cut := slices.Contains(pl.faults.CutZones, zone) || slices.Contains(pl.faults.CutInstances, instance)
	ve := verdict{cut: cut}
	if !strings.HasPrefix(r.URL.Path, "/v1/tasks") && !strings.HasPrefix(r.URL.Path, "/v1/inventory") {
		ve.delay = pl.faults.StoreDelayMillis
		ve.down = pl.faults.StoreDown
	}
	return ve
}

// losesAnswer reports whether the answer of a transaction, which has taken effect, is
// dropped. The strict server writes an answer in one piece at the end, so that dropping
// the connection here cuts it before it is flushed.
func (pl *Platform) losesAnswer(r *http.Request) bool {
	if r.URL.Path != "/v1/transact" {
		return false
	}
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if pl.faults.LoseAnswers <= 0 {
		return false
	}
	pl.faults.LoseAnswers--
	return true
}
