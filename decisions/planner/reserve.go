package planner

import (
	"cmp"
	"slices"

	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
)

type (
	// expectedRoom is a set of slots on which a gang fits once runs have ended, and the time until then.
	expectedRoom struct {
		slots  []*slot
		within clock.Millis
	}

	// opening is a slot and the time until a number of further tasks fit there.
	opening struct {
		slot   *slot
		within clock.Millis
		fits   int
	}
)

// holdUntilEnds answers gangs for which room is held that stays occupied. It holds the slots on which the gang
// can start soonest, by the expected ends of the runs there. The decision is made anew in each round, so that a
// hold ends when the start slips beyond what the gang can use.
func (ro *round) holdUntilEnds(ca candidate, groups [][]*slot, count int) {
	longest := ro.longestHold(ca)
	var best expectedRoom
	for _, group := range groups {
		if room, fits := ro.expectRoom(ca, group, count, longest); fits && (best.slots == nil || room.within < best.within) {
			best = room
		}
	}
	if best.slots == nil || ro.holdLimitReached(len(best.slots)) {
		return
	}
	for _, sl := range best.slots {
		sl.held, sl.heldFor = true, best.within
	}
	ro.held += len(best.slots)
}

// longestHold returns how long room may be held for a gang: no longer than it runs, and than it can wait if it
// can still be in time.
func (ro *round) longestHold(ca candidate) clock.Millis {
	longest := ro.expected(ca.job, ca.stage.Step)
	if group, slack := ro.timeliness(ca); group == onTime && ca.terms.SlowdownFactor > 0 {
		longest = min(longest, clock.Millis(slack))
	}
	return longest
}

// expectRoom returns the slots of a group on which the gang fits first, and the time until then. It reports
// false if that is later than longest.
func (ro *round) expectRoom(ca candidate, group []*slot, count int, longest clock.Millis) (expectedRoom, bool) {
	var openings []opening
	for _, sl := range group {
		if spread := min(count, spreadLeft(ca, sl)); spread > 0 && !sl.held {
			openings = ro.addOpenings(openings, ca, sl, spread, longest)
		}
	}
	slices.SortStableFunc(openings, func(a, b opening) int { return cmp.Compare(a.within, b.within) })
	room := expectedRoom{}
	fits := map[*slot]int{}
	for _, op := range openings {
		if fits[op.slot] == 0 {
			room.slots = append(room.slots, op.slot)
		}
		count -= op.fits - fits[op.slot]
		fits[op.slot], room.within = op.fits, op.within
		if count <= 0 {
			return room, true
		}
	}
	return expectedRoom{}, false
}

// addOpenings adds the times within longest at which more tasks fit on a slot, up to a number of tasks.
func (ro *round) addOpenings(openings []opening, ca candidate, sl *slot, spread int, longest clock.Millis) []opening {
	type ending struct {
		within clock.Millis
		frees  workload.Resources
	}
	free := sl.freeSoon
	endings := make([]ending, 0, len(sl.runs))
	for _, ru := range sl.runs {
		endings = append(endings, ending{ro.timeLeft(ru), ru.job.StepOf(ru.stage).Reserved()})
	}
	slices.SortFunc(endings, func(a, b ending) int { return cmp.Compare(a.within, b.within) })
	fitted := 0
	add := func(within clock.Millis) {
		if fits := min(copiesThatFit(free, ca.step.Reserved()), spread); fits > fitted {
			fitted = fits
			openings = append(openings, opening{slot: sl, within: within, fits: fits})
		}
	}
	add(0)
	for _, en := range endings {
		if en.within > longest || fitted == spread {
			break
		}
		free = free.Add(en.frees)
		add(en.within)
	}
	return openings
}

// timeLeft returns the time until a run is expected to end: by the progress that it reports or, if that is not
// known, by the run time that is expected of it.
func (ro *round) timeLeft(ru run) clock.Millis {
	if ro.in.Remaining != nil {
		if left := ro.in.Remaining(ru.job, ru.stage, ru.index); left > 0 {
			return left
		}
	}
	expected := ro.expected(ru.job, ru.stage.Step)
	if left := expected - (ro.in.Now - ru.stage.Tasks[ru.index].PlacedAt); left > 0 {
		return left
	}
	return expected
}

// backfills reports whether the tasks of a candidate end before the gang for which a slot is held is expected
// to start.
func (ro *round) backfills(ca *candidate, sl *slot) bool {
	return sl.heldFor > 0 && ro.expected(ca.job, ca.stage.Step) <= sl.heldFor
}
