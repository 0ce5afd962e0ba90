package gauger

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"strconv"

	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
)

const (
	// effectSteps is the number of steps into which a factor of e is divided, so that an effect takes a byte.
	effectSteps = 32
	// rememberedDeviation is the standard deviation of what is remembered of a worker: it may have changed.
	rememberedDeviation = 0.2
	// minRemembered is the number of runs from which on a worker is remembered.
	minRemembered = 2
	// rememberedEvidence is the weight of the evidence that a former gauger had.
	rememberedEvidence = 1.5 * minEvidence * minEvidence
)

type (
	// Mark stands for one incarnation of a worker. Two workers may share one, which does little harm.
	Mark uint32

	// Memory is what is remembered of one incarnation of a worker.
	Memory struct {
		Mark Mark
		// Effect is the logarithm of the factor, in steps.
		Effect int8
	}
)

func markOf(id identifier.Worker, incarnation workload.Incarnation) Mark {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(string(id) + "/" + strconv.FormatInt(int64(incarnation), 10))) // a hash takes all bytes
	return Mark(sum.Sum32())
}

// Remember returns what another gauger should know of at most most workers, those measured last first. It is
// empty as long as nothing shows that workers differ. Workers that have turned are remembered as usual.
func (ga *Gauger) Remember(most int) []Memory {
	if !ga.Uneven() {
		return nil
	}
	type entry struct {
		Memory
		at clock.Millis
	}
	entries := make([]entry, 0, len(ga.workers))
	for id, re := range ga.workers {
		known := re.known
		if re.turnedUntil > 0 {
			known = re.usual
		}
		if len(re.samples) >= minRemembered || re.prior.mean != 0 {
			effect := math.Round((known.mean - ga.level.mean()) * effectSteps)
			entries = append(entries, entry{Memory: Memory{Mark: markOf(id, re.incarnation), Effect: int8(min(max(effect, math.MinInt8), math.MaxInt8))}, at: re.at})
		}
	}
	slices.SortFunc(entries, func(a, b entry) int { return cmp.Or(cmp.Compare(b.at, a.at), cmp.Compare(a.Mark, b.Mark)) })
	memories := make([]Memory, 0, min(len(entries), most))
	for _, en := range entries[:min(len(entries), most)] {
		memories = append(memories, en.Memory)
	}
	return memories
}

// Restore takes in what another gauger remembered, as far as no run has been measured since.
func (ga *Gauger) Restore(memories []Memory) {
	if len(memories) == 0 {
		return
	}
	ga.remembered = make(map[Mark]belief, len(memories))
	for _, me := range memories {
		ga.remembered[me.Mark] = belief{mean: float64(me.Effect) / effectSteps, variance: rememberedDeviation * rememberedDeviation}
	}
	if ga.evidence.product < rememberedEvidence {
		ga.evidence = evidence{product: rememberedEvidence, square: rememberedEvidence, predicted: rememberedEvidence, compared: minCompared}
	}
}

// before returns what is assumed of a worker before any run on it is measured.
func (ga *Gauger) before(id identifier.Worker, incarnation workload.Incarnation) (assumed belief, known bool) {
	if len(ga.remembered) > 0 {
		if be, found := ga.remembered[markOf(id, incarnation)]; found {
			return be, true
		}
	}
	return unknown, false
}
