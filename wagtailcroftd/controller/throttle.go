package controller

import (
	"slices"

	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/decisions/fleet"
	"github.com/wagtailcroft/wagtailcroft/decisions/throttler"
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

const (
	// throttleInterval is the time between two polls of a worker that runs best-effort tasks
	// together with tasks that have a tail latency target. The latency that the worker reports
	// covers half a second.
	throttleInterval = 500 * clock.Millis(1)
)

// service is a service task and its image.
type service struct {
	throttler.Service
	image identifier.Image
}

// throttle adjusts the speed of a worker's best-effort tasks to the tail latencies of the
// services on the same worker. It is called with mu held after each poll.
func (te *term) throttle(wo *worker, now clock.Millis) {
	var services []service
	var bestEffort []workload.TaskKey
	for key, pl := range wo.runs {
		step := te.stepOf(key)
		switch {
		case step == nil || pl.startedAt == 0:
		case step.BestEffort:
			bestEffort = append(bestEffort, key)
		case step.TailLatencyTarget > 0:
			services = append(services, service{throttler.Service{TailLatency: pl.tailLatency, Target: step.TailLatencyTarget}, identifier.Image(step.Image)})
		}
	}
	wo.mixedLoad = len(services) > 0 && len(bestEffort) > 0
	if len(bestEffort) == 0 || now-wo.throttledAt < throttleInterval/2 {
		return
	}
	wo.throttledAt = now
	for i, next := range te.nextSpeeds(wo, bestEffort, services) {
		pl := wo.runs[bestEffort[i]]
		if next == pl.speed || pl.throttling {
			continue
		}
		te.submitThrottle(wo, bestEffort[i], pl, next)
	}
}

// nextSpeeds returns the new speeds of the best-effort tasks of a worker.
func (te *term) nextSpeeds(wo *worker, bestEffort []workload.TaskKey, services []service) []meter.Percent {
	tasks := make([]throttler.Task, 0, len(bestEffort))
	for _, key := range bestEffort {
		tasks = append(tasks, throttler.Task{Speed: wo.runs[key].speed, Blame: te.blameOf(te.stepOf(key).Image, services)})
	}
	harmed := make([]throttler.Service, 0, len(services))
	for _, se := range services {
		harmed = append(harmed, se.Service)
	}
	speeds, sparing := throttler.Plan(tasks, harmed, wo.spared)
	switch {
	case sparing:
		wo.spared++
		te.Metrics.Count("interference", "spared")
	case !slices.ContainsFunc(harmed, throttler.Harmed):
		wo.spared = 0
	}
	return speeds
}

// stepOf returns the step of a task, or nil if the task is not known.
func (te *term) stepOf(key workload.TaskKey) *workload.Step {
	en := te.jobs[key.Job]
	if en == nil {
		return nil
	}
	st, _ := en.job.Task(key)
	if st == nil {
		return nil
	}
	return en.job.StepOf(st)
}

func (te *term) submitThrottle(wo *worker, key workload.TaskKey, pl *placement, next meter.Percent) {
	co := fleet.ThrottleCommand{Task: key.String(), Run: pl.run, Percent: next, Fence: te.fence}
	to := wo.target(te.keepBy())
	pl.throttling = true
	command := func() {
		ctx, cancel := te.Clock.WithTimeout(te.ctx, commandTimeout)
		st, err := te.Workers.Throttle(ctx, to, co)
		cancel()
		te.mu.Lock()
		defer te.mu.Unlock()
		pl.throttling = false
		te.log.Info().Str("task", co.Task).Str("worker", string(wo.id)).Int32("from", int32(pl.speed)).Int32("to", int32(next)).
			AnErr("refusal", err).Msg("throttleSent")
		if te.staleAnswer(wo, to, st, err, te.Clock.Now()) {
			return
		}
		if err == nil {
			pl.speed, pl.speedAt = next, te.Clock.Now()
		} else if eris.Is(err, fleet.ErrNoAnswer) {
			te.Workers.CloseIdleConnections(to)
		}
	}
	if err := te.commands.Submit(true, command); err != nil {
		pl.throttling = false
		te.log.Warn().Err(err).Str("task", co.Task).Msg("commandDelayed")
	}
}
