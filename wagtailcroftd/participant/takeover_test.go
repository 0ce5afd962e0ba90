package participant_test

import (
	"testing"
	"time"

	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/standin/fleet"
)

func TestTakeover(t *testing.T) {
	t.Run("runs go on under a new holder", func(t *testing.T) {
		play(t, 3, 4, func(sc *scene) {
			jo := sc.accepted(0, sc.job(normalPrefix, seconds(8), tasks(4, 2)))
			sc.sleep(time.Second)
			sc.kill(sc.holder())
			sc.sleep(4 * time.Second)
			sc.becomes(sc.holder(), jo, "completed", 5*time.Second)
			asserter.Equal(t, sc.cluster.Runs(), 4)
		})
	})
	t.Run("a new holder stops what a former one started before it starts it elsewhere", func(t *testing.T) {
		play(t, 3, 4, func(sc *scene) {
			batch := sc.job(batchPrefix, seconds(20), tasks(32, 1))
			batch.Key = bobKey
			sc.accepted(0, batch)
			sc.sleep(time.Second)
			sc.kill(sc.holder())
			sc.sleep(4 * time.Second)
			urgent := sc.accepted(sc.holder(), sc.job(urgentPrefix, seconds(1), ganged(tasks(2, 8))))
			sc.becomes(sc.holder(), urgent, "completed", 4*time.Second)
		})
	})
	t.Run("the next start comes within the takeover time of the holder's death", func(t *testing.T) {
		play(t, 3, 4, func(sc *scene) {
			sc.kill(sc.holder())
			at := time.Now()
			jo := sc.accepted(sc.alive(), sc.job(normalPrefix, seconds(1), tasks(1, 1)))
			sc.becomes(sc.alive(), jo, "running", takeoverTime+time.Second)
			if took := time.Since(at); took > takeoverTime+time.Second {
				t.Fatalf("the next start came after %v", took)
			}
		})
	})
	t.Run("another takes the duty at once when the holder's process ends", func(t *testing.T) {
		play(t, 3, 4, func(sc *scene) {
			sc.kill(sc.holder())
			jo := sc.accepted(sc.alive(), sc.job(normalPrefix, seconds(1), tasks(1, 1)))
			sc.becomes(sc.alive(), jo, "running", 500*time.Millisecond)
		})
	})
	t.Run("a holder that dies while the store refuses all is replaced when it is back", func(t *testing.T) {
		play(t, 3, 4, func(sc *scene) {
			former := sc.holder()
			sc.cluster.StoreOutage("", fleet.Reset)
			sc.sleep(100 * time.Millisecond)
			sc.kill(former)
			sc.sleep(2 * time.Second) // a standby that did not pause between its tries would stop the clock
			sc.cluster.StoreOutage("", fleet.Reachable)
			sc.sleep(time.Second)
			if sc.holder() == former {
				t.Fatalf("nobody has taken the duty")
			}
		})
	})
	t.Run("a holder that neither renews nor answers is not waited for", func(t *testing.T) {
		play(t, 3, 4, func(sc *scene) {
			sc.powerOff(sc.holder())
			jo := sc.accepted(sc.alive(), sc.job(normalPrefix, seconds(1), tasks(1, 1)))
			sc.becomes(sc.alive(), jo, "running", 1500*time.Millisecond)
		})
	})
	t.Run("a holder that answers is waited for as long as its renewal may take", func(t *testing.T) {
		play(t, 3, 4, func(sc *scene) {
			former := sc.holder()
			sc.renewed()
			sc.sleep(700 * time.Millisecond)
			// the next renewal is late, but not by so much that it seeks relief
			sc.cluster.StoreOutage(sc.instances[former].name, fleet.Busy)
			sc.sleep(450 * time.Millisecond)
			sc.cluster.StoreOutage(sc.instances[former].name, fleet.Reachable)
			sc.sleep(2 * time.Second)
			asserter.Equal(t, sc.holder(), former)
		})
	})
	t.Run("an instance of little processor hands the duty over to a stronger one", func(t *testing.T) {
		play(t, 2, 4, func(sc *scene) {
			strong := sc.holder()
			weak := 1 - strong
			sc.kill(weak)
			sc.yields[sc.instances[weak].name] = 300
			sc.restart(weak)
			sc.kill(strong)
			sc.sleep(time.Second)
			asserter.Equal(t, sc.holder(), weak)
			sc.restart(strong)
			sc.sleep(10 * time.Second)
			asserter.Equal(t, sc.holder(), strong)
		})
	})
	t.Run("a connection that breaks is no end of the holder's process", func(t *testing.T) {
		play(t, 3, 4, func(sc *scene) {
			former := sc.holder()
			sc.peers.breakAll()
			sc.sleep(2 * time.Second)
			asserter.Equal(t, sc.holder(), former)
		})
	})
	t.Run("a holder that the store turns away is relieved by one that it serves", func(t *testing.T) {
		play(t, 4, 4, func(sc *scene) {
			sc.sleep(6 * time.Second) // until the holder has read who is there
			former := sc.holder()
			sc.cluster.StoreOutage(sc.instances[former].name, fleet.Reset)
			at := (former + 1) % 4
			jo := sc.accepted(at, sc.job(normalPrefix, seconds(1), tasks(1, 1)))
			sc.becomes(at, jo, "running", 1700*time.Millisecond)
			sc.cluster.StoreOutage(sc.instances[former].name, fleet.Reachable)
		})
	})
	t.Run("nobody takes the duty while the store serves nobody", func(t *testing.T) {
		play(t, 3, 4, func(sc *scene) {
			sc.sleep(6 * time.Second)
			former := sc.holder()
			for _, in := range sc.instances {
				sc.cluster.StoreOutage(in.name, fleet.Reset)
			}
			sc.sleep(1500 * time.Millisecond)
			for _, in := range sc.instances {
				sc.cluster.StoreOutage(in.name, fleet.Reachable)
			}
			sc.sleep(2 * time.Second)
			asserter.Equal(t, sc.holder(), former)
		})
	})
	t.Run("a process that starts again takes its own duty at once", func(t *testing.T) {
		play(t, 1, 4, func(sc *scene) {
			jo := sc.accepted(0, sc.job(normalPrefix, seconds(3), tasks(1, 1)))
			sc.sleep(500 * time.Millisecond)
			sc.kill(0)
			sc.restart(0)
			sc.sleep(time.Second)
			sc.becomes(0, jo, "completed", 3*time.Second)
			asserter.Equal(t, sc.cluster.Runs(), 1)
		})
	})
	t.Run("a graceful stop hands the duty over at once", func(t *testing.T) {
		play(t, 3, 4, func(sc *scene) {
			former := sc.holder()
			close(sc.instances[former].stop)
			sc.sleep(300 * time.Millisecond)
			if sc.holderName() == sc.instances[former].name {
				t.Fatalf("the duty is still held by the stopping instance")
			}
			jo := sc.accepted(former, sc.job(normalPrefix, seconds(1), tasks(1, 1)))
			sc.becomes(former, jo, "completed", 3*time.Second)
		})
	})
	t.Run("a holder cut from the store gives way, and what it started goes on", func(t *testing.T) {
		play(t, 3, 4, func(sc *scene) {
			jo := sc.accepted(0, sc.job(normalPrefix, seconds(12), tasks(4, 2)))
			sc.sleep(time.Second)
			former := sc.holder()
			sc.cluster.StoreOutage(sc.instances[former].name, fleet.Silent)
			sc.sleep(6 * time.Second)
			if sc.holder() == former {
				t.Fatalf("the duty did not pass on")
			}
			sc.cluster.StoreOutage(sc.instances[former].name, fleet.Reachable)
			sc.becomes(sc.holder(), jo, "completed", 10*time.Second)
			asserter.Equal(t, sc.cluster.Runs(), 4)
		})
	})
	t.Run("a worker out of the new holder's reach may have leases of the former one", func(t *testing.T) {
		play(t, 3, 2, func(sc *scene) {
			jo := sc.accepted(0, sc.job(normalPrefix, seconds(40), tasks(1, 2)))
			sc.sleep(time.Second)
			at, former := sc.cluster.At(jo.ID)[0], sc.instances[sc.holder()].name
			for _, in := range sc.instances {
				if in.name != former {
					sc.cluster.RunnerOutage(in.name, at, fleet.Silent)
				}
			}
			sc.cluster.StoreOutage(former, fleet.Silent)
			sc.sleep(60 * time.Second)
			sc.becomes(sc.holder(), jo, "completed", 20*time.Second)
		})
	})
	t.Run("attempts are counted also when all processes start anew", func(t *testing.T) {
		play(t, 3, 4, func(sc *scene) {
			var jobs []fleet.Job
			for i := range 24 {
				work := time.Duration(800+10*i) * time.Millisecond
				jobs = append(jobs, sc.accepted(0, sc.job(normalPrefix, fleet.Work{Time: work, Failing: 99}, tasks(1, 1))))
				sc.sleep(450 * time.Millisecond)
				for i := range sc.instances {
					sc.kill(i)
				}
				// The duty may be read before the configuration, or after it.
				sc.cluster.StoreOutage("", fleet.Busy)
				for i := range sc.instances {
					sc.restart(i)
				}
				sc.sleep(time.Duration(i) * 10 * time.Millisecond)
				sc.cluster.StoreOutage("", fleet.Reachable)
				sc.sleep(time.Second)
			}
			for _, jo := range jobs {
				sc.becomes(0, jo, "failed", 20*time.Second)
			}
			asserter.Equal(t, sc.cluster.Runs(), 3*len(jobs))
		})
	})
	t.Run("an end that is not recorded is not forgotten", func(t *testing.T) {
		play(t, 3, 2, func(sc *scene) {
			jo := sc.accepted(0, sc.job(normalPrefix, seconds(2), tasks(2, 2)))
			sc.sleep(time.Second)
			former := sc.holder()
			sc.cluster.StoreOutage("", fleet.Silent)
			sc.sleep(8 * time.Second)
			sc.kill(former)
			sc.cluster.StoreOutage("", fleet.Reachable)
			sc.sleep(4 * time.Second)
			sc.becomes(sc.holder(), jo, "completed", 4*time.Second)
			asserter.Equal(t, sc.cluster.Runs(), 2)
		})
	})
	t.Run("all processes die and what was accepted is done", func(t *testing.T) {
		play(t, 3, 4, func(sc *scene) {
			jo := sc.accepted(0, sc.job(normalPrefix, seconds(2), tasks(4, 2)))
			for i := range sc.instances {
				sc.kill(i)
			}
			sc.sleep(time.Second)
			for i := range sc.instances {
				sc.restart(i)
			}
			sc.sleep(2 * time.Second)
			sc.becomes(0, jo, "completed", 12*time.Second)
		})
	})
}
