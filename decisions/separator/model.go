package separator

import (
	"math"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
)

const (
	// priorDeviation is the standard deviation of effects before there is evidence. It draws estimates
	// from few contrasts towards 0.
	priorDeviation = 0.5
	// minNoise is the smallest standard deviation of a sample that is believed.
	minNoise = 0.02
	// dependence is how many samples of a run tell as much as one independent sample, because neighbours
	// and load stay the same for a while.
	dependence = 2.0
	// maxWitnesses is how many workers are remembered of each pair.
	maxWitnesses = 8
	// fitInterval is how old a fit may be that is used for a sample.
	fitInterval = 1 * clock.Second
)

type (
	// model is the linear model of the slowdown of one image by its neighbours. The matrix and the sums
	// are over comparisons within runs.
	model struct {
		usedAt    clock.Millis
		neighbors []neighbor
		// products holds the sums of products of the changes of each two neighbours, and effects those of
		// the changes of each neighbour with the steps of the slowdown.
		products [maxNeighbors][maxNeighbors]float64
		effects  [maxNeighbors]float64
		// squares is the sum of the squares of the steps, and weight that of the weights.
		squares, weight float64
		// fitted means that mean and deviation follow from the sums, and fittedAt when they last did.
		fitted          bool
		fittedAt        clock.Millis
		mean, deviation [maxNeighbors]float64
	}

	// neighbor is a column of the model.
	neighbor struct {
		image  identifier.Image
		usedAt clock.Millis
		// witnesses are the workers on which it was compared, at most maxWitnesses.
		witnesses []identifier.Worker
	}
)

// forget lowers the weight of all evidence by its age.
func (mo *model) forget(now clock.Millis) {
	keep := math.Exp(-float64(max(now-mo.usedAt, 0)) / float64(forgetTime))
	mo.usedAt = now
	if keep == 1 {
		return
	}
	for i := range mo.neighbors {
		for j := range mo.neighbors {
			mo.products[i][j] *= keep
		}
		mo.effects[i] *= keep
	}
	mo.squares *= keep
	mo.weight *= keep
	mo.fitted = false
}

// add adds a comparison: the step of the slowdown when the neighbours changed.
func (mo *model) add(worker identifier.Worker, weight, step float64, changes Amounts, now clock.Millis) {
	var changed [maxNeighbors]float64
	for image, diff := range changes {
		i := mo.column(image, now)
		changed[i] = diff
		mo.neighbors[i].witness(worker)
	}
	for i := range mo.neighbors {
		if changed[i] == 0 {
			continue
		}
		for j := range mo.neighbors {
			mo.products[i][j] += weight * changed[i] * changed[j]
		}
		mo.effects[i] += weight * changed[i] * step
	}
	mo.squares += weight * step * step
	mo.weight += weight
	mo.fitted = false
}

// column returns the index of a neighbour. It replaces the one that was seen longest ago if there are too
// many.
func (mo *model) column(image identifier.Image, now clock.Millis) int {
	oldest := 0
	for i := range mo.neighbors {
		if mo.neighbors[i].image == image {
			mo.neighbors[i].usedAt = now
			return i
		}
		if mo.neighbors[i].usedAt < mo.neighbors[oldest].usedAt {
			oldest = i
		}
	}
	if len(mo.neighbors) < maxNeighbors {
		mo.neighbors = append(mo.neighbors, neighbor{image: image, usedAt: now})
		return len(mo.neighbors) - 1
	}
	mo.neighbors[oldest] = neighbor{image: image, usedAt: now}
	for i := range mo.neighbors {
		mo.products[i][oldest], mo.products[oldest][i] = 0, 0
	}
	mo.effects[oldest], mo.mean[oldest], mo.deviation[oldest] = 0, 0, priorDeviation
	return oldest
}

func (ne *neighbor) witness(worker identifier.Worker) {
	if len(ne.witnesses) >= maxWitnesses {
		return
	}
	for _, known := range ne.witnesses {
		if known == worker {
			return
		}
	}
	ne.witnesses = append(ne.witnesses, worker)
}

// fit solves the model, twice because the noise follows from the effects. The prior keeps it solvable where
// neighbours always come and go together: their deviations then stay large.
func (mo *model) fit() {
	if mo.fitted {
		return
	}
	mo.fitted, mo.fittedAt = true, mo.usedAt
	if mo.weight <= 0 {
		return
	}
	noise := mo.squares / mo.weight
	for range 2 {
		mo.solve(dependence * max(noise, minNoise*minNoise))
		noise = max(mo.residual(), 0) / mo.weight
	}
}

// residual returns the sum of squares that the fitted effects leave unexplained.
func (mo *model) residual() float64 {
	left := mo.squares
	for i := range mo.neighbors {
		left -= 2 * mo.mean[i] * mo.effects[i]
		for j := range mo.neighbors {
			left += mo.mean[i] * mo.products[i][j] * mo.mean[j]
		}
	}
	return left
}

// solve sets mean and deviation for a variance of the samples, by Gauss-Jordan elimination. The matrix is
// positive definite because of the prior, so that no pivot is 0.
func (mo *model) solve(variance float64) {
	count := len(mo.neighbors)
	var rows [maxNeighbors][2 * maxNeighbors]float64
	for i := range count {
		for j := range count {
			rows[i][j] = mo.products[i][j] / variance
		}
		rows[i][i] += 1 / (priorDeviation * priorDeviation)
		rows[i][count+i] = 1
	}
	for i := range count {
		pivot := rows[i][i]
		for k := range 2 * count {
			rows[i][k] /= pivot
		}
		for j := range count {
			if factor := rows[j][i]; j != i && factor != 0 {
				for k := range 2 * count {
					rows[j][k] -= factor * rows[i][k]
				}
			}
		}
	}
	for i := range count {
		mo.mean[i] = 0
		for j := range count {
			mo.mean[i] += rows[i][count+j] * mo.effects[j] / variance
		}
		mo.deviation[i] = math.Sqrt(max(rows[i][count+i], 0))
	}
}

// pair returns what the fitted model tells of a neighbour.
func (mo *model) pair(i int) Pair {
	ne := &mo.neighbors[i]
	pa := Pair{Disturbing: ne.image, Effect: mo.mean[i], Deviation: mo.deviation[i], Contrasts: mo.products[i][i], Workers: len(ne.witnesses)}
	switch {
	case pa.Workers < minWorkers:
	case pa.Effect-certainty*pa.Deviation > minEffect:
		pa.Verdict = Disturbs
	case pa.Effect+harmlessness*pa.Deviation < minEffect:
		pa.Verdict = Harmless
	}
	return pa
}

// expected returns the logarithmic slowdown that neighbours certainly cause.
func (mo *model) expected(beside Amounts) float64 {
	if mo.usedAt-mo.fittedAt >= fitInterval {
		mo.fit()
	}
	sum := 0.0
	for i := range mo.neighbors {
		if amount := beside[mo.neighbors[i].image]; amount > 0 {
			sum += amount * mo.pair(i).certain()
		}
	}
	return sum
}
