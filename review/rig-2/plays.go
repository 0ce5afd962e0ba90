package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// playFlap: one runner of twelve goes down and up by turns; a job that only it can run must not be failed.
func playFlap(ri *rig) int {
	_, special := ri.startRunners(12)
	id, ok := ri.cl.submit(normal, job{Spec: specOf(work{Ms: 5000}), Steps: []step{{Count: 1, CPU: 26000, MemMb: 68000, Gpu: 8, EstimateMs: 5000, Requires: "b"}}})
	if !ok {
		return notRun
	}
	other, ok := ri.cl.submit(normal, job{Spec: specOf(work{Ms: 5000}), Steps: []step{{Count: 4, CPU: 26000, MemMb: 68000, Gpu: 1, EstimateMs: 5000}}})
	if !ok {
		return notRun
	}
	time.Sleep(700 * time.Millisecond)
	const period, lasts = 1400 * time.Millisecond, 6500 * time.Millisecond
	if ri.trouble {
		for began := time.Now(); time.Since(began) < lasts-period/2; {
			special.crash()
			time.Sleep(period / 2)
			special.start([]string{"b", "r1-9"}, ordinary)
			time.Sleep(period / 2)
		}
	}
	ri.re.note("the runner stays up from now on")
	result := notRun
	for began := time.Now(); time.Since(began) < 40*time.Second; time.Sleep(500 * time.Millisecond) {
		state, second := ri.cl.state(normal, id), ri.cl.state(normal, other)
		ri.re.note("client GET %s -> %s, %s -> %s", id, state, other, second)
		if state == "failed" || state == "cancelled" || second == "failed" || second == "cancelled" {
			result = broken
			break
		}
		if state == "completed" && second == "completed" {
			result = held
			break
		}
	}
	ri.fl.mu.Lock()
	defer ri.fl.mu.Unlock()
	failed := 0
	for _, end := range ri.fl.ends {
		if end.how == "failed" {
			failed++
		}
	}
	ri.re.note("ends `failed` that any runner listed: %d; maxAttempts is 3", failed)
	if result == broken && failed >= 3 {
		return notRun
	}
	return result
}

// playKind: a runner goes down and up by turns, each time as another kind; no task that requires the former kind
// may be started on the new one.
func playKind(ri *rig) int {
	all, _ := ri.startRunners(12)
	flapping, kinds := all[1], []string{"c", "d"}
	flapping.crash()
	flapping.start([]string{kinds[0], "r1-8"}, ordinary)
	time.Sleep(2 * time.Second)
	requires := map[string]string{}
	const period, lasts, calm = 1400 * time.Millisecond, 6500 * time.Millisecond, 4 * time.Second
	turn := 0
	for began := time.Now(); time.Since(began) < 90*time.Second; time.Sleep(calm) {
		for _, kind := range kinds {
			for range 2 {
				id, ok := ri.cl.submit(normal, job{Spec: specOf(work{Ms: 2500}), Steps: []step{{Count: 2, CPU: 4000, MemMb: 4000, Gpu: 1, EstimateMs: 2500, Requires: kind}}})
				if !ok {
					return notRun
				}
				requires[id] = kind
			}
		}
		time.Sleep(500 * time.Millisecond)
		for flap := time.Now(); ri.trouble && time.Since(flap) < lasts-period/2; {
			flapping.crash()
			time.Sleep(period / 2)
			turn++
			flapping.start([]string{kinds[turn%2], "r1-8"}, ordinary)
			time.Sleep(period / 2)
		}
	}
	ri.re.note("the runner has restarted %d times", turn)
	return ri.judgeKinds(requires)
}

// judgeKinds looks for starts on runners that lack the label that the job requires.
func (ri *rig) judgeKinds(requires map[string]string) int {
	ri.fl.mu.Lock()
	defer ri.fl.mu.Unlock()
	result := held
	for _, sa := range ri.fl.starts {
		if label := requires[sa.task[:16]]; label != "" && !slices.Contains(sa.labels, label) {
			ri.re.note("VIOLATION at %.3f: %s run %d requires %s and was started on %s with the labels %v", ri.re.at(sa.at), sa.task, sa.run, label, sa.runner, sa.labels)
			result = broken
		}
	}
	return result
}

// playPending: one runner of twelve is unhealthy and answers starts with 503; the jobs that wait for it are pending.
func playPending(ri *rig) int {
	_, special := ri.startRunners(12)
	const jobs = 6
	if ri.trouble {
		special.ill = true
	}
	began := time.Now()
	for range jobs {
		if _, ok := ri.cl.submit(patient, job{Spec: specOf(work{Ms: 2000}), Steps: []step{{Count: 1, CPU: 5600, MemMb: 8200, Gpu: 1, EstimateMs: 2000, Requires: "b"}}}); !ok {
			return notRun
		}
	}
	accepted := time.Now()
	ri.re.note("%d jobs are accepted that require the label of one runner", jobs)
	result := held
	// visible_ms and 2 s after the last acknowledgement
	time.Sleep(time.Until(accepted.Add(5200 * time.Millisecond)))
	for time.Since(began) < 6400*time.Millisecond {
		for _, da := range ri.das {
			ri.fl.mu.Lock()
			begun := map[string]bool{}
			for _, sa := range ri.fl.starts {
				begun[sa.task[:16]] = true
			}
			ri.fl.mu.Unlock()
			waiting := jobs - len(begun)
			status, out := ri.cl.call(da, http.MethodGet, patient, nil)
			pending, _ := out["pending"].(float64)
			ri.re.note("client GET %s at %s -> %d pending %v; %d jobs have not begun", patient, da.name, status, pending, waiting)
			if status == http.StatusOK && 2*int(pending) < waiting {
				result = broken
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	special.ill = false
	ri.re.note("the runner is healthy again")
	time.Sleep(6 * time.Second)
	return result
}

// playGang: both runners of a gang that saves its progress go down and up, two of twenty; all members of the next run must resume
// from one checkpoint.
func playGang(ri *rig) int {
	all, _ := ri.startKinds(20, 2)
	pair := all[1:3]
	const period = 1400 * time.Millisecond
	gangs := map[string]bool{}
	for range 3 {
		id, ok := ri.cl.submit(normal, job{
			Spec:  specOf(work{Ms: 9000, Gang: 2, Saves: true}),
			Steps: []step{{Count: 2, CPU: 26000, MemMb: 40000, Gpu: 4, EstimateMs: 9000, Requires: "c", Gang: true, Checkpointing: true, AntiAffinity: 1}},
		})
		if !ok {
			return notRun
		}
		gangs[id] = true
		// Short tasks beside them, as on any busy runner: their ends answer the polls at other times.
		for i := range 8 {
			ms := int64(400 + 370*i)
			if _, ok := ri.cl.submit(patient, job{Spec: specOf(work{Ms: ms}), Steps: []step{{Count: 1, CPU: 1000, MemMb: 500, EstimateMs: int(ms), Requires: "c"}}}); !ok {
				return notRun
			}
		}
		time.Sleep(4500 * time.Millisecond)
		if ri.trouble {
			for _, ru := range pair {
				ru.crash()
			}
			time.Sleep(period / 2)
			for _, ru := range pair {
				ru.start([]string{"c", "r1-8"}, ordinary)
			}
		}
		time.Sleep(7 * time.Second)
	}
	return ri.judgeGangs(gangs)
}

// judgeGangs looks for members of one run of a gang that were started with different checkpoints.
func (ri *rig) judgeGangs(gangs map[string]bool) int {
	ri.fl.mu.Lock()
	defer ri.fl.mu.Unlock()
	result, first := held, map[string]started{}
	for _, sa := range ri.fl.starts {
		if !gangs[sa.task[:16]] {
			continue
		}
		key := fmt.Sprintf("%s run %d", sa.task[:strings.LastIndex(sa.task, ".")], sa.run)
		if other, seen := first[key]; seen && other.checkpoint != sa.checkpoint {
			ri.re.note("VIOLATION at %.3f: of the gang %s, %s was started with the checkpoint %q and %s with %q", ri.re.at(sa.at), key, other.task, other.checkpoint, sa.task, sa.checkpoint)
			result = broken
		}
		first[key] = sa
	}
	return result
}

// playLasting: one runner of twelve fails all that it starts for a while; tasks that last and need it must run again
// soon after.
func playLasting(ri *rig) int {
	const lasts = 6500 * time.Millisecond
	_, special := ri.startRunners(12)
	began := time.Now()
	special.setFails(ri.trouble)
	var ids []string
	for number := range 2 {
		id, ok := ri.cl.submit(normal, job{Spec: specOf(work{Lasts: true, Number: number}), Steps: []step{{Count: 1, CPU: 5600, MemMb: 8200, Gpu: 1, Requires: "b", LongRunning: true, MaxUnavailable: 1}}})
		if !ok {
			return notRun
		}
		ids = append(ids, id)
	}
	time.Sleep(time.Until(began.Add(lasts)))
	special.setFails(false)
	well := time.Now()
	ri.re.note("the runner is well from now on")
	time.Sleep(20 * time.Second)
	return ri.judgeLasting(ids, well)
}

// setFails lets all tasks fail that are started from now on, or lets them run.
func (ru *runner) setFails(fails bool) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ru.fails = fails
	ru.fl.re.note("runner %s fails all that it starts: %v", ru.id, fails)
}

// judgeLasting looks for tasks that have nothing running for 3 s, from 6 s after their last run, where the 3 s and
// the 4 s before them are calm. Their runner is up, well and has room for many of them all the while.
func (ri *rig) judgeLasting(ids []string, well time.Time) int {
	ri.fl.mu.Lock()
	defer ri.fl.mu.Unlock()
	result := held
	for _, id := range ids {
		began := false
		for _, sa := range ri.fl.starts {
			began = began || sa.task[:16] == id
		}
		if !began {
			return notRun
		}
		for _, end := range ri.fl.ends {
			if end.task[:16] != id {
				continue
			}
			next := time.Now()
			for _, sa := range ri.fl.starts {
				if sa.task == end.task && sa.at.After(end.at) && sa.at.Before(next) {
					next = sa.at
				}
			}
			from := end.at.Add(6 * time.Second)
			if calm := well.Add(4 * time.Second); calm.After(from) {
				from = calm
			}
			ri.re.note("%s run %d ended %s at %.3f; nothing ran for %.2f s after that, of which %.2f s count", end.task, end.run, end.how,
				ri.re.at(end.at), next.Sub(end.at).Seconds(), max(next.Sub(from).Seconds(), 0))
			if next.Sub(from) >= 3*time.Second {
				result = broken
			}
		}
	}
	return result
}

// playHeadroom: beside a steady stream of urgent jobs and long ones, a task that lasts fails once; it must run again
// soon, since it needs cores only and most of these are free.
func playHeadroom(ri *rig) int {
	ri.startRunners(12)
	id, ok := ri.cl.submit(normal, job{Spec: specOf(work{Lasts: true, CPU: 4000}), Steps: []step{{Count: 2, CPU: 4000, MemMb: 4000, AntiAffinity: 1, LongRunning: true, MaxUnavailable: 1}}})
	if !ok {
		return notRun
	}
	time.Sleep(time.Second)
	if _, ok := ri.cl.submit(patient, job{Spec: specOf(work{Ms: 200_000, CPU: 1000, Gpu: 1}), Steps: []step{{Count: 74, CPU: 1000, MemMb: 4000, Gpu: 1, EstimateMs: 200_000}}}); !ok {
		return notRun
	}
	time.Sleep(3 * time.Second)
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			ri.cl.submit(urgent, job{Spec: specOf(work{Ms: 2500, Gang: 4, CPU: 1000, Gpu: 2}), Steps: []step{{Count: 4, CPU: 1000, MemMb: 4000, Gpu: 2, EstimateMs: 2500, Gang: true}}})
			select {
			case <-stop:
				return
			case <-time.After(1600 * time.Millisecond):
			}
		}
	}()
	time.Sleep(15 * time.Second)
	failed := time.Now()
	if ri.trouble {
		if !ri.fl.fail(id + ".0.0.0") {
			close(stop)
			<-done
			return notRun
		}
	}
	roomy := true
	for time.Since(failed) < 35*time.Second {
		time.Sleep(time.Second)
		running, cpu, gpu := ri.fl.use(id)
		ri.re.note("of the lasting job %d of 2 tasks run; %d of 768 cores and %d of 96 GPUs are in use", running, cpu/1000, gpu)
		// Each runner has 64 cores and room in memory for 32 such tasks, so that this is room for far more than two.
		roomy = roomy && cpu < 384_000
	}
	close(stop)
	<-done
	if !roomy {
		return notRun
	}
	return ri.judgeAgain(id)
}

// judgeAgain tells whether a task that failed had nothing running for 3 s, from 6 s after that run.
func (ri *rig) judgeAgain(id string) int {
	ri.fl.mu.Lock()
	defer ri.fl.mu.Unlock()
	result := held
	for _, end := range ri.fl.ends {
		if end.task[:16] != id {
			continue
		}
		next, until := time.Now(), "the end of the play"
		for _, sa := range ri.fl.starts {
			if sa.task == end.task && sa.at.After(end.at) && sa.at.Before(next) {
				next, until = sa.at, "its next start"
			}
		}
		ri.re.note("%s run %d ended %s at %.3f; nothing ran for %.2f s, until %s", end.task, end.run, end.how, ri.re.at(end.at), next.Sub(end.at).Seconds(), until)
		if next.Sub(end.at) >= 9*time.Second {
			result = broken
		}
	}
	return result
}

// fail lets a task fail by its own fault. It reports false if the task is not at work.
func (fl *fleet) fail(task string) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, ru := range fl.all {
		ru.mu.Lock()
		if ru.life != nil && ru.life.runs[task] != nil {
			ru.life.runs[task].end("failed")
			ru.mu.Unlock()
			return true
		}
		ru.mu.Unlock()
	}
	return false
}

// use returns how many tasks of a job run, and what all runs take.
func (fl *fleet) use(id string) (running, cpu, gpu int) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, ru := range fl.all {
		ru.mu.Lock()
		if ru.life != nil {
			for task, rn := range ru.life.runs {
				if task[:16] == id {
					running++
				}
				cpu += rn.spec.CPU
				gpu += rn.spec.Gpu
			}
		}
		ru.mu.Unlock()
	}
	return running, cpu, gpu
}

// playWave: a wave of upkeep of two machines, two at once, on which the two tasks of a lasting step run, one of which
// may be away at a time.
func playWave(ri *rig) int {
	all, _ := ri.startRunners(12)
	ri.cd.mu.Lock()
	for i, ru := range all[1:] {
		ri.cd.machines = append(ri.cd.machines, &machine{name: fmt.Sprintf("m-%05d", i), runner: ru, labels: ru.life.labels, state: "up", done: map[int64]bool{}})
	}
	ri.cd.mu.Unlock()
	id, ok := ri.cl.submit(normal, job{Spec: specOf(work{Lasts: true, StartupMs: 1500}), Steps: []step{{Count: 2, CPU: 4000, MemMb: 4000, AntiAffinity: 1, Requires: "a", LongRunning: true, MaxUnavailable: 1}}})
	if !ok {
		return notRun
	}
	time.Sleep(5 * time.Second)
	if ri.trouble {
		var names []string
		ri.cd.mu.Lock()
		for _, ma := range ri.cd.machines {
			ri.fl.mu.Lock()
			for _, sa := range ri.fl.starts {
				if sa.runner == ma.runner.id && sa.task[:16] == id {
					names = append(names, ma.name)
				}
			}
			ri.fl.mu.Unlock()
		}
		ri.cd.mu.Unlock()
		ri.re.note("a wave of the machines %v, two at once", names)
		ri.st.put("op", "wave/1", map[string]any{"wave": 1, "machines": names, "durationS": 20, "maximum": 2})
	}
	time.Sleep(12 * time.Second)
	return ri.judgeAway(id)
}

// judgeAway looks for a stop that ended a task at work while the other one, ended by such an order, was not at work.
func (ri *rig) judgeAway(id string) int {
	ri.fl.mu.Lock()
	defer ri.fl.mu.Unlock()
	result := held
	for _, end := range ri.fl.ends {
		if end.task[:16] != id || end.how != "stopped" {
			continue
		}
		for _, other := range ri.fl.ends {
			if other.task[:16] != id || other.task == end.task || other.how != "stopped" || other.at.After(end.at) {
				continue
			}
			// The other one was ended before; is it at work again?
			back := time.Time{}
			for _, sa := range ri.fl.starts {
				if sa.task == other.task && sa.at.After(other.at) {
					back = sa.at.Add(1500 * time.Millisecond)
					break
				}
			}
			ri.re.note("%s was stopped at %.3f; %s had been stopped at %.3f and is at work again from %.3f", end.task, ri.re.at(end.at), other.task, ri.re.at(other.at), ri.re.at(back))
			if back.IsZero() || end.at.Add(-stopGrace).Before(back) {
				result = broken
			}
		}
	}
	return result
}

// playEntries: another writer leaves entries in the table of runners; jobs go on, and no process ends.
func playEntries(ri *rig) int {
	all, _ := ri.startRunners(12)
	texts := []string{
		``, `null`, `{}`, `[]`, `"x"`, "\x00\xff\xfe", `{"service":7}`, `{"service":"huvo11a","address":"127.0.0.1:9","born":"x"}`,
		`{"service":"huvo11a","address":7,"state":"ready","born":1,"capacity":{"cpu":1}}`,
		`{"service":"huvo11a","address":"not an address","state":"ready","born":1,"capacity":{"cpu":64000,"memMb":131072,"gpu":8},"labels":["a"]}`,
		`{"service":"elsewhere","address":"127.0.0.1:9","state":"ready","born":1,"capacity":{"cpu":64000,"memMb":131072,"gpu":8},"labels":["a"]}`,
		`{"service":"huvo11a","address":"127.0.0.1:9","state":"asleep","born":1,"capacity":{"cpu":64000,"memMb":131072,"gpu":8}}`,
		`{"service":"huvo11a","address":"127.0.0.1:9","state":"ready","born":-1,"capacity":{"cpu":64000,"memMb":131072,"gpu":8}}`,
		`{"service":"huvo11a","address":"127.0.0.1:9","state":"ready","born":1,"capacity":{"cpu":-5,"memMb":-5,"gpu":-5},"labels":[]}`,
		`{"service":"huvo11a","address":"127.0.0.1:9","state":"ready","born":1,"capacity":{"cpu":1e300}}`,
		`{"service":"huvo11a","address":"127.0.0.1:9","state":"draining","born":1,"capacity":{},"remainingMs":1e300,"labels":["a",null,7]}`,
		strings.Repeat(`[`, 20000),
	}
	for range 3 {
		for i, text := range texts {
			if ri.trouble {
				ri.st.putRaw("servers", fmt.Sprintf("i-foreign%d", i), []byte(text))
				ri.st.putRaw("servers", all[1+i%11].id, []byte(text))
			}
			if _, ok := ri.cl.submit(normal, job{Spec: specOf(work{Ms: 700, Gang: 2}), Steps: []step{{Count: 2, CPU: 4000, MemMb: 4000, Gpu: 1, EstimateMs: 700, Gang: true}}}); !ok {
				return notRun
			}
			time.Sleep(300 * time.Millisecond)
		}
	}
	time.Sleep(5 * time.Second)
	ri.fl.mu.Lock()
	defer ri.fl.mu.Unlock()
	done := map[string]int{}
	for _, end := range ri.fl.ends {
		if end.how == "done" {
			done[end.task]++
		}
	}
	again := 0
	for _, count := range done {
		if count > 1 {
			again++
		}
	}
	ri.re.note("%d tasks of %d have ended done, %d of them more than once", len(done), 2*3*len(texts), again)
	if len(done) < 2*3*len(texts) || again > 0 {
		return broken
	}
	return held
}

// playAdvice: many jobs come at once on a queue that needs advice, and urgent gangs beside them.
func playAdvice(ri *rig) int {
	ri.startRunners(12)
	count := 60
	if !ri.trouble {
		count = 5
	}
	ids := map[string]bool{}
	for range count {
		id, ok := ri.cl.submit(advised, job{Spec: specOf(work{Ms: 1000}), Steps: []step{{Count: 1, CPU: 1000, MemMb: 500, EstimateMs: 1000}}})
		if !ok {
			return notRun
		}
		ids[id] = true
	}
	gangs := map[string]bool{}
	for range 8 {
		id, ok := ri.cl.submit(urgent, job{Spec: specOf(work{Ms: 1500, Gang: 12}), Steps: []step{{Count: 12, CPU: 4000, MemMb: 500, Gpu: 1, EstimateMs: 1500, Gang: true}}})
		if !ok {
			return notRun
		}
		gangs[id] = true
		time.Sleep(time.Second)
	}
	time.Sleep(30 * time.Second)
	ri.fl.mu.Lock()
	defer ri.fl.mu.Unlock()
	begun, done, alone := map[string]bool{}, map[string]bool{}, 0
	for _, sa := range ri.fl.starts {
		begun[sa.task[:16]] = true
	}
	for _, end := range ri.fl.ends {
		if end.how == "done" {
			done[end.task[:16]] = true
		}
		if end.how == "alone" {
			alone++
		}
	}
	missing, late := 0, 0
	for id := range ids {
		if !begun[id] {
			missing++
		}
	}
	for id := range gangs {
		if !done[id] {
			late++
		}
	}
	ri.re.note("%d of %d jobs with advice have not begun, %d of 8 urgent gangs are not done, %d ends alone; %d calls served, %d left", missing, count, late, alone, ri.ad.served, ri.ad.left)
	if missing > 0 || late > 0 || alone > 0 {
		return broken
	}
	return held
}
