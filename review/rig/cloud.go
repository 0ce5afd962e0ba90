package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// upkeepTakes is maintenanceS.
const upkeepTakes = 2 * time.Second

// cloud is the service of the machines; each runner is one life of a machine.
type cloud struct {
	rg *rig

	mu      sync.Mutex
	state   map[string]string // of each machine: up, upkeep
	fences  map[string]int64
	upkeeps map[string]int // by wave and machine: how often it has begun
	down    map[int64]int  // machines of each wave that are down for theirs
}

func newCloud(rg *rig) *cloud {
	return &cloud{rg: rg, state: map[string]string{}, fences: map[string]int64{}, upkeeps: map[string]int{}, down: map[int64]int{}}
}

func machineOf(at int) string { return fmt.Sprintf("m-0a3f%d", at) }

func (cl *cloud) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	switch rq.Method + " " + rq.URL.Path {
	case "GET /v1/machines":
		list := []any{}
		cl.rg.fl.mu.Lock()
		for at, ru := range cl.rg.fl.runners {
			state := cl.state[machineOf(at)]
			if state == "" {
				state = "up"
			}
			list = append(list, map[string]any{"machine": machineOf(at), "pool": service, "state": state, "zone": ru.spec.zone,
				"labels": []string{ru.spec.kind, ru.spec.rack}, "capacity": ru.spec.capacity, "id": ru.spec.id})
		}
		cl.rg.fl.mu.Unlock()
		answer(wr, 200, map[string]any{"machines": list, "nextToken": nil})
	case "POST /v1/machine-upkeep":
		cl.serveUpkeep(wr, rq)
	default:
		answer(wr, 404, map[string]any{})
	}
}

func (cl *cloud) serveUpkeep(wr http.ResponseWriter, rq *http.Request) {
	var ask struct {
		Machine string `json:"machine"`
		Wave    int64  `json:"wave"`
	}
	fence, err := strconv.ParseInt(rq.Header.Get("X-Wagtailcroft-Fencing-Token"), 10, 64)
	if json.NewDecoder(rq.Body).Decode(&ask) != nil || err != nil {
		answer(wr, 400, map[string]any{})
		return
	}
	refuse := func(reason string) {
		cl.rg.rec.add("machine-upkeep of %s for wave %d by %s: 409 %s", ask.Machine, ask.Wave, rq.Header.Get("X-Wagtailcroft-Duty-Holder"), reason)
		answer(wr, 409, map[string]any{"reason": reason})
	}
	if fence < cl.fences[ask.Machine] {
		refuse("fence")
		return
	}
	cl.fences[ask.Machine] = fence
	wave, within := cl.wave(ask.Wave), false
	for _, name := range wave.Machines {
		within = within || name == ask.Machine
	}
	key := fmt.Sprintf("%d/%s", ask.Wave, ask.Machine)
	switch {
	case !within:
		refuse("wave")
		return
	case cl.upkeeps[key] > 0:
		answer(wr, 200, map[string]any{})
		return
	case cl.state[ask.Machine] == "upkeep":
		refuse("busy")
		return
	}
	if cl.down[ask.Wave] >= wave.Maximum {
		cl.rg.fl.mu.Lock()
		cl.rg.fl.breach("LIMIT: the upkeep of %s begins while %d machines of wave %d are down", ask.Machine, cl.down[ask.Wave], ask.Wave)
		cl.rg.fl.mu.Unlock()
	}
	cl.rg.rec.add("machine-upkeep of %s for wave %d: 200, it begins", ask.Machine, ask.Wave)
	cl.upkeeps[key]++
	cl.down[ask.Wave]++
	cl.state[ask.Machine] = "upkeep"
	for at, ru := range cl.rg.fl.runners {
		if machineOf(at) == ask.Machine {
			go cl.upkeep(ask.Machine, ask.Wave, ru)
		}
	}
	answer(wr, 200, map[string]any{})
}

// upkeep ends the runner of a machine, and starts another one there, with an id of its own.
func (cl *cloud) upkeep(name string, wave int64, ru *runner) {
	ru.crash()
	cl.rg.st.remove("servers", ru.spec.id)
	time.Sleep(upkeepTakes)
	cl.mu.Lock()
	cl.down[wave]--
	cl.state[name] = "up"
	cl.rg.fl.mu.Lock()
	ru.spec.id += "n"
	cl.rg.fl.mu.Unlock()
	cl.mu.Unlock()
	ru.start()
}

type wave struct {
	Wave      int64    `json:"wave"`
	Machines  []string `json:"machines"`
	DurationS int      `json:"durationS"`
	Maximum   int      `json:"maximum"`
}

func (cl *cloud) wave(number int64) (wa wave) {
	_ = json.Unmarshal(cl.rg.st.get("op", fmt.Sprintf("wave/%d", number)), &wa)
	return wa
}

// playWaves: an operator asks for two waves at the same time.
func playWaves(rg *rig) []string {
	rg.runners(4, resources{CPU: 64000, MemMb: 131072, GPU: 8})
	rg.configure()
	rg.startInstances(3)
	time.Sleep(settleTime)
	first, second := []string{machineOf(0), machineOf(1)}, []string{machineOf(2), machineOf(3)}
	if rg.trouble {
		second = []string{machineOf(1), machineOf(2)} // one machine is in both
	}
	for number, machines := range [][]string{first, second} {
		wa := wave{Wave: int64(number + 1), Machines: machines, DurationS: 40, Maximum: 2}
		rg.st.put("op", fmt.Sprintf("wave/%d", wa.Wave), wa)
		rg.rec.add("operator: op/wave/%d %v, at most %d at once; the store has acknowledged it", wa.Wave, machines, wa.Maximum)
	}
	broken := []string{}
	for range 100 {
		time.Sleep(250 * time.Millisecond)
		for number := int64(1); number <= 2; number++ {
			var status struct {
				State string `json:"state"`
			}
			_ = json.Unmarshal(rg.st.get("status", fmt.Sprintf("wave/%d", number)), &status)
			if status.State != "completed" {
				continue
			}
			rg.cloud.mu.Lock()
			for _, name := range rg.cloud.wave(number).Machines {
				if rg.cloud.upkeeps[fmt.Sprintf("%d/%s", number, name)] == 0 {
					broken = append(broken, fmt.Sprintf("MIXED: wave %d is said to be completed, and its machine %s, which stays, has not begun its upkeep", number, name))
				}
			}
			rg.cloud.mu.Unlock()
		}
		if len(broken) > 0 {
			break
		}
	}
	for _, text := range broken {
		rg.rec.add("BROKEN %s", text)
	}
	for number := 1; number <= 2; number++ {
		rg.rec.add("status/wave/%d: %s", number, rg.st.get("status", fmt.Sprintf("wave/%d", number)))
	}
	return append(broken, rg.fl.breaches()...)
}
