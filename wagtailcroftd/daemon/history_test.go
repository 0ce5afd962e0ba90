package daemon_test

import (
	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
)

const never = int64(1) << 40 // an operation whose end is not known may take effect this late

// What became of an operation.
const (
	accepted = iota
	refusedIt
	unknown
)

type (
	// history records edits of one row and calls with each key, to be checked for
	// linearizability.
	history struct {
		now   int64
		edits []porcupine.Operation
		sends map[identifier.Key][]porcupine.Operation
	}

	// editInput replaces the row if it still holds what was expected.
	editInput struct{ expected, next meter.Weight }

	// sendOutput is what a caller was told.
	sendOutput struct {
		outcome problem.Outcome
		// certified means that the key was excluded for good.
		certified bool
	}
)

func (hi *history) begin() { hi.now++ }

// span is the time of the operation that is ending now.
func (hi *history) span(outcome int) (int64, int64) {
	began := hi.now
	hi.now++
	if outcome == unknown {
		return began, never
	}
	return began, hi.now
}

func (hi *history) endEdit(expected, next meter.Weight, err error) {
	outcome := unknown
	switch problem.KindOf(err) {
	case "":
		outcome = accepted
	case problem.StaleRow:
		outcome = refusedIt
	case problem.Conflict, problem.GuaranteeTooLarge:
		return // another row or the zone was in the way; nothing was changed
	}
	call, end := hi.span(outcome)
	hi.edits = append(hi.edits, porcupine.Operation{Input: editInput{expected, next}, Output: outcome, Call: call, Return: end})
}

func (hi *history) endSend(key identifier.Key, first bool, err error) {
	out := sendOutput{}
	if err != nil {
		out.outcome = problem.From(err).Outcome
		out.certified = out.outcome == problem.NotRun && !first
	}
	span := accepted
	if out.outcome == problem.Unknown {
		span = unknown
	}
	call, end := hi.span(span)
	if hi.sends == nil {
		hi.sends = map[identifier.Key][]porcupine.Operation{}
	}
	hi.sends[key] = append(hi.sends[key], porcupine.Operation{Output: out, Call: call, Return: end})
}

// rowModel: an accepted edit replaces what was expected, a refused one found another row,
// and an unknown one may have done either.
func rowModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{meter.Weight(1)} },
		Step: func(state, input, output any) []any {
			in, _ := input.(editInput)
			matches := state == in.expected
			switch output {
			case accepted:
				if matches {
					return []any{in.next}
				}
				return nil
			case refusedIt:
				if matches {
					return nil
				}
				return []any{state}
			default:
				if matches {
					return []any{state, in.next}
				}
				return []any{state}
			}
		},
	}
	return model.ToModel()
}

// keyModel: a key is open, run or refused; it is run once and refused for good.
func keyModel() porcupine.Model {
	const open, run, refused = "open", "run", "refused"
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{open} },
		Step: func(state, _, output any) []any {
			out, _ := output.(sendOutput)
			switch {
			case out.outcome == problem.NoOutcome && state != refused:
				return []any{run}
			case out.certified && state != run:
				return []any{refused}
			case out.outcome == problem.NotRun && !out.certified && state != run:
				return []any{state, refused}
			case out.outcome == problem.Unknown && state == open:
				return []any{open, run, refused}
			case out.outcome == problem.Unknown:
				return []any{state}
			default:
				return nil
			}
		},
	}
	return model.ToModel()
}

func (hi *history) check(t *rapid.T) {
	if !porcupine.CheckOperations(rowModel(), hi.edits) {
		t.Fatalf("the edits are not linearizable: %v", hi.edits)
	}
	for key, sends := range hi.sends {
		if !porcupine.CheckOperations(keyModel(), sends) {
			t.Fatalf("the calls with key %s are not linearizable: %v", key, sends)
		}
	}
}
