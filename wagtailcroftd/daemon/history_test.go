package daemon_test

import (
	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
)

// unknownReturn is the return time of an operation with an unknown outcome, which may take
// effect at any later time.
const unknownReturn = int64(1) << 40

// Outcomes of an operation.
const (
	accepted = iota
	rejected
	unknown
)

type (
	// history records the edits of one row and the calls with each key, to check them for
	// linearizability.
	history struct {
		now   int64
		edits []porcupine.Operation
		sends map[identifier.Key][]porcupine.Operation
	}

	// editInput is a compare-and-swap of the weight of the row.
	editInput struct{ expected, next meter.Weight }

	// sendOutput is the result that a caller got.
	sendOutput struct {
		outcome problem.Outcome
		// recorded means that the refusal was recorded in the store, so that the key can never
		// run.
		recorded bool
	}
)

func (hi *history) begin() { hi.now++ }

// span returns the call and return times of the operation that completes now.
func (hi *history) span(outcome int) (int64, int64) {
	began := hi.now
	hi.now++
	if outcome == unknown {
		return began, unknownReturn
	}
	return began, hi.now
}

func (hi *history) endEdit(expected, next meter.Weight, err error) {
	outcome := unknown
	switch problem.KindOf(err) {
	case "":
		outcome = accepted
	case problem.StaleRow:
		outcome = rejected
	case problem.Conflict, problem.GuaranteeTooLarge:
		return // rejected because of another row or the zone; nothing was changed
	}
	call, end := hi.span(outcome)
	hi.edits = append(hi.edits, porcupine.Operation{Input: editInput{expected, next}, Output: outcome, Call: call, Return: end})
}

func (hi *history) endSend(key identifier.Key, first bool, err error) {
	out := sendOutput{}
	if err != nil {
		out.outcome = problem.From(err).Outcome
		out.recorded = out.outcome == problem.NotRun && !first
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

// rowModel is the sequential model of the row: an accepted edit replaces the expected
// weight, a rejected one found another weight, and an unknown one may be either.
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
			case rejected:
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

// keyModel is the sequential model of a key: it is open, run or refused. Run and refused are
// final.
func keyModel() porcupine.Model {
	const open, run, refused = "open", "run", "refused"
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{open} },
		Step: func(state, _, output any) []any {
			out, _ := output.(sendOutput)
			switch {
			case out.outcome == problem.NoOutcome && state != refused:
				return []any{run}
			case out.recorded && state != run:
				return []any{refused}
			case out.outcome == problem.NotRun && !out.recorded && state != run:
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
