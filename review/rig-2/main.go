// Program rig2 plays the cases 6 to 10 of the review: it starts the daemons as the deploy file says, and stand-ins
// of the platform's store, of runners and of clients beside them.
package main

import (
	"fmt"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Results of a play, which are its exit codes.
const (
	held = iota
	broken
	notRun
)

// rig is what every play has.
type rig struct {
	re      *recorder
	st      *store
	fl      *fleet
	cl      *client
	cd      *cloud
	ad      *advice
	das     []*daemon
	trouble bool
}

var plays = map[string]func(*rig) int{
	"flap": playFlap, "kind": playKind, "pending": playPending, "gang": playGang, "lasting": playLasting, "headroom": playHeadroom, "wave": playWave, "entries": playEntries, "advice": playAdvice,
}

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
}

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 PLAY DIR, in the repository's root")
		os.Exit(notRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, dir string) int {
	re, err := newRecorder(filepath.Join(dir, "record.txt"))
	check(err)
	temp, err := os.MkdirTemp("", "review")
	check(err)
	if os.Getenv("KEEP_LOGS") == "" {
		defer func() { _ = os.RemoveAll(temp) }()
	} else {
		fmt.Println("logs:", temp)
	}
	st := newStore()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	st.serve(ln)
	writeConfig(st)
	ri := &rig{re: re, st: st, fl: newFleet(re, st), trouble: os.Getenv("TROUBLE") != "0"}
	var cloudAddress, adviceAddress string
	ri.ad, adviceAddress = newAdvice(re)
	ri.cd, cloudAddress = newCloud(re)
	ri.das = newDaemons(3, ln.Addr().String(), cloudAddress, adviceAddress, temp)
	ri.cl = &client{re: re, das: ri.das}
	end := func() {
		for _, da := range ri.das {
			da.kill()
		}
	}
	defer end()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-signals
		end()
		_ = os.RemoveAll(temp)
		os.Exit(notRun)
	}()
	for _, da := range ri.das {
		da.start()
	}
	for _, da := range ri.das {
		if !da.awaitReady(ri.cl, normal) {
			re.note("the daemon %s was not ready within 15 s", da.name)
			return notRun
		}
	}
	re.note("all daemons are ready; trouble: %v", ri.trouble)
	result := plays[name](ri)
	for _, da := range ri.das {
		select {
		case <-da.done:
			re.note("the daemon %s ended by itself, which no case is about", da.name)
			result = notRun
		default:
		}
	}
	verdict := []string{"held", "BROKEN", "could not run"}[result]
	re.note("the rule: %s", verdict)
	fmt.Printf("%s: %s\n", name, verdict)
	return result
}

// startRunners starts runners of kind a in four zones, six a rack, and one of kind b.
func (ri *rig) startRunners(count int) (all []*runner, special *runner) {
	return ri.startKinds(count, 0)
}

// startKinds is like startRunners, but the first runners after that of kind b are of kind c.
func (ri *rig) startKinds(count, ofKindC int) (all []*runner, special *runner) {
	zones := []string{"kochi", "thrissur", "kozhikode", "tvm"}
	for i := range count {
		all = append(all, ri.fl.add("i-"+newID()[:8], pool, zones[i%4]))
	}
	for i, ru := range all[1:] {
		labels := []string{"a", fmt.Sprintf("r1-%d", i/6)}
		if i < ofKindC {
			labels = []string{"c", "r1-8"}
		}
		ru.start(labels, ordinary)
	}
	special = all[0]
	special.start([]string{"b", "r1-9"}, ordinary)
	time.Sleep(1500 * time.Millisecond) // the leader meets them
	return all, special
}

var ordinary = capacity{CPU: 64000, MemMb: 131072, Gpu: 8}
