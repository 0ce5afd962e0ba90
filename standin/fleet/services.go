package fleet

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/platform/wire"
)

// Addresses of the platform's other services.
const (
	AdviceAddress   = "advice:1"
	MachinesAddress = "machines:1"
)

const (
	// decisionTime and perWorkerTime are what advice takes.
	decisionTime  = 40 * time.Millisecond
	perWorkerTime = 2 * time.Millisecond
	// ticketTime is how long a ticket is valid.
	ticketTime = 3 * time.Second
	// upkeepTime is how long a machine is down for its upkeep.
	upkeepTime = 2 * time.Second
	// disturbed and undisturbed are the tails of a serving task beside fillers at full
	// speed and alone.
	disturbed   = 200
	undisturbed = 40
)

type (
	// Advice is the advice service: it approves every second runner, by the step.
	Advice struct {
		cluster *Cluster
		// issued holds when a ticket was issued.
		issued map[string]time.Time
	}

	// machines is the machine service: each runner has a machine of its own.
	machines struct {
		cluster *Cluster
		fences  map[string]string
		// Upkeeps counts the upkeeps of each machine; most is the most at one time.
		upkeeps map[string]int
		down    int
		most    int
	}
)

// ServeHTTP answers as the platform's advice service does.
func (ad *Advice) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	var ask wire.AdviceAsk
	if !decode(wr, rq, &ask) {
		return
	}
	if !pause(rq, decisionTime+time.Duration(len(ask.Workers))*perWorkerTime) {
		return
	}
	ad.cluster.mu.Lock()
	defer ad.cluster.mu.Unlock()
	out := wire.AdviceReply{ValidityMs: float64(ticketTime.Milliseconds())}
	for _, id := range ask.Workers {
		if at := ad.cluster.index(id); at >= 0 && Approved(ask.Step, at) {
			ticket := fmt.Sprintf("%s/%s/%d", ask.Step, id, len(ad.issued))
			ad.issued[ticket] = time.Now()
			out.Approved = append(out.Approved, []string{id, ticket})
		}
	}
	reply(wr, http.StatusOK, out)
}

// Approved tells which runners the advice service approves for a step.
func Approved(step string, at int) bool { return (len(step)+int(step[len(step)-1])+at)%2 == 0 }

// valid checks the ticket of a start. It is called with the cluster's mutex held.
func (ad *Advice) valid(key workload.TaskKey, id, ticket string) bool {
	issued, known := ad.issued[ticket]
	return known && time.Since(issued) < ticketTime && strings.HasPrefix(ticket, fmt.Sprintf("%s.%d.%d/%s/", key.Job, key.Occurrence, key.Step, id))
}

func (cl *Cluster) index(id string) int {
	return slices.IndexFunc(cl.runners, func(ru *Runner) bool { return ru.id == id })
}

// ServeHTTP answers as the platform's machine service does.
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
	fence := rq.Header.Get("X-Wagtailcroft-Fencing-Token")
	if at < 0 || fence < ma.fences[mu.Machine] {
		reply(wr, http.StatusConflict, wire.MachineReply{Reason: "fence"})
		return
	}
	ma.fences[mu.Machine] = fence
	ma.begin(ma.cluster.runners[at], mu.Machine)
	wr.WriteHeader(http.StatusOK)
}

func (ma *machines) begin(ru *Runner, machine string) {
	if ma.upkeeps[machine] > 0 || !ru.up {
		return
	}
	ma.upkeeps[machine]++
	ma.down++
	ma.most = max(ma.most, ma.down)
	if len(ru.runs) > 0 {
		ma.cluster.judge.broken("UPKEEP", "%s still runs %d tasks", machine, len(ru.runs))
	}
	ru.die()
	ma.cluster.Store.Remove("servers", ru.id)
	ma.cluster.after(upkeepTime, func() {
		ma.down--
		ru.start()
	})
}

// Upkeeps tells how many machines had their upkeep, and the most that were down at once.
func (cl *Cluster) Upkeeps() (total, most int) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, count := range cl.machines.upkeeps {
		total += count
	}
	return total, cl.machines.most
}

// Ask asks for the upkeep of the first machines.
func (cl *Cluster) Ask(number int64, count, most int) {
	wa := wire.Wave{Wave: number, Maximum: most, DurationS: 60}
	for _, ru := range cl.runners[:count] {
		wa.Machines = append(wa.Machines, "m-"+ru.id)
	}
	cl.Store.Put("op", fmt.Sprintf("wave/%d", number), wa)
}

func (ru *Runner) servePace(wr http.ResponseWriter, pa wire.Pace) {
	if !ru.obey(wr, pa.Fence) {
		return
	}
	if rn := ru.runs[pa.Task]; rn != nil && rn.number == pa.Run {
		rn.pace = pa.Percent
	}
	reply(wr, http.StatusOK, wire.RunnerReply{ClockMs: ru.clock()})
}

// figure is what a run reports of the last half second: for one that serves, the tail of
// its response times, which grows with the pace of the fillers beside it.
func (ru *Runner) figure(rn *run) int {
	if ru.cluster.step(rn.key).TargetMs == 0 {
		return 0
	}
	tail := undisturbed
	for _, other := range ru.runs {
		if ru.cluster.step(other.key).Fills {
			tail += disturbed * other.pace / 100
		}
	}
	return tail
}

// Tail is the worst tail that a serving task reports now.
func (cl *Cluster) Tail() int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	worst := 0
	for _, ru := range cl.runners {
		for _, rn := range ru.runs {
			worst = max(worst, ru.figure(rn))
		}
	}
	return worst
}
