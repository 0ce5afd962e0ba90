package fleet

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/platform/wire"
)

const (
	// AdviceAddress is the address of the advice service.
	AdviceAddress = "advice:1"
	// MachinesAddress is the address of the machine service.
	MachinesAddress = "machines:1"

	// decisionTime is the time of a request to the advice service; each worker in the
	// request adds perWorkerTime.
	decisionTime  = 40 * time.Millisecond
	perWorkerTime = 2 * time.Millisecond
	// ticketValidity is how long a ticket is valid.
	ticketValidity = 3 * time.Second
	// maintenanceTime is how long a machine is down for maintenance.
	maintenanceTime = 2 * time.Second
	// HarmlessImage is the image of best-effort tasks that disturb nobody.
	HarmlessImage = "harmless"
	// baseTailMillis is the tail latency of a task with a tail latency target if no
	// best-effort tasks are on the same runner. Each best-effort task at full speed adds
	// addedTailMillis.
	addedTailMillis = 200
	baseTailMillis  = 40
)

type (
	// Advice is the simulated advice service. It approves every second runner; which half
	// depends on the step.
	Advice struct {
		cluster *Cluster
		// issued maps each ticket to the time at which it was issued.
		issued map[string]time.Time
	}

	// machines is the simulated machine service. Each runner has a machine of its own.
	machines struct {
		cluster *Cluster
		// fences maps each machine to the last fencing token accepted for it.
		fences map[string]int64
		// maintenances counts the maintenances of each machine, down is the number of
		// machines currently down for maintenance, and maxDown the highest value of down.
		maintenances map[string]int
		// waves holds the machines that each wave has taken down.
		waves   map[int64]map[string]bool
		down    int
		maxDown int
	}
)

// ServeHTTP serves the advice protocol of the platform.
func (ad *Advice) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	var req wire.AdviceAsk
	if !decode(wr, rq, &req) {
		return
	}
	if !pause(rq, decisionTime+time.Duration(len(req.Workers))*perWorkerTime) {
		return
	}
	ad.cluster.mu.Lock()
	defer ad.cluster.mu.Unlock()
	out := wire.AdviceReply{ValidityMs: float64(ticketValidity.Milliseconds())}
	for _, id := range req.Workers {
		if at := ad.cluster.index(id); at >= 0 && Approves(req.Step, at) {
			ticket := fmt.Sprintf("%s/%s/%d", req.Step, id, len(ad.issued))
			ad.issued[ticket] = time.Now()
			out.Approved = append(out.Approved, []string{id, ticket})
		}
	}
	reply(wr, http.StatusOK, out)
}

// Approves reports whether the advice service approves the runner at an index for a step.
func Approves(step string, at int) bool { return (len(step)+int(step[len(step)-1])+at)%2 == 0 }

// valid reports whether the ticket of a start is valid. The caller must hold the cluster's
// mutex.
func (ad *Advice) valid(key workload.TaskKey, id, ticket string) bool {
	issued, known := ad.issued[ticket]
	return known && time.Since(issued) < ticketValidity && strings.HasPrefix(ticket, fmt.Sprintf("%s.%d.%d/%s/", key.Job, key.Occurrence, key.Step, id))
}

func (cl *Cluster) index(id string) int {
	return slices.IndexFunc(cl.runners, func(ru *Runner) bool { return ru.id == id })
}

// ServeHTTP serves the machine protocol of the platform.
func (ma *machines) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	ma.cluster.mu.Lock()
	defer ma.cluster.mu.Unlock()
	if rq.Method == http.MethodGet {
		var out wire.MachinesReply
		for _, ru := range ma.cluster.runners {
			en := wire.Machine{Machine: "m-" + ru.id, Pool: Pool, State: "upkeep"}
			if ru.up {
				en.State, en.ID = "up", ru.id
			}
			out.Machines = append(out.Machines, en)
		}
		reply(wr, http.StatusOK, out)
		return
	}
	var mu wire.MachineUpkeep
	if !decode(wr, rq, &mu) {
		return
	}
	at := ma.cluster.index(strings.TrimPrefix(mu.Machine, "m-"))
	fence, err := strconv.ParseInt(rq.Header.Get("X-Wagtailcroft-Fencing-Token"), 10, 64)
	if err != nil {
		http.Error(wr, err.Error(), http.StatusBadRequest)
		return
	}
	switch {
	case at < 0 || fence < ma.fences[mu.Machine] && !ma.cluster.op.IgnoresFences:
		reply(wr, http.StatusConflict, wire.MachineReply{Reason: "fence"})
		return
	case fence < ma.fences[mu.Machine]:
		ma.cluster.oracle.checkFence(rq, mu.Machine, fence, ma.fences[mu.Machine])
	default:
		ma.fences[mu.Machine] = fence
	}
	if ma.waves[mu.Wave][mu.Machine] {
		wr.WriteHeader(http.StatusOK)
		return
	}
	if !ma.cluster.runners[at].up {
		reply(wr, http.StatusConflict, wire.MachineReply{Reason: "busy"})
		return
	}
	if ma.waves[mu.Wave] == nil {
		ma.waves[mu.Wave] = map[string]bool{}
	}
	ma.waves[mu.Wave][mu.Machine] = true
	ma.startMaintenance(ma.cluster.runners[at], mu.Machine)
	wr.WriteHeader(http.StatusOK)
}

// startMaintenance takes a machine down for maintenance.
func (ma *machines) startMaintenance(ru *Runner, machine string) {
	ma.maintenances[machine]++
	ma.down++
	ma.maxDown = max(ma.maxDown, ma.down)
	if len(ru.runs) > 0 {
		ma.cluster.oracle.reportViolation("UPKEEP", "the maintenance of %s starts while it runs %d tasks", machine, len(ru.runs))
	}
	ru.terminate()
	ma.cluster.Store.Remove("servers", ru.id)
	ma.cluster.afterFunc(maintenanceTime, func() {
		ma.down--
		ru.start()
	})
}

// Maintenances returns the total number of maintenances and the highest number of machines
// that were down at the same time.
func (cl *Cluster) Maintenances() (total, maxDown int) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, count := range cl.machines.maintenances {
		total += count
	}
	return total, cl.machines.maxDown
}

// WaveMaintenances returns how many machines a wave has taken down.
func (cl *Cluster) WaveMaintenances(number int64) int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return len(cl.machines.waves[number])
}

// RequestWave writes the operator's request for a maintenance wave of the first count
// machines, of which at most maxDown may be down at the same time.
func (cl *Cluster) RequestWave(number int64, count, maxDown int) {
	wa := wire.Wave{Wave: number, Maximum: maxDown, DurationS: 60}
	for _, ru := range cl.runners[:count] {
		wa.Machines = append(wa.Machines, "m-"+ru.id)
	}
	cl.Store.Put("op", fmt.Sprintf("wave/%d", number), wa)
}

func (ru *Runner) servePace(wr http.ResponseWriter, rq *http.Request, pa wire.Pace) {
	if !ru.acceptFence(wr, rq, pa.Fence) {
		return
	}
	if rn := ru.runs[pa.Task]; rn != nil && rn.number == pa.Run {
		rn.speed = pa.Percent
	}
	reply(wr, http.StatusOK, wire.RunnerReply{ClockMs: ru.clock()})
}

// tailLatency returns the figure that a run reports for the last half second. For a task
// with a tail latency target it is the tail latency in milliseconds, which grows with the
// speed of the best-effort tasks on the same runner; for other tasks it is 0.
func (ru *Runner) tailLatency(rn *run) int {
	if ru.cluster.step(rn.key).TargetMs == 0 {
		return 0
	}
	tail := baseTailMillis
	for _, other := range ru.runs {
		if st := ru.cluster.step(other.key); st.Fills && st.Image != HarmlessImage {
			tail += addedTailMillis * other.speed / 100
		}
	}
	return tail
}

// MinSpeed returns the lowest speed, in percent, of the runs of an image; 100 if there are none.
func (cl *Cluster) MinSpeed(image string) int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	least := 100
	for _, ru := range cl.runners {
		for _, rn := range ru.runs {
			if cl.step(rn.key).Image == image {
				least = min(least, rn.speed)
			}
		}
	}
	return least
}

// MaxTailLatency returns the highest tail latency that any task currently reports, in
// milliseconds.
func (cl *Cluster) MaxTailLatency() int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	worst := 0
	for _, ru := range cl.runners {
		for _, rn := range ru.runs {
			worst = max(worst, ru.tailLatency(rn))
		}
	}
	return worst
}
