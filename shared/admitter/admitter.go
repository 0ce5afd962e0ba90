// Package admitter decides whether a request may enter: within its workspace's limit and
// with a fair chance to be answered in time.
package admitter

import (
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/locker"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
)

const (
	smoothing  = 8                   // one over the weight of the newest service time
	retryAfter = clock.Second        // told to callers that were refused for load
	firstGuess = 5 * clock.Millis(1) // service time before any was seen
)

type (
	// Limits are what the shared table allows a workspace at one entry instance.
	Limits struct {
		Requests      int32
		Unconfirmed   int32
		UrgentAllowed bool
		// Confirmed means that the limits are known to be the newest.
		Confirmed bool
	}

	// Call is a request that asks to enter.
	Call struct {
		Workspace identifier.Workspace
		Urgent    bool
		// Deadline is the moment after which the answer is of no use.
		Deadline clock.Millis
	}

	// Admitter counts the requests in flight of each workspace.
	Admitter struct {
		// workers is the number of requests that are served at one time.
		workers int32

		mu locker.Mutex
		// inFlight counts admitted requests that have not ended, guarded by mu. It has
		// no zero entries.
		inFlight map[identifier.Workspace]int32
		// total is the sum of inFlight, guarded by mu.
		total int32
		// service is the smoothed service time, guarded by mu.
		service clock.Millis
	}
)

// New returns an admitter for a number of requests served at one time.
func New(workers int32) *Admitter {
	return &Admitter{
		workers:  workers,
		mu:       locker.New(locker.RankAdmission),
		inFlight: map[identifier.Workspace]int32{},
		service:  firstGuess,
	}
}

// Enter admits a request or says why not. Every admitted request must Leave once.
func (ad *Admitter) Enter(ca Call, li Limits, now clock.Millis) error {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	if ca.Urgent && !li.UrgentAllowed {
		return problem.New(problem.UrgentNotAllowed, "workspace %s", ca.Workspace)
	}
	limit := li.Requests
	if !li.Confirmed {
		limit = min(limit, li.Unconfirmed)
	}
	if ad.inFlight[ca.Workspace] >= limit {
		return problem.New(problem.TooManyRequests, "%d of %d requests of workspace %s are in flight here", ad.inFlight[ca.Workspace], limit, ca.Workspace).Retry(retryAfter)
	}
	if wait := ad.wait(ca.Urgent); now+wait > ca.Deadline {
		return problem.New(problem.DeadlineTooShort, "about %d ms would pass in the queue", wait).Retry(wait)
	}
	ad.inFlight[ca.Workspace]++
	ad.total++
	return nil
}

// wait estimates the time in the queue. Urgent requests overtake all others.
func (ad *Admitter) wait(urgent bool) clock.Millis {
	queued := ad.total - ad.workers
	if urgent || queued <= 0 {
		return 0
	}
	return clock.Millis(queued) * ad.service / clock.Millis(ad.workers)
}

// Leave ends an admitted request that took a service time; 0 means that it was not served.
func (ad *Admitter) Leave(ws identifier.Workspace, service clock.Millis) {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	ad.total--
	ad.inFlight[ws]--
	if ad.inFlight[ws] == 0 {
		delete(ad.inFlight, ws)
	}
	if service > 0 {
		ad.service += (service - ad.service) / smoothing
	}
}

// InFlight is the number of admitted requests that have not ended.
func (ad *Admitter) InFlight() int32 {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	return ad.total
}
