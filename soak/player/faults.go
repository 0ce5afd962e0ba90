package player

import (
	"encoding/json"
	"fmt"
	"syscall"
	"time"

	"github.com/wagtailcroft/wagtailcroft/platform/wire"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/soak/relayer"
)

// bornEarlier is by how much the entry of a former life of a worker is older.
const bornEarlier = 60 * clock.Second

// disturb draws a fault and plays it. What it ends by itself, it ends within some seconds.
func (pl *play) disturb() {
	at, worker := pl.rnd.IntN(instances), pl.rnd.IntN(runners)
	if pl.rnd.IntN(2) == 0 {
		at = pl.leader()
	}
	last := time.Duration(300+pl.rnd.IntN(4500)) * time.Millisecond
	faults := []struct {
		name string
		play func()
	}{
		{"the calls to the workers are rough", func() { pl.during(last*2, relayer.Rough, pl.workers...) }},
		{"the calls to the workers are rough", func() { pl.during(last*2, relayer.Rough, pl.workers...) }},
		{"a worker is silent", func() { pl.during(last, relayer.Silent, pl.workers[worker]) }},
		{"a worker crashes", func() { pl.sr.Crash(worker, last/4) }},
		{"a worker is replaced", func() { pl.sr.Replace(worker, last/2) }},
		{"a worker leaves", func() {
			pl.sr.Drain(worker)
			time.AfterFunc(drainTime.Duration()+time.Second, func() { pl.sr.Restart(worker) })
		}},
		{"the entry of a worker is that of a former life", func() {
			pl.sr.OverwriteEntry(worker, func(en *wire.Entry) { en.Born -= int64(bornEarlier) })
			time.AfterFunc(last/2, func() { pl.sr.OverwriteEntry(worker, func(*wire.Entry) {}) })
		}},
		{"the calls to the store are rough", func() { pl.disturbStore(last, relayer.Rough, pl.stores...) }},
		{"the store is busy", func() { pl.disturbStore(last, relayer.Busy, pl.stores...) }},
		{"the store is silent for one instance", func() { pl.disturbStore(last*2, relayer.Silent, pl.stores[at]) }},
		{"the store turns one instance away", func() { pl.disturbStore(last*2, relayer.Busy, pl.stores[at]) }},
		{"a zone is evacuated and taken back", func() { pl.evacuate(fmt.Sprintf("z%d", worker%2), 2*last) }},
		{"a zone is evacuated and taken back", func() { pl.evacuate(fmt.Sprintf("z%d", worker%2), 2*last) }},
		{"the store forgets its history", pl.sr.Store.Compact},
		{"an instance is paused", func() { pl.pause(at, last) }},
		{"an instance is paused", func() { pl.pause(at, last) }},
		{"an instance is killed", func() { pl.restart(at, last/2, pl.instances[at].Kill) }},
		{"an instance is stopped", func() { pl.restart(at, 0, pl.instances[at].Terminate) }},
	}
	fa := faults[pl.rnd.IntN(len(faults))]
	pl.log("fault: %s (instance %d, worker %d, %v)", fa.name, at, worker, last)
	fa.play()
}

// leader returns the index of the instance that the store names as the leader.
func (pl *play) leader() int {
	var leader struct {
		Instance string `json:"instance"`
	}
	if value := pl.sr.Store.Get("duty", "scheduler"); value == nil || json.Unmarshal(value, &leader) != nil {
		return 0
	}
	for at, in := range pl.instances {
		if in.Name == leader.Instance {
			return at
		}
	}
	return 0
}

// during sets the mode of relayers for a time.
func (pl *play) during(last time.Duration, mode relayer.Mode, relayers ...*relayer.Relayer) {
	for _, re := range relayers {
		re.Set(mode)
		time.AfterFunc(last, func() { re.Set(relayer.Sound) })
	}
}

// disturbStore disturbs calls to the store. The oracle must know, because instances learn of a worker's
// departure from the store only.
func (pl *play) disturbStore(last time.Duration, mode relayer.Mode, stores ...*relayer.Relayer) {
	pl.storeFaults.Add(1)
	pl.sr.RecordStoreFault(true)
	pl.during(last, mode, stores...)
	time.AfterFunc(last, func() {
		if pl.storeFaults.Add(-1) == 0 {
			pl.sr.RecordStoreFault(false)
		}
	})
}

// evacuate evacuates a zone for a time. Of two evacuations of a zone, the end of the first one ends both.
func (pl *play) evacuate(zone string, last time.Duration) {
	pl.log("row %d evacuates %s", pl.sr.Evacuate(zone), zone)
	time.AfterFunc(last, func() {
		pl.sr.TakeBack(zone)
		pl.log("%s is taken back", zone)
	})
}

// pause stops the process of an instance for a time.
func (pl *play) pause(at int, last time.Duration) {
	in := pl.instances[at]
	in.Signal(syscall.SIGSTOP)
	time.Sleep(last)
	in.Signal(syscall.SIGCONT)
}

// restart ends an instance and starts it again after a time.
func (pl *play) restart(at int, after time.Duration, end func()) {
	end()
	time.Sleep(after)
	if err := pl.instances[at].Start(); err != nil {
		pl.broken = append(pl.broken, err.Error())
	}
}

// heal ends all faults.
func (pl *play) heal() {
	for _, re := range append(append([]*relayer.Relayer{}, pl.workers...), pl.stores...) {
		re.Set(relayer.Sound)
	}
	for at := range runners {
		pl.sr.Restart(at)
	}
	pl.log("all faults have ended")
}
