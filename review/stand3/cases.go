package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

var (
	batch  = route{Name: "r-jwyy7yx", Host: host, PathPrefix: "/pule252/", Kind: "unsafe", TimeoutMs: 3000, ObjectiveMs: 3000, Priority: 2, Service: service, MaxAttempts: 4, Stretch: 3}
	sets   = route{Name: "r-7ejsmzz", Host: host, PathPrefix: "/lohu930/", Kind: "unsafe", TimeoutMs: 3000, ObjectiveMs: 1000, Priority: 1, Service: service, MaxAttempts: 3, Stretch: 3}
	urgent = route{Name: "r-yyjsg3a", Host: host, PathPrefix: "/pufi791/", Kind: "unsafe", TimeoutMs: 3000, ObjectiveMs: 250, Priority: 0, Service: service, MaxAttempts: 4, Stretch: 1.5}
)

const (
	fullRunner = `"cpu":26000,"memMb":68000,"gpu":8`
	visibleMs  = 3000
)

// body is that of a job with one step.
func body(millis, count int, request, more string) string {
	spec, _ := json.Marshal(fmt.Sprintf(`{"ms":%d}`, millis))
	return fmt.Sprintf(`{"spec":%s,"steps":[{"count":%d,%s,"estimateMs":%d%s}]}`, spec, count, request, millis, more)
}

// occupy keeps runners busy, one job each, and waits until these run. It returns the runner that is left idle.
func (wo *world) occupy(by route, millis int) *runnerProcess {
	busy := map[string]bool{}
	for i := range len(wo.runners) - 1 {
		id := fmt.Sprintf("aaaaaaaaaaaaaa%02x", i)
		wo.submit(by.PathPrefix, id, body(millis, 1, fullRunner, ""))
		wo.await(10*time.Second, "job "+id+" runs", func() bool { return len(wo.of(id, "begin")) > 0 })
		busy[wo.of(id, "begin")[0].Runner] = true
	}
	for _, ru := range wo.runners {
		if !busy[ru.id] {
			return ru
		}
	}
	check(fmt.Errorf("no runner is idle"))
	return nil
}

// pendingCase: one of seven runners is unhealthy for 6.5 s and refuses all starts; the others are busy. Jobs that
// were accepted over visible_ms + 2 s before and haven't begun must be given as pending, at least half of them.
func pendingCase(pl place, trouble bool) string {
	wo := newWorld(pl, []route{batch, sets, urgent}, 2, 7)
	defer wo.end()
	idle := wo.occupy(batch, 60_000)
	if trouble {
		wo.refuse(idle, 1)
	}
	unhealthy := time.Now()
	ids := []string{"bbbbbbbbbbbbbb01", "bbbbbbbbbbbbbb02", "bbbbbbbbbbbbbb03", "bbbbbbbbbbbbbb04"}
	accepted := map[string]time.Time{}
	for _, id := range ids {
		accepted[id] = wo.submit(sets.PathPrefix, id, body(4000, 1, `"cpu":13000,"memMb":16000,"gpu":2`, ""))
	}
	broken := ""
	for time.Since(unhealthy) < 6300*time.Millisecond {
		for _, in := range wo.instances {
			asked := time.Now()
			status, answer := wo.call(in, http.MethodGet, sets.PathPrefix, "")
			var given struct{ Pending int }
			if status != http.StatusOK || json.Unmarshal([]byte(answer), &given) != nil {
				continue
			}
			waiting := 0
			for _, id := range ids {
				if asked.Sub(accepted[id]) > (visibleMs+2000)*time.Millisecond && len(wo.of(id, "begin")) == 0 {
					waiting++
				}
			}
			wo.note("client: GET %s at %s -> %s; %d jobs were accepted over 5 s before and haven't begun", sets.PathPrefix, in.name, answer, waiting)
			if 2*given.Pending < waiting {
				broken = fmt.Sprintf("MIXED: %s gives %d jobs as pending, %d were accepted over 5 s before and haven't begun", in.name, given.Pending, waiting)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	for _, id := range ids {
		wo.state(0, sets.PathPrefix, id)
	}
	if trouble {
		wo.refuse(idle, 0)
	}
	for i, id := range ids {
		wo.await(20*time.Second, "job "+id+" is completed", func() bool { return wo.state(i, sets.PathPrefix, id) == "completed" })
	}
	return broken
}

// renameCase: a new version of the configuration removes a route and adds one with the same host, prefix and
// service under another name. An accepted job must still be done.
func renameCase(pl place, trouble bool) string {
	wo := newWorld(pl, []route{sets, urgent}, 2, 6)
	defer wo.end()
	const two, queued = "cccccccccccccc01", "cccccccccccccc02"
	spec := `"spec":"{\"ms\":4000}"`
	wo.submit(sets.PathPrefix, two, `{`+spec+`,"steps":[{"count":2,`+fullRunner+`,"estimateMs":4000},{"count":2,`+fullRunner+`,"estimateMs":4000,"dependsOn":[0]}]}`)
	wo.await(10*time.Second, "the first step runs", func() bool { return len(wo.of(two, "begin")) == 2 })
	wo.submit(sets.PathPrefix, queued, body(4000, 12, fullRunner, ""))
	wo.await(10*time.Second, "some tasks run", func() bool { return len(wo.of(queued, "begin")) >= 1 })
	next := sets
	if trouble {
		next.Name = "r-sets2"
	} else {
		next.TimeoutMs = 2900
	}
	wo.configure(2, []route{next, urgent})
	changed := time.Now()
	for time.Since(changed) < 50*time.Second {
		time.Sleep(2 * time.Second)
		if wo.state(0, next.PathPrefix, two) == "completed" && wo.state(1, next.PathPrefix, queued) == "completed" {
			return ""
		}
	}
	last := int64(0)
	for _, id := range []string{two, queued} {
		for _, ev := range wo.of(id, "") {
			last = max(last, ev.At)
		}
	}
	idle := time.Since(time.UnixMilli(last))
	// A job of the new route shows that the runners are free and that the system is at work.
	const after = "cccccccccccccc03"
	wo.submit(next.PathPrefix, after, body(1000, 6, fullRunner, ""))
	wo.await(10*time.Second, "a job of the new route is completed", func() bool { return wo.state(0, next.PathPrefix, after) == "completed" })
	first, second := wo.state(0, next.PathPrefix, two), wo.state(1, next.PathPrefix, queued)
	return fmt.Sprintf("LOST: the jobs accepted before the change are %s and %s; they have had nothing running for %.0f s with all runners idle", first, second, idle.Seconds())
}

// flapCase: one of ten runners goes down and up, period 1.4 s, for 6.5 s; the others are busy. A job of which no
// run has ended "failed" must not be shown as failed.
func flapCase(pl place, trouble bool) string {
	wo := newWorld(pl, []route{batch, sets, urgent}, 2, 10)
	defer wo.end()
	idle := wo.occupy(batch, 40_000)
	const id = "dddddddddddddd01"
	wo.submit(sets.PathPrefix, id, body(5000, 1, fullRunner, ""))
	wo.await(10*time.Second, "the job runs", func() bool { return len(wo.of(id, "begin")) > 0 })
	if trouble {
		for began := time.Now(); time.Since(began) < 6500*time.Millisecond-1400*time.Millisecond; {
			wo.crash(idle)
			time.Sleep(700 * time.Millisecond)
			wo.startRunner(idle)
			time.Sleep(700 * time.Millisecond)
		}
	}
	for until := time.Now().Add(50 * time.Second); time.Now().Before(until); time.Sleep(time.Second) {
		switch wo.state(0, sets.PathPrefix, id) {
		case "completed":
			return ""
		case "failed":
			failed := 0
			for _, ev := range wo.of(id, "end") {
				if ev.How == "failed" {
					failed++
				}
			}
			return fmt.Sprintf("LOST: the job is shown as failed after %d runs, of which %d have ended failed (maxAttempts is %d)", len(wo.of(id, "begin")), failed, sets.MaxAttempts)
		}
	}
	return "LOST: the job is not done"
}

// lasting is the body of a job with one step of tasks that last.
func lasting(count int, request, more string) string {
	return fmt.Sprintf(`{"spec":"{\"lasts\":true}","steps":[{"count":%d,%s,"estimateMs":60000,"longRunning":true%s}]}`, count, request, more)
}

// atWork returns the runners on which tasks of a job are at work, by task.
func (wo *world) atWork(job string) map[string]string {
	at := map[string]string{}
	for _, ev := range wo.of(job, "") {
		switch ev.Event {
		case "begin":
			at[ev.Task] = ev.Runner
		case "end":
			delete(at, ev.Task)
		}
	}
	return at
}

// awaitAtWork waits until as many tasks of a job are at work. It returns false if that takes too long.
func (wo *world) awaitAtWork(job string, count int, most time.Duration) bool {
	for until := time.Now().Add(most); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if len(wo.atWork(job)) >= count {
			return true
		}
	}
	return false
}

// restartMs is the time since its last run after which a task that lasts breaks the rule if it has none: 6 s, and
// 3 s.
const restartMs = 9000

// reclaimMs is the bound of the small deployment.
const reclaimMs = 3400

// onceCase: a task fails once and must be started again. One is of a job of tasks that last, one on each of eight
// runners. Another is of a job of eight short tasks that need one of two runners, one of which is in use.
func onceCase(pl place, trouble bool) string {
	wo := newWorld(pl, []route{batch, sets, urgent}, 2, 8)
	defer wo.end()
	const lasts, other, short, request = "eeeeeeeeeeeeee01", "eeeeeeeeeeeeee02", "eeeeeeeeeeeeee03", `"cpu":4000,"memMb":4000,"gpu":1`
	wo.submit(sets.PathPrefix, lasts, lasting(8, request, `,"antiAffinity":1`))
	wo.submit(batch.PathPrefix, other, lasting(1, `"cpu":26000,"memMb":68000,"gpu":7`, `,"requires":"r1-1"`))
	if !wo.awaitAtWork(lasts, 8, 10*time.Second) || !wo.awaitAtWork(other, 1, 10*time.Second) {
		check(fmt.Errorf("the tasks that last are not at work"))
	}
	time.Sleep(5 * time.Second)
	wo.submit(sets.PathPrefix, short, body(4000, 8, `"cpu":13000,"memMb":16000,"gpu":2`, `,"requires":"r1-1"`))
	if !wo.awaitAtWork(short, 3, 10*time.Second) {
		check(fmt.Errorf("the short tasks do not run"))
	}
	if trouble {
		wo.fail(lasts + ".0.0.3")
		wo.fail(short + ".0.0.0")
	}
	time.Sleep(200 * time.Millisecond)
	failed := time.Now()
	restarted := false
	for time.Since(failed) < 60*time.Second {
		if !restarted && len(wo.atWork(lasts)) == 8 && time.Since(failed) <= restartMs*time.Millisecond {
			restarted = true
		}
		if wo.state(0, sets.PathPrefix, short) == "completed" && restarted {
			return ""
		}
		time.Sleep(time.Second)
	}
	tasks := map[string]bool{}
	for _, ev := range wo.of(short, "begin") {
		tasks[ev.Task] = true
	}
	state := wo.state(1, sets.PathPrefix, short)
	return fmt.Sprintf("LOST: %.0f s after a task failed once, %d of 8 tasks that last are at work (all within 9 s: %v); of the job of 8 short tasks, which is %s, %d have ever begun and %d are at work",
		time.Since(failed).Seconds(), len(wo.atWork(lasts)), restarted, state, len(tasks), len(wo.atWork(short)))
}

// servicesCase: twelve jobs of one task that lasts fill six runners. All fail at once, twice, 20 s apart, and must
// be started again.
func servicesCase(pl place, trouble bool) string {
	wo := newWorld(pl, []route{batch, sets, urgent}, 2, 6)
	defer wo.end()
	var ids []string
	for i := range 12 {
		id := fmt.Sprintf("ffffffffffffff%02x", i)
		wo.submit(sets.PathPrefix, id, lasting(1, `"cpu":20000,"memMb":40000,"gpu":4`, ""))
		ids = append(ids, id)
	}
	for _, id := range ids {
		if !wo.awaitAtWork(id, 1, 10*time.Second) {
			check(fmt.Errorf("task of %s is not at work", id))
		}
	}
	broken := ""
	for range 2 {
		time.Sleep(10 * time.Second)
		if trouble {
			wo.fail("ffffffffffffff")
		}
		began := time.Now()
		time.Sleep(200 * time.Millisecond)
		late, longest := 0, time.Duration(0)
		for _, id := range ids {
			if !wo.awaitAtWork(id, 1, 40*time.Second-time.Since(began)) || time.Since(began) > restartMs*time.Millisecond {
				late, longest = late+1, time.Since(began)
			}
		}
		wo.note("judge: %d of 12 tasks that last had no run for over 9 s, the last for %.1f s", late, longest.Seconds())
		if late > 0 {
			broken = fmt.Sprintf("LOST: %d of 12 tasks that last had no run for over 9 s after they had failed, up to %.1f s, with all runners idle", late, longest.Seconds())
		}
	}
	return broken
}

// burstCase: urgent tasks that last come at once, three and later two of 8 GPUs, to seven runners of 8. Less urgent
// work must be started too: a gang that needs two of the four idle runners, and then work that needs no GPU.
func burstCase(pl place, trouble bool) string {
	wo := newWorld(pl, []route{batch, sets, urgent}, 2, 7)
	defer wo.end()
	burst := func(id string, count int) {
		if !trouble {
			return
		}
		wo.submit(urgent.PathPrefix, id, lasting(count, fullRunner, ""))
		if !wo.awaitAtWork(id, count, 10*time.Second) {
			check(fmt.Errorf("the urgent tasks are not at work"))
		}
	}
	broken := ""
	burst("abababababababab", 3)
	time.Sleep(12 * time.Second)
	const gang, service, job, request = "bcbcbcbcbcbcbc01", "bcbcbcbcbcbcbc02", "bcbcbcbcbcbcbc03", `"cpu":4000,"memMb":4000`
	wo.submit(sets.PathPrefix, gang, fmt.Sprintf(`{"spec":"{\"ms\":1000,\"gang\":2}","steps":[{"count":2,%s,"estimateMs":1000,"gang":true}]}`, fullRunner))
	submitted := time.Now()
	for len(wo.of(gang, "begin")) == 0 && time.Since(submitted) < 22*time.Second {
		time.Sleep(20 * time.Millisecond)
	}
	if took := time.Since(submitted); took > 3*time.Second {
		broken += fmt.Sprintf("LOST: a gang of 2 tasks of 8 GPUs each has had nothing running for %.0f s, with 24 of 56 GPUs in use. ", took.Seconds())
	}
	burst("acacacacacacacac", 2)
	time.Sleep(time.Second)
	wo.submit(sets.PathPrefix, service, lasting(1, request, ""))
	wo.submit(sets.PathPrefix, job, body(1000, 1, request, ""))
	submitted = time.Now()
	wo.awaitAtWork(service, 1, 40*time.Second)
	began, done := len(wo.of(service, "begin")), wo.state(1, sets.PathPrefix, job) == "completed"
	if took := time.Since(submitted); began == 0 || took > restartMs*time.Millisecond {
		broken += fmt.Sprintf("LOST: a task that lasts and needs 4 cores, 4,000 MB and no GPU has had no run for %.0f s, with two runners idle (a job of 1 s that needs the same is completed: %v)", took.Seconds(), done)
	}
	wo.state(0, sets.PathPrefix, gang)
	return broken
}

// reclaimCase: jobs of tasks that last come at once and take all GPUs. An urgent job within what is guaranteed to
// its tenant must begin within reclaimMs.
func reclaimCase(pl place, trouble bool) string {
	wo := newWorld(pl, []route{batch, sets, urgent}, 2, 6)
	defer wo.end()
	most := 6
	if !trouble {
		most = 3
	}
	for i := range most {
		id := fmt.Sprintf("9a9a9a9a9a9a9a%02x", i)
		wo.submit(batch.PathPrefix, id, lasting(1, fullRunner, ""))
		if !wo.awaitAtWork(id, 1, 10*time.Second) {
			check(fmt.Errorf("task of %s is not at work", id))
		}
	}
	time.Sleep(5 * time.Second)
	const id = "9b9b9b9b9b9b9b01"
	acknowledged := wo.submit(urgent.PathPrefix, id, body(2500, 1, fullRunner, ""))
	for time.Since(acknowledged) < 60*time.Second && len(wo.of(id, "begin")) == 0 {
		time.Sleep(20 * time.Millisecond)
	}
	took := time.Since(acknowledged)
	state := wo.state(0, urgent.PathPrefix, id)
	if took > reclaimMs*time.Millisecond {
		return fmt.Sprintf("RECLAIM: the job of priority 0 needs 8 of the 8 GPUs that are guaranteed to its tenant; %.0f s after its acknowledgement it has begun %d times and is %s", took.Seconds(), len(wo.of(id, "begin")), state)
	}
	return ""
}
