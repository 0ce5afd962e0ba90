package overseer

import (
	"context"
	"math"
	"slices"

	"github.com/wagtailcroft/wagtailcroft/decisions/separator"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/operator"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/controller"
)

// rangeDeviations is the number of standard deviations on each side of an effect that hold 95% of what it
// may be.
const rangeDeviations = 2

var verdicts = map[separator.Verdict]operator.ImagePairViewVerdict{
	separator.Unknown:  operator.ImagePairViewVerdictUnknown,
	separator.Harmless: operator.ImagePairViewVerdictHarmless,
	separator.Disturbs: operator.ImagePairViewVerdictDisturbs,
}

// ListInterference returns which images slow each other down, and the workers whose tasks are slow.
func (ov *Overseer) ListInterference(ctx context.Context, _ operator.ListInterferenceRequestObject) (operator.ListInterferenceResponseObject, error) {
	snapshot, err := ov.overview(ctx)
	if err != nil {
		return nil, err
	}
	return operator.ListInterference200JSONResponse(snapshot.Interference), nil
}

// interferenceList lists the pairs of which there is evidence, then those that are only named.
func interferenceList(view controller.View) operator.InterferenceList {
	list := operator.InterferenceList{Pairs: []operator.ImagePairView{}, Workers: []operator.WorkerPaceView{}}
	for _, pa := range view.Pairs {
		list.Pairs = append(list.Pairs, operator.ImagePairView{
			Disturbed: pa.Disturbed, Disturbing: pa.Disturbing, Verdict: verdicts[pa.Verdict], Named: operator.ImagePairViewNamedNone,
			Factor: math.Exp(pa.Effect), LowFactor: math.Exp(pa.Effect - rangeDeviations*pa.Deviation), HighFactor: math.Exp(pa.Effect + rangeDeviations*pa.Deviation),
			Contrasts: pa.Contrasts, Workers: pa.Workers,
		})
	}
	markNamed(&list, view.Named.Apart, operator.ImagePairViewNamedApart)
	markNamed(&list, view.Named.Ignored, operator.ImagePairViewNamedIgnored)
	for _, ju := range view.Judgments {
		wo := operator.WorkerPaceView{Worker: ju.Worker, OwnFactor: math.Exp(ju.Own), NeighborFactor: math.Exp(ju.Disturbed), Runs: ju.Runs}
		switch ju.Cause {
		case separator.SlowWorker:
			wo.Cause = operator.WorkerPaceViewCauseWorker
		case separator.Neighbors:
			wo.Cause = operator.WorkerPaceViewCauseNeighbors
		default:
			continue
		}
		list.Workers = append(list.Workers, wo)
	}
	return list
}

// markNamed marks the pairs that operators have named, and adds those of which there is no evidence.
func markNamed(list *operator.InterferenceList, names []separator.ImagePair, as operator.ImagePairViewNamed) {
	for _, na := range names {
		found := false
		for i := range list.Pairs {
			if pa := &list.Pairs[i]; pa.Disturbed == na.A && pa.Disturbing == na.B || pa.Disturbed == na.B && pa.Disturbing == na.A {
				pa.Named, found = as, true
			}
		}
		if !found {
			list.Pairs = slices.Concat(list.Pairs, []operator.ImagePairView{{Disturbed: na.A, Disturbing: na.B, Verdict: operator.ImagePairViewVerdictUnknown, Named: as, Factor: 1, LowFactor: 1, HighFactor: 1}})
		}
	}
}
