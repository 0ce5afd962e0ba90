package fleet

import (
	"context"
	"net/http"
	"time"
)

// maxStartAfterEvacuation is how long after the acknowledgement of its evacuation runs may still be started
// in a zone.
const maxStartAfterEvacuation = 5 * time.Second

// evacuation is the operator's request to start nothing more in a zone.
type evacuation struct{}

// Evacuate writes the operator's request to start nothing more in a zone, and returns the version of its row.
func (cl *Cluster) Evacuate(zone string) int64 {
	version := cl.Store.Put("op", "evacuate/"+zone, evacuation{})
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.oracle.evacuated[zone] = time.Now()
	return version
}

// TakeBack removes the request to start nothing more in a zone.
func (cl *Cluster) TakeBack(zone string) {
	cl.mu.Lock()
	delete(cl.oracle.evacuated, zone)
	cl.mu.Unlock()
	cl.Store.Remove("op", "evacuate/"+zone)
}

// SetCold sets how much longer a runner reports that it is slow.
func (cl *Cluster) SetCold(at int, left time.Duration) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	ru := cl.runners[at]
	ru.coldUntil = time.Now().Add(left)
	cl.Store.Put("servers", ru.id, ru.entry())
}

// SetSlowness sets by what a runner multiplies the run times of runs that start from now on.
func (cl *Cluster) SetSlowness(at int, factor float64) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.runners[at].slowness = factor
}

// StartCountIn returns the number of runs that have been started in a zone.
func (cl *Cluster) StartCountIn(zone string) int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.oracle.startsIn[zone]
}

// WithLateDelivery marks the context of a call that left in time and is executed later, so that its sender
// is not blamed for the time of its execution.
func WithLateDelivery(ctx context.Context) context.Context {
	return context.WithValue(ctx, inGap{}, true)
}

// checkEvacuation reports a start in a zone that was evacuated too long ago.
func (ora *oracle) checkEvacuation(rq *http.Request, ru *Runner, task string) {
	ora.startsIn[ru.zone]++
	if gap, _ := rq.Context().Value(inGap{}).(bool); gap {
		return
	}
	if at, evacuated := ora.evacuated[ru.zone]; evacuated && time.Since(at) > maxStartAfterEvacuation {
		ora.reportViolation("EVAC", "%s starts on %s, %v after the evacuation of %s", task, ru.id, time.Since(at), ru.zone)
	}
}
