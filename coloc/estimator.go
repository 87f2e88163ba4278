package coloc

import (
	"math"
	"slices"
	"time"
)

const (
	// timeConstant is that of the exponential decay of observations: interference changes
	// within seconds to minutes, and what was learned must outlast the time during which
	// images are kept apart, which gives no new evidence.
	timeConstant = 30 * time.Second
	// maxVictims and maxKinds bound the memory: the images of serving tasks, and the kinds
	// of tasks beside each of them.
	maxVictims = 32
	maxKinds   = 15
	// minWeight is the weight below which the sums of an image or a kind may be replaced by
	// those of a new one.
	minWeight = 0.5
	// ridge is the weight, in observations, of the assumption that nothing interferes. It
	// makes the effect of kinds that always occur together shared among them, and that of
	// a kind that is never absent unknown.
	ridge     = 0.5
	baseRidge = 1e-3
	// priorNoise is the assumed standard deviation of a tail, as a fraction of its target,
	// and priorWeight the number of observations that the assumption counts for.
	priorNoise  = 0.15
	priorWeight = 4
	// maxTail and maxActivity are the largest plausible figures; observations with a larger
	// one are ignored. Tails above cappedTail count as cappedTail.
	maxTail     = 1000
	maxActivity = 10000
	cappedTail  = 4
)

// Kind identifies tasks that are expected to have the same effect on others.
type Kind struct {
	Image string
	// BestEffort means that the tasks use CPU time left idle by others.
	BestEffort bool
}

// Load is what the tasks of a kind did on a host during an observation.
type Load struct {
	Kind Kind
	// Activity is 1 for each task at full speed.
	Activity float64
}

// Pair is an image of serving tasks and a kind of task beside them.
type Pair struct {
	Victim string
	Other  Kind
}

// Estimate is what is known of a pair.
type Estimate struct {
	// Slowdown is by how much a task of the kind at full speed raises the tail of a serving
	// task, as a fraction of its target, and Error the standard error of that.
	Slowdown float64
	Error    float64
	// Seen is when both were last observed together.
	Seen time.Duration
}

// Estimator holds the decayed sums of a linear regression for each image of serving tasks:
// of the tail, as a fraction of its target, on the activities of the kinds beside it.
type Estimator struct {
	victims map[string]*regression
}

// NewEstimator returns an estimator without evidence.
func NewEstimator() *Estimator { return &Estimator{victims: make(map[string]*regression)} }

// IsEmpty reports whether nothing was observed yet.
func (e *Estimator) IsEmpty() bool { return len(e.victims) == 0 }

// Observe records the tail of a serving task as a fraction of its target, and what ran
// beside it, at a time that doesn't decrease. Observations with a figure that is impossible
// are ignored.
func (e *Estimator) Observe(at time.Duration, victim string, tail float64, loads []Load) {
	if victim == "" || !isPossible(tail, maxTail) || tail == 0 {
		return
	}
	for _, load := range loads {
		if !isPossible(load.Activity, maxActivity) {
			return
		}
	}
	if r := e.regression(victim, at); r != nil {
		r.decay(at)
		r.add(at, min(tail, cappedTail), loads)
	}
}

// isPossible reports whether a figure is from 0 to a limit; NaN isn't.
func isPossible(figure, limit float64) bool { return figure >= 0 && figure <= limit }

// regression returns the regression of an image, which is created if missing, or nil if there
// are too many.
func (e *Estimator) regression(victim string, at time.Duration) *regression {
	if r := e.victims[victim]; r != nil {
		return r
	}
	if len(e.victims) >= maxVictims && !e.evict(at) {
		return nil
	}
	r := newRegression(at)
	e.victims[victim] = r
	return r
}

// evict removes the image with the least weight if that is low, and reports whether it did.
func (e *Estimator) evict(at time.Duration) bool {
	least, leastWeight := "", math.Inf(1)
	for image, r := range e.victims {
		r.decay(at)
		weight := r.products[0][0]
		if weight < leastWeight || weight == leastWeight && image < least {
			least, leastWeight = image, weight
		}
	}
	if leastWeight >= minWeight {
		return false
	}
	delete(e.victims, least)
	return true
}

// Estimates returns what is known of each pair at a time.
func (e *Estimator) Estimates(at time.Duration) map[Pair]Estimate {
	estimates := make(map[Pair]Estimate)
	for victim, r := range e.victims {
		r.decay(at)
		for i, estimate := range r.solve() {
			if r.kinds[i].Image != "" {
				estimates[Pair{victim, r.kinds[i]}] = estimate
			}
		}
	}
	return estimates
}

// regression holds the decayed sums for one image of serving tasks. Index 0 stands for the
// tail without any load, and index i+1 for kinds[i].
type regression struct {
	at    time.Duration
	kinds []Kind
	seen  []time.Duration
	// products are the sums of the products of two activities, tails those of an activity
	// and the tail, and squares those of the tail and itself.
	products [][]float64
	tails    []float64
	squares  float64
}

func newRegression(at time.Duration) *regression {
	return &regression{at: at, products: [][]float64{{0}}, tails: []float64{0}}
}

// decay lets the sums age until a time.
func (r *regression) decay(at time.Duration) {
	if at <= r.at {
		return
	}
	factor := math.Exp(-(at - r.at).Seconds() / timeConstant.Seconds())
	r.at = at
	for i := range r.products {
		for k := range r.products[i] {
			r.products[i][k] *= factor
		}
		r.tails[i] *= factor
	}
	r.squares *= factor
}

// add adds an observation.
func (r *regression) add(at time.Duration, tail float64, loads []Load) {
	for _, load := range loads {
		if load.Activity > 0 {
			r.addKind(load.Kind, loads)
		}
	}
	activities := [maxKinds + 1]float64{1}
	for _, load := range loads {
		if i := slices.Index(r.kinds, load.Kind); i >= 0 && load.Activity > 0 {
			activities[i+1] += load.Activity
			r.seen[i] = at
		}
	}
	for i := range r.products {
		for k := range r.products[i] {
			r.products[i][k] += activities[i] * activities[k]
		}
		r.tails[i] += activities[i] * tail
	}
	r.squares += tail * tail
}

// addKind adds a kind of an observation. If there are too many, it takes the place of the
// one with the least evidence, or isn't added.
func (r *regression) addKind(kind Kind, loads []Load) {
	if slices.Contains(r.kinds, kind) {
		return
	}
	if len(r.kinds) == maxKinds && !r.evict(loads) {
		return
	}
	r.kinds = append(r.kinds, kind)
	r.seen = append(r.seen, 0)
	for i := range r.products {
		r.products[i] = append(r.products[i], 0)
	}
	r.products = append(r.products, make([]float64, len(r.kinds)+1))
	r.tails = append(r.tails, 0)
}

// evict removes the kind with the least evidence among those that aren't in the loads, if that
// is below minWeight, and reports whether it did.
func (r *regression) evict(loads []Load) bool {
	least := -1
	for i, kind := range r.kinds {
		observed := slices.ContainsFunc(loads, func(load Load) bool { return load.Kind == kind })
		if !observed && (least < 0 || r.products[i+1][i+1] < r.products[least+1][least+1]) {
			least = i
		}
	}
	if least < 0 || r.products[least+1][least+1] >= minWeight {
		return false
	}
	r.remove(least)
	return true
}

func (r *regression) remove(i int) {
	r.kinds = slices.Delete(r.kinds, i, i+1)
	r.seen = slices.Delete(r.seen, i, i+1)
	r.products = slices.Delete(r.products, i+1, i+2)
	for k := range r.products {
		r.products[k] = slices.Delete(r.products[k], i+1, i+2)
	}
	r.tails = slices.Delete(r.tails, i+1, i+2)
}

// solve returns the estimate of each kind.
func (r *regression) solve() []Estimate {
	size := len(r.products)
	normal := make([][]float64, size)
	for i := range normal {
		normal[i] = slices.Clone(r.products[i])
		normal[i][i] += ridge
	}
	// The tail without load is not biased to 0 by ridge; baseRidge keeps the matrix invertible.
	normal[0][0] += baseRidge - ridge
	inverse := invert(normal)
	slopes := make([]float64, size)
	for i := range slopes {
		for k := range r.tails {
			slopes[i] += inverse[i][k] * r.tails[k]
		}
	}
	noise := r.noise(slopes)
	estimates := make([]Estimate, len(r.kinds))
	for i := range estimates {
		estimates[i] = Estimate{Slowdown: slopes[i+1], Error: noise * math.Sqrt(max(0, inverse[i+1][i+1])), Seen: r.seen[i]}
	}
	return estimates
}

// noise returns the standard deviation of the tail from what the slopes predict.
func (r *regression) noise(slopes []float64) float64 {
	residual := r.squares
	for i := range slopes {
		residual -= 2 * slopes[i] * r.tails[i]
		for k := range slopes {
			residual += slopes[i] * slopes[k] * r.products[i][k]
		}
	}
	variance := (max(0, residual) + priorWeight*priorNoise*priorNoise) / (r.products[0][0] + priorWeight)
	return math.Sqrt(variance)
}

// invert returns the inverse of a symmetric positive definite matrix, by its Cholesky
// factor.
func invert(matrix [][]float64) [][]float64 {
	size := len(matrix)
	factor := make([][]float64, size)
	inverse := make([][]float64, size)
	for i := range factor {
		factor[i], inverse[i] = make([]float64, size), make([]float64, size)
		for k := 0; k <= i; k++ {
			sum := matrix[i][k]
			for m := range k {
				sum -= factor[i][m] * factor[k][m]
			}
			if i == k {
				factor[i][i] = math.Sqrt(max(sum, 1e-12))
			} else {
				factor[i][k] = sum / factor[k][k]
			}
		}
	}
	for column := range size {
		solveColumn(factor, inverse, column)
	}
	return inverse
}

// solveColumn computes a column of the inverse by forward and backward substitution.
func solveColumn(factor, inverse [][]float64, column int) {
	size := len(factor)
	forward := make([]float64, size)
	for i := range size {
		sum := 0.0
		if i == column {
			sum = 1
		}
		for k := range i {
			sum -= factor[i][k] * forward[k]
		}
		forward[i] = sum / factor[i][i]
	}
	for i := size - 1; i >= 0; i-- {
		sum := forward[i]
		for k := i + 1; k < size; k++ {
			sum -= factor[k][i] * inverse[k][column]
		}
		inverse[i][column] = sum / factor[i][i]
	}
}
