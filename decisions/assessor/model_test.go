package assessor_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/wagtailcroft/wagtailcroft/decisions/assessor"
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
)

type (
	// model is a worker that has been told to run one run, as the platform's pages describe it.
	model struct {
		incarnation workload.Incarnation
		running     bool
		// refuses means that a stop was accepted or the run has ended in this incarnation.
		refuses bool
		// ended means that the list of ended runs contains the run.
		ended bool
		// underWay counts the starts that have no answer and may still be executed.
		underWay int
	}

	// leader is what the leader knows of the run, kept as the controller keeps it.
	leader struct {
		run assessor.Run
		now clock.Millis
		// unanswered counts the starts without an answer.
		unanswered int
		over       bool
	}
)

func (mo *model) start() {
	if !mo.refuses {
		mo.running = true
	}
}

// poll answers a poll at once, with a list that may be cut, and lets the leader judge the run.
func (le *leader) poll(t *rapid.T, mo *model, truncated bool) {
	le.now++
	if mo.ended && !truncated {
		le.over = true // the end is applied first
		return
	}
	verdict := le.run.FromAnswer(assessor.Answer{Incarnation: mo.incarnation, SentAt: le.now, Listed: mo.running, Truncated: truncated})
	if verdict.Over() {
		le.over = true
		if mo.running {
			t.Fatalf("the run is over by verdict %d, but the worker executes it", verdict)
		}
		if mo.underWay > 0 && !mo.refuses {
			t.Fatalf("the run is over by verdict %d, but a start that is under way will be executed", verdict)
		}
		if mo.ended {
			t.Fatalf("the run is over by verdict %d, but its end is still to be listed", verdict)
		}
		return
	}
	if verdict != assessor.Unknown && le.run.Incarnation != mo.incarnation {
		le.run.Incarnation, le.run.StoppedAt = mo.incarnation, 0
	}
	switch verdict {
	case assessor.Running:
		le.confirm()
	case assessor.Unsettled:
		le.stop(mo)
	}
}

func (le *leader) confirm() {
	if le.run.StartedAt == 0 {
		le.run.StartedAt = le.now
	}
	le.run.StartUncertain = le.unanswered > 0
}

func (le *leader) stop(mo *model) {
	le.now++
	if mo.running {
		mo.running, mo.ended = false, true
	}
	mo.refuses = true
	if le.run.Incarnation == mo.incarnation {
		le.run.StoppedAt = le.now
	}
}

// TestVerdictsAlwaysHold plays a worker that crashes, answers with cut lists and executes starts late, and
// guards against a run that is over by verdict while it runs or will run (TWICE), and against one of which
// nothing is known for ever although the worker answers (LOST).
func TestVerdictsAlwaysHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		mo := &model{incarnation: 1}
		le := &leader{run: assessor.Run{Incarnation: 1}, now: 1}
		for range rapid.IntRange(1, 30).Draw(t, "length") {
			if le.over {
				return
			}
			le.now++
			switch rapid.SampledFrom([]string{"start", "lost start", "late start", "arrival", "end", "restart", "stop", "poll", "cut poll"}).Draw(t, "event") {
			case "start":
				if le.run.StartedAt > 0 || le.run.Incarnation != mo.incarnation || mo.refuses {
					continue
				}
				le.run.StartSent = true
				mo.start()
				le.confirm()
			case "lost start", "late start":
				if le.run.StartedAt > 0 || le.run.Incarnation != mo.incarnation {
					continue
				}
				le.run.StartSent, le.run.StartUncertain = true, true
				le.unanswered++
				if rapid.Bool().Draw(t, "executed at once") {
					mo.start()
				} else {
					mo.underWay++
				}
			case "arrival":
				if mo.underWay > 0 {
					mo.underWay--
					mo.start()
				}
			case "end":
				if mo.running {
					mo.running, mo.ended, mo.refuses = false, true, true
				}
			case "restart":
				mo.incarnation++
				mo.running, mo.ended, mo.refuses = false, false, false
			case "stop":
				if le.run.StartSent {
					le.stop(mo)
				}
			case "poll":
				le.poll(t, mo, false)
			case "cut poll":
				le.poll(t, mo, true)
			}
		}
		for range 4 { // the world is sound again
			if le.over || mo.running {
				return
			}
			if !le.run.StartSent || le.run.StartedAt == 0 && le.run.StoppedAt == 0 {
				le.stop(mo) // the leader sends an unanswered start again, or stops the run
			}
			le.poll(t, mo, false)
		}
		if !le.over {
			t.Fatalf("nothing is known of the run although the worker answers: %+v", le.run)
		}
	})
}
