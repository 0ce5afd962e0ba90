package controller

import (
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
)

// Reasons for which no run is started on a worker.
const (
	startAllowed    = ""
	workerDraining  = "the worker is draining"
	workerEvacuated = "its zone is evacuated"
)

// evacuated reports whether no run may be started in a zone.
func (te *term) evacuated(zone identifier.Zone) bool {
	if te.op.MaxEvacuationAge == 0 {
		return false
	}
	_, evacuated := te.Policies.Evacuations()[zone]
	return evacuated
}

// startBarrier returns why no run may be started on a worker, or startAllowed.
func (te *term) startBarrier(wo *worker) string {
	switch {
	case wo.report.Draining:
		return workerDraining
	case te.evacuated(wo.report.Zone):
		return workerEvacuated
	}
	return startAllowed
}

// startBy returns the latest moment at which a start may leave. An evacuation that was requested after the
// last confirmation is not known yet.
func (te *term) startBy() clock.Millis {
	by := te.changeBy()
	if te.op.MaxEvacuationAge > 0 {
		by = min(by, te.Policies.ConfirmedAt()+te.op.MaxEvacuationAge)
	}
	return by
}

// maySendStarts reports whether starts may leave now, and logs when this changes because the evacuations are
// not confirmed.
func (te *term) maySendStarts(now clock.Millis) bool {
	if !te.mayChange(now) {
		return false
	}
	held := now >= te.startBy()
	if held != te.startsHeldBack {
		te.startsHeldBack = held
		te.log.Info().Bool("held", held).Int64("unconfirmedMillis", int64(now-te.Policies.ConfirmedAt())).Msg("startsHeldBack")
	}
	return !held
}

// cold reports whether a worker counts as slow, after its start or the evacuation of its zone.
func (te *term) cold(wo *worker, now clock.Millis) bool {
	return te.op.MaxEvacuationAge > 0 && now < wo.coldUntil
}
