package main

import (
	"fmt"
	"time"
)

func newJob(number int, prefix, key, spec string, steps ...map[string]any) *job {
	return &job{id: fmt.Sprintf("%016x", 0x5c0e7a2100000000+int64(number)), prefix: prefix, key: key, spec: spec, body: map[string]any{"steps": steps}}
}

const (
	urgent, batch  = "/pufi791/", "/lohu930/"
	open           = "/mira404/"
	kaje, lodu     = "key-of-kaje80", "key-of-lodu31"
	settleTime     = 2 * time.Second
	leaseAndMargin = 11 * time.Second
)

func (rg *rig) runners(count int, capacity resources) {
	zones := []string{"kochi", "thrissur", "kozhikode"}
	for i := range count {
		rg.fl.add(runnerSpec{id: fmt.Sprintf("i-7f3a91c%x", i), zone: zones[i%3], kind: "a", rack: fmt.Sprintf("r%d-1", i%3+1), capacity: capacity})
	}
}

func (fl *fleet) breaches() []string {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return append([]string(nil), fl.broken...)
}

// playEnds: many short tasks end on one runner while the store is down, up to six times.
func playEnds(rg *rig) []string {
	rg.runners(1, resources{CPU: 64000, MemMb: 131072, GPU: 8})
	rg.configure()
	rg.startInstances(3)
	time.Sleep(settleTime)
	for round := range 6 {
		jobs, tasks := 5+4*(round%2), 220-20*(round%2)
		rg.endsRound(round, jobs, tasks)
		if broken := rg.fl.breaches(); len(broken) > 0 {
			return broken
		}
	}
	return nil
}

// endsRound hands in jobs whose tasks all end in an outage of the store, and waits for their end.
func (rg *rig) endsRound(round, jobs, tasks int) {
	li := rg.fl.runners[0].life
	ended := func() (count int64, listed int) {
		rg.fl.mu.Lock()
		defer rg.fl.mu.Unlock()
		return li.lastEnd, len(li.ends)
	}
	before, _ := ended()
	for i := range jobs {
		spec := fmt.Sprintf("work ms=%d round=%d part=%d", 6000+200*(jobs-i), round, i)
		rg.submit(newJob(100*round+i, batch, lodu, spec, map[string]any{"count": tasks, "cpu": 30, "memMb": 60, "estimateMs": 6000}))
	}
	for began := time.Now(); rg.fl.running() < jobs*tasks && time.Since(began) < 5*time.Second; {
		time.Sleep(10 * time.Millisecond)
	}
	rg.rec.add("round %d: %d tasks run", round, rg.fl.running())
	for began := time.Now(); time.Since(began) < 10*time.Second; time.Sleep(5 * time.Millisecond) {
		if count, _ := ended(); count > before {
			break
		}
	}
	if rg.trouble {
		rg.rec.add("the store is down for 4.5 s: 503")
		rg.st.setDown(true)
	}
	time.Sleep(4500 * time.Millisecond)
	if rg.trouble {
		count, listed := ended()
		rg.st.setDown(false)
		rg.rec.add("the store is back; %d runs have ended in this round, %d ends are not taken note of", count-before, listed)
	}
	time.Sleep(4 * time.Second)
}

// playLives: an entry that doesn't tell of a runner's present life stands in the store for a moment;
// first that of its former life, then one of another writer, without the field born.
func playLives(rg *rig) []string {
	rg.runners(2, resources{CPU: 64000, MemMb: 131072, GPU: 8})
	rg.configure()
	rg.startInstances(3)
	time.Sleep(leaseAndMargin)
	rg.formerLife()
	rg.rec.add("first part: %d breaches", len(rg.fl.breaches()))
	rg.otherWriter()
	return rg.fl.breaches()
}

// wholeRunner is a task that needs all accelerators of a runner.
var wholeRunner = map[string]any{"count": 1, "cpu": 7500, "memMb": 15000, "gpu": 8, "estimateMs": 9000}

// formerLife: a runner crashes and starts again under its id, and the store forgets its history before
// the runner has written its entry anew.
func (rg *rig) formerLife() {
	first, second := newJob(1, urgent, kaje, "work ms=9000 first", wholeRunner), newJob(2, urgent, kaje, "work ms=2600 second", wholeRunner)
	rg.submit(first)
	task := first.id + ".0.0.0"
	if rg.fl.await(task, 0, 8*time.Second) == nil {
		abort("the first task was not started")
	}
	rg.submit(second)
	ru := rg.fl.await(task, time.Second, 8*time.Second)
	if ru == nil {
		abort("the first task was not started")
	}
	if rg.trouble {
		rg.fl.mu.Lock()
		ru.silent = true // its next entry follows a heartbeat after its start
		rg.fl.mu.Unlock()
		ru.crash()
		time.Sleep(100 * time.Millisecond)
		ru.start()
		started := time.Now()
		if rg.fl.await(task, 20*time.Millisecond, heartbeat-200*time.Millisecond) != nil {
			rg.rec.add("the store forgets its history")
			rg.st.forget()
		}
		time.Sleep(heartbeat - time.Since(started))
		rg.fl.mu.Lock()
		ru.silent = false
		ru.report()
		rg.fl.mu.Unlock()
	}
	time.Sleep(13 * time.Second)
	rg.ask(first)
	rg.ask(second)
}

// otherWriter: another writer overwrites the entry of a runner that is at work, without born.
func (rg *rig) otherWriter() {
	jo := newJob(3, urgent, kaje, "work ms=9000 third", wholeRunner)
	rg.submit(jo)
	ru := rg.fl.await(jo.id+".0.0.0", 2*time.Second, 15*time.Second)
	if ru == nil {
		abort("the third task was not started")
	}
	if rg.trouble {
		rg.fl.mu.Lock()
		entry := ru.entry()
		delete(entry, "born")
		rg.st.put("servers", ru.spec.id, entry)
		rg.rec.add("another writer writes servers/%s without born", ru.spec.id)
		rg.fl.mu.Unlock()
	}
	time.Sleep(12 * time.Second)
	rg.ask(jo)
}

// playWide: a large job is handed in among small ones.
func playWide(rg *rig) []string {
	rg.runners(12, resources{CPU: 64000, MemMb: 131072, GPU: 8})
	rg.configure()
	rg.startInstances(3)
	time.Sleep(settleTime)
	if rg.trouble {
		rg.submit(newJob(1000, batch, lodu, "work ms=60000 wide", map[string]any{"count": 1000, "cpu": 300, "memMb": 500, "estimateMs": 60000}))
	}
	return rg.smallJobs(8, 2*time.Second)
}

// smallJobs hands in small urgent jobs, and checks LOST.
func (rg *rig) smallJobs(count int, gap time.Duration) []string {
	var small []*job
	for i := range count {
		jo := newJob(i, urgent, kaje, fmt.Sprintf("work ms=1000 small=%d", i), map[string]any{"count": 1, "cpu": 1000, "memMb": 1000, "gpu": 1, "estimateMs": 1000})
		small = append(small, jo)
		rg.submit(jo)
		time.Sleep(gap)
	}
	return rg.lostAtTheEnd(small)
}

// lostAtTheEnd checks LOST finish_s after the last job was handed in: for 3 s, looked at every 100 ms, an
// accepted job that isn't completed has nothing running, and under half of the capacity is in use.
func (rg *rig) lostAtTheEnd(small []*job) []string {
	rg.rec.add("the traffic ends")
	time.Sleep(14 * time.Second)
	open := map[string]*job{}
	for _, jo := range small {
		if state := rg.ask(jo); jo.accepted && state != "completed" {
			open[jo.id] = jo
		}
	}
	most := 0.0
	for began := time.Now(); time.Since(began) < 3200*time.Millisecond; time.Sleep(100 * time.Millisecond) {
		rg.fl.mu.Lock()
		for id := range open {
			if rg.fl.has(id) {
				delete(open, id)
			}
		}
		most = max(most, rg.fl.share())
		rg.fl.mu.Unlock()
	}
	rg.rec.add("%d jobs have had nothing running for 3 s; in use: %.3f of the capacity at the most", len(open), most)
	rg.fl.mu.Lock()
	defer rg.fl.mu.Unlock()
	broken := append([]string(nil), rg.fl.broken...)
	for _, jo := range small {
		if open[jo.id] != nil && most < 0.5 {
			broken = append(broken, fmt.Sprintf("LOST: job %s was accepted, and 14 s after the end of the traffic it has nothing running for 3 s, with %.3f of the capacity in use; starts so far: %d", jo.id, most, jo.starts))
			rg.rec.add("BROKEN %s", broken[len(broken)-1])
		}
	}
	return broken
}

func (fl *fleet) has(id string) bool {
	for _, ru := range fl.runners {
		if ru.life == nil {
			continue
		}
		for task := range ru.life.runs {
			if jobOf(task) == id {
				return true
			}
		}
	}
	return false
}

// share returns the part of the cores, the memory or the accelerators of all runners that is in use,
// whichever is the largest.
func (fl *fleet) share() float64 {
	used, room := map[string]float64{}, map[string]float64{}
	for _, ru := range fl.runners {
		room["cpu"] += float64(ru.spec.capacity.CPU)
		room["memMb"] += float64(ru.spec.capacity.MemMb)
		room["gpu"] += float64(ru.spec.capacity.GPU)
		if ru.life == nil {
			continue
		}
		for task := range ru.life.runs {
			steps, _ := fl.jobs[jobOf(task)].body["steps"].([]map[string]any)
			for name := range room {
				amount, _ := steps[0][name].(int)
				used[name] += float64(amount)
			}
		}
	}
	most := 0.0
	for name := range room {
		most = max(most, used[name]/room[name])
	}
	return most
}

// playRepeated: a job with steps is repeated, so often that its finished steps alone fill its row.
func playRepeated(rg *rig) []string {
	rg.runners(4, resources{CPU: 64000, MemMb: 131072, GPU: 8})
	rg.configure()
	rg.startInstances(3)
	time.Sleep(settleTime)
	const every, usual, often = 200, 30, 290
	count := usual
	if rg.trouble {
		count = often
	}
	var steps []map[string]any
	for range 10 {
		steps = append(steps, map[string]any{"count": 1, "cpu": 500, "memMb": 256, "estimateMs": 50})
	}
	repeated := newJob(1000, batch, lodu, "work ms=50 repeated", steps...)
	repeated.body["repeatCount"], repeated.body["startAtMs"], repeated.body["intervalMs"] = count, time.Now().UnixMilli()+500, every
	rg.submit(repeated)
	time.Sleep(often * every * time.Millisecond)
	broken := rg.smallJobs(6, time.Second)
	rg.fl.mu.Lock()
	defer rg.fl.mu.Unlock()
	rg.rec.add("the repeated job has started %d of %d tasks", repeated.starts, count*10)
	return broken
}

// playCrash: two runners crash, each soon after it has started the same task, and start again. No
// run of the task ends failed.
func playCrash(rg *rig) []string {
	rg.runners(3, resources{CPU: 64000, MemMb: 131072, GPU: 8})
	rg.configure()
	rg.startInstances(3)
	time.Sleep(settleTime)
	jo := newJob(1, urgent, kaje, "work ms=6000", map[string]any{"count": 1, "cpu": 7500, "memMb": 15000, "gpu": 8, "estimateMs": 6000})
	rg.submit(jo)
	task := jo.id + ".0.0.0"
	for range 2 {
		ru := rg.fl.await(task, 1500*time.Millisecond, 10*time.Second)
		if ru == nil {
			abort("the task was not started")
		}
		if rg.trouble {
			ru.crash()
			time.Sleep(time.Second)
			ru.start()
		}
	}
	time.Sleep(14 * time.Second)
	state := rg.ask(jo)
	rg.fl.mu.Lock()
	defer rg.fl.mu.Unlock()
	broken := append([]string(nil), rg.fl.broken...)
	if jo.accepted && state == "failed" && rg.fl.failures == 0 {
		broken = append(broken, fmt.Sprintf("LOST: job %s was accepted, nobody has cancelled it, no run of its task has ended failed, and it is shown as failed", jo.id))
		rg.rec.add("BROKEN %s", broken[len(broken)-1])
	}
	return broken
}

// playRevoked: the key of a tenant is taken away, and its client goes on calling, at a queue that needs
// a key and at one that needs none, for a job of another tenant.
func playRevoked(rg *rig) []string {
	rg.runners(2, resources{CPU: 64000, MemMb: 131072, GPU: 8})
	rg.configure()
	rg.startInstances(3)
	time.Sleep(settleTime)
	jo := newJob(1, batch, kaje, "work ms=40000", map[string]any{"count": 2, "cpu": 7500, "memMb": 15000, "estimateMs": 40000})
	rg.submit(jo)
	if rg.fl.await(jo.id+".0.0.0", 0, 8*time.Second) == nil {
		abort("the job was not started")
	}
	if rg.trouble {
		rg.putConfig(8, []string{"another-key-of-lodu31"})
		rg.rec.add("configuration 8 takes the key %s away; the store has acknowledged it", lodu)
	} else {
		rg.putConfig(8, []string{lodu, "another-key-of-lodu31"})
		rg.rec.add("configuration 8 adds a key; the store has acknowledged it")
	}
	time.Sleep(7 * time.Second) // revokeMs is 5 s
	var broken []string
	for _, in := range rg.instances {
		for _, ca := range [][2]string{{"GET", batch}, {"GET", open}, {"DELETE", open}} {
			status, out := rg.call(in, ca[0], ca[1]+jo.id, lodu, nil)
			rg.rec.add("client of lodu31: %s %s%s at %s with the key %s: %d %v", ca[0], ca[1], jo.id, in.name, lodu, status, out)
			if rg.trouble && status/100 == 2 {
				broken = append(broken, fmt.Sprintf("CONFIG: %s %s%s at %s runs (%d %v), 7 s after the acknowledgement of the configuration that took its key away", ca[0], ca[1], jo.id, in.name, status, out))
				rg.rec.add("BROKEN %s", broken[len(broken)-1])
			}
		}
	}
	time.Sleep(2 * time.Second)
	rg.rec.add("its tenant kaje80, which has not cancelled the job, asks for it:")
	rg.ask(jo)
	return broken
}
