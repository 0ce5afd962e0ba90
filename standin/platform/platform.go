// Package platform simulates the services of the platform for tests: the transactional
// table service, the object store, the inventory of targets, which lags behind, and the
// tasks of the workers. It keeps all state in memory, so nothing survives the process, and
// injects faults on request.
package platform

import (
	"context"
	"net/http"

	"github.com/gorilla/mux"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/platform"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/locker"
)

const (
	// ZoneHeader carries the availability zone of the caller, so that a zone can be cut off.
	ZoneHeader = "Wagtailcroft-Zone"
	// InstanceHeader carries the ID of the calling instance, so that it can be cut off.
	InstanceHeader = "Wagtailcroft-Instance"
)

// Platform holds the state of all services behind one mutex.
type Platform struct {
	clock clock.Clock

	mu locker.Mutex
	// tables is guarded by mu.
	tables tableSet
	// objects is guarded by mu. Objects are immutable.
	objects map[string]string
	// inventory is guarded by mu.
	inventory inventory
	// tasks is guarded by mu.
	tasks taskSet
	// faults is guarded by mu.
	faults platform.Faults
	// audit is guarded by mu.
	audit platform.Audit
}

// New returns a simulated platform with the targets of the layout.
func New(cl clock.Clock, la Layout) *Platform {
	pl := &Platform{
		clock:   cl,
		mu:      locker.New(locker.RankPlatform),
		tables:  newTableSet(),
		objects: map[string]string{},
		tasks:   newTaskSet(la),
	}
	pl.inventory = newInventory(la)
	return pl
}

// Handler serves the platform API.
func (pl *Platform) Handler() http.Handler {
	router := mux.NewRouter()
	router.Use(pl.injectFaults)
	return platform.HandlerFromMux(platform.NewStrictHandler(pl, nil), router)
}

// PutObject stores an object. If the name is already in use, the stored object stays as it
// is and the response is the same as for a new object.
func (pl *Platform) PutObject(_ context.Context, req platform.PutObjectRequestObject) (platform.PutObjectResponseObject, error) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if _, used := pl.objects[req.Body.Name]; !used {
		pl.objects[req.Body.Name] = req.Body.Body
	}
	return platform.PutObject200JSONResponse{Name: req.Body.Name}, nil
}

// GetObject returns an object.
func (pl *Platform) GetObject(_ context.Context, req platform.GetObjectRequestObject) (platform.GetObjectResponseObject, error) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	body, found := pl.objects[req.Params.Name]
	if !found {
		return platform.GetObject404Response{}, nil
	}
	return platform.GetObject200JSONResponse{Name: req.Params.Name, Body: body}, nil
}

// GetAudit returns the platform's own record of what has happened since the start.
func (pl *Platform) GetAudit(context.Context, platform.GetAuditRequestObject) (platform.GetAuditResponseObject, error) {
	return platform.GetAudit200JSONResponse(pl.Audit()), nil
}

// Audit returns the platform's own record of what has happened since the start.
func (pl *Platform) Audit() platform.Audit {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.completeDue()
	audit := pl.audit
	audit.HalfRunning = pl.tasks.countPartial()
	audit.LongestHalfMillis = pl.tasks.longestPartial(pl.clock.Now())
	return audit
}

// CutZones replaces the set of zones that are cut off: their calls get no response.
func (pl *Platform) CutZones(zones ...identifier.Zone) {
	pl.EditFaults(func(fa *platform.Faults) { fa.CutZones = zones })
}
