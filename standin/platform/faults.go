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

// controlPaths lists the paths that are exempt from the injected faults.
var controlPaths = []string{"/v1/faults", "/v1/audit"}

// disruption is the effect of the injected faults on one call.
type disruption struct {
	delay clock.Millis
	// cut means that the connection is closed without a response.
	cut bool
	// down means that the store responds with an error.
	down bool
}

// SetFaults replaces the injected faults.
func (pl *Platform) SetFaults(_ context.Context, req platform.SetFaultsRequestObject) (platform.SetFaultsResponseObject, error) {
	pl.EditFaults(func(fa *platform.Faults) { *fa = *req.Body })
	return platform.SetFaults200JSONResponse(*req.Body), nil
}

// EditFaults applies edit to the injected faults.
func (pl *Platform) EditFaults(edit func(*platform.Faults)) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	before := pl.faults
	edit(&pl.faults)
	if pl.faults.StaleReads != before.StaleReads {
		pl.tables.freeze(pl.faults.StaleReads)
	}
	pl.inventory.markDraining(pl.faults.Leaving, pl.clock.Now())
}

// injectFaults is a middleware that delays calls, closes their connections or responds with
// an error, according to the injected faults.
func (pl *Platform) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if slices.Contains(controlPaths, r.URL.Path) {
			next.ServeHTTP(w, r)
			return
		}
		di := pl.disruptionOf(r)
		if di.delay > 0 && !clock.Sleep(r.Context(), pl.clock, di.delay) {
			return
		}
		if di.cut {
			panic(http.ErrAbortHandler)
		}
		if di.down {
			http.Error(w, "the store is unavailable (injected fault)", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
		if pl.dropsResponse(r) {
			panic(http.ErrAbortHandler)
		}
	})
}

func (pl *Platform) disruptionOf(r *http.Request) disruption {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	zone := identifier.Zone(r.Header.Get(ZoneHeader))
	instance := identifier.Instance(r.Header.Get(InstanceHeader))
	cut := slices.Contains(pl.faults.CutZones, zone) || slices.Contains(pl.faults.CutInstances, instance)
	di := disruption{cut: cut}
	if !strings.HasPrefix(r.URL.Path, "/v1/tasks") && !strings.HasPrefix(r.URL.Path, "/v1/inventory") {
		di.delay = pl.faults.StoreDelayMillis
		di.down = pl.faults.StoreDown
	}
	return di
}

// dropsResponse reports whether the response to an applied transaction is dropped. The
// strict server writes the whole response at the end of the handler, so aborting the call
// after the handler drops the response before it is flushed.
func (pl *Platform) dropsResponse(r *http.Request) bool {
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
