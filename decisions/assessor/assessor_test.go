package assessor_test

import (
	"testing"

	"github.com/wagtailcroft/wagtailcroft/decisions/assessor"
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
)

// TestFromAnswer guards against a proof that is too weak, by which a task runs twice (TWICE), and against
// one that never comes, by which it never runs again (LOST).
func TestFromAnswer(t *testing.T) {
	const placed, later workload.Incarnation = 10, 20
	confirmed := assessor.Run{Incarnation: placed, StartSent: true, StartedAt: 100}
	unanswered := assessor.Run{Incarnation: placed, StartSent: true, StartUncertain: true}
	stopped := assessor.Run{Incarnation: placed, StartSent: true, StartedAt: 100, StoppedAt: 200}
	repeated := assessor.Run{Incarnation: placed, StartSent: true, StartUncertain: true, StartedAt: 100}
	unsent := assessor.Run{Incarnation: placed}
	same := assessor.Answer{Incarnation: placed, SentAt: 300}
	early := assessor.Answer{Incarnation: placed, SentAt: 50}
	listed := assessor.Answer{Incarnation: placed, SentAt: 300, Listed: true}
	truncated := assessor.Answer{Incarnation: placed, SentAt: 300, Truncated: true}
	restarted := assessor.Answer{Incarnation: later, SentAt: 300}
	restartedEarly := assessor.Answer{Incarnation: later, SentAt: 50}
	resumed := assessor.Answer{Incarnation: later, SentAt: 300, Listed: true}
	restartedTruncated := assessor.Answer{Incarnation: later, SentAt: 300, Truncated: true}
	for name, ex := range map[string]struct {
		run    assessor.Run
		answer assessor.Answer
		want   assessor.Verdict
	}{
		"a listed run":                                                   {confirmed, listed, assessor.Running},
		"a listed run that is being stopped":                             {stopped, listed, assessor.Running},
		"a confirmed run that a complete answer lacks":                   {confirmed, same, assessor.Unsettled},
		"a confirmed run that a truncated answer lacks":                  {confirmed, truncated, assessor.Unknown},
		"a confirmed run that an older answer lacks":                     {confirmed, early, assessor.Unknown},
		"a run whose start is unanswered":                                {unanswered, same, assessor.Unknown},
		"a stopped run that a complete answer lacks":                     {stopped, same, assessor.Stopped},
		"a stopped run that a truncated answer lacks":                    {stopped, truncated, assessor.Unknown},
		"a stopped run that an older answer lacks":                       {stopped, early, assessor.Unknown},
		"a run that was not sent, on a restarted worker":                 {unsent, restarted, assessor.Lost},
		"a confirmed run on a restarted worker":                          {confirmed, restarted, assessor.Lost},
		"a confirmed run on a restarted worker with many ended runs":     {confirmed, restartedTruncated, assessor.Lost},
		"a run confirmed after the poll was sent, on a restarted worker": {confirmed, restartedEarly, assessor.Unsettled},
		"a run whose start may be under way to a restarted worker":       {unanswered, restarted, assessor.Unsettled},
		"a confirmed run whose start was repeated without an answer":     {repeated, restarted, assessor.Unsettled},
		"a run that the restarted worker has begun":                      {unanswered, resumed, assessor.Running},
	} {
		t.Run(name, func(t *testing.T) { asserter.Equal(t, ex.run.FromAnswer(ex.answer), ex.want) })
	}
}

// TestFromSuccessor guards against work that waits for leases of a worker that has certainly ended (LOST).
func TestFromSuccessor(t *testing.T) {
	for name, ex := range map[string]struct {
		placed, reported workload.Incarnation
		want             assessor.Verdict
	}{
		"the incarnation of the run was reported there":  {20, 20, assessor.Lost},
		"an older incarnation was reported there":        {20, 10, assessor.Unknown},
		"a newer incarnation was reported there":         {20, 30, assessor.Unknown},
		"no incarnation of the worker is reported there": {20, 0, assessor.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			run := assessor.Run{Incarnation: ex.placed, StartSent: true, StartUncertain: true}
			asserter.Equal(t, run.FromSuccessor(ex.reported), ex.want)
		})
	}
}

func TestLease(t *testing.T) {
	const lease = 10 * clock.Second
	t.Run("a worker that has answered holds leases until the last that was sent to it", func(t *testing.T) {
		le := assessor.Lease{Answered: true, Clock: 500, ClockAt: 20_000, End: 10_500, FormerEndsBy: 90_000, Duration: lease}
		asserter.Equal(t, le.ExpiresAt(), 30_300)
	})
	t.Run("a worker that has not answered may hold leases of a former leader", func(t *testing.T) {
		asserter.Equal(t, assessor.Lease{FormerEndsBy: 12_000, Duration: lease}.ExpiresAt(), 22_300)
	})
}

func TestSupersedes(t *testing.T) {
	for name, ex := range map[string]struct {
		entry, told workload.Incarnation
		want        bool
	}{
		"a worker that has not answered": {10, 0, true},
		"an older entry":                 {10, 20, false},
		"the same incarnation":           {20, 20, false},
		"a newer entry":                  {30, 20, true},
	} {
		t.Run(name, func(t *testing.T) { asserter.Equal(t, assessor.Supersedes(ex.entry, ex.told), ex.want) })
	}
}
