// Package admitter implements admission control: it admits a request if its workspace is
// below its limit and the estimated queueing time ends before the deadline of the request.
package admitter

import (
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/locker"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
)

const (
	smoothingDivisor   = 8                   // the newest service time has a weight of 1/smoothingDivisor
	retryAfter         = clock.Second        // sent to callers whose workspace is at its limit
	initialServiceTime = 5 * clock.Millis(1) // assumed service time before the first measurement
)

type (
	// Limits holds the limits of a workspace at one entry instance, from the shared table.
	Limits struct {
		// Requests is the maximum number of requests in flight.
		Requests int32
		// Unconfirmed is the maximum that applies, if it is lower, while the limits are not
		// confirmed.
		Unconfirmed   int32
		UrgentAllowed bool
		// Confirmed means that the limits are known to be up to date.
		Confirmed bool
	}

	// Request describes a request for admission.
	Request struct {
		Workspace identifier.Workspace
		Urgent    bool
		// Deadline is the time after which the caller no longer waits for the answer.
		Deadline clock.Millis
	}

	// Admitter counts the requests in flight of each workspace and estimates the time in
	// the queue.
	Admitter struct {
		// workers is the number of requests that are served concurrently.
		workers int32

		mu locker.Mutex
		// inFlight counts the admitted requests that have not completed; guarded by mu.
		// Entries that reach zero are deleted.
		inFlight map[identifier.Workspace]int32
		// total is the sum of inFlight; guarded by mu.
		total int32
		// serviceTime is the exponentially smoothed service time; guarded by mu.
		serviceTime clock.Millis
	}
)

// New returns an admitter for an instance that serves workers requests concurrently.
func New(workers int32) *Admitter {
	return &Admitter{
		workers:     workers,
		mu:          locker.New(locker.RankAdmission),
		inFlight:    map[identifier.Workspace]int32{},
		serviceTime: initialServiceTime,
	}
}

// Admit admits a request or returns the reason for the refusal. The caller must call Release
// exactly once for each admitted request.
func (ad *Admitter) Admit(re Request, li Limits, now clock.Millis) error {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	if re.Urgent && !li.UrgentAllowed {
		return problem.New(problem.UrgentNotAllowed, "workspace %s may not send urgent requests", re.Workspace)
	}
	limit := li.Requests
	if !li.Confirmed {
		limit = min(limit, li.Unconfirmed)
	}
	if ad.inFlight[re.Workspace] >= limit {
		return problem.New(problem.TooManyRequests, "%d of at most %d requests of workspace %s are in flight at this instance", ad.inFlight[re.Workspace], limit, re.Workspace).WithRetryAfter(retryAfter)
	}
	if wait := ad.queueWait(re.Urgent); now+wait > re.Deadline {
		return problem.New(problem.DeadlineTooShort, "the estimated wait in the queue is %d ms, which exceeds the deadline", wait).WithRetryAfter(wait)
	}
	ad.inFlight[re.Workspace]++
	ad.total++
	return nil
}

// queueWait estimates the time in the queue. Urgent requests overtake all others and do
// not wait.
func (ad *Admitter) queueWait(urgent bool) clock.Millis {
	queued := ad.total - ad.workers
	if urgent || queued <= 0 {
		return 0
	}
	return clock.Millis(queued) * ad.serviceTime / clock.Millis(ad.workers)
}

// Release records that an admitted request has completed after the given service time; 0
// means that it was not served.
func (ad *Admitter) Release(ws identifier.Workspace, serviceTime clock.Millis) {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	ad.total--
	ad.inFlight[ws]--
	if ad.inFlight[ws] == 0 {
		delete(ad.inFlight, ws)
	}
	if serviceTime > 0 {
		ad.serviceTime += (serviceTime - ad.serviceTime) / smoothingDivisor
	}
}

// InFlight returns the number of admitted requests that have not completed.
func (ad *Admitter) InFlight() int32 {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	return ad.total
}
