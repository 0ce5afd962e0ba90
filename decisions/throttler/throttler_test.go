package throttler_test

import (
	"fmt"
	"testing"

	"github.com/wagtailcroft/wagtailcroft/decisions/throttler"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

func TestNext(t *testing.T) {
	for _, tc := range []struct {
		name    string
		present meter.Percent
		latency clock.Millis
		want    meter.Percent
	}{
		{"above the target the speed is halved", 100, 120, 50},
		{"near the target the speed is halved", 60, 90, 30},
		{"below the lowest speed the tasks are paused", 15, 150, 0},
		{"between the thresholds the speed is unchanged", 40, 75, 40},
		{"well below the target the speed is raised", 40, 30, 50},
		{"the speed is never raised above full", 95, 10, 100},
	} {
		t.Run(tc.name, func(t *testing.T) {
			asserter.Equal(t, throttler.Next(tc.present, []throttler.Service{{TailLatency: tc.latency, Target: 100}}), tc.want)
		})
	}
	t.Run("the service with the highest ratio of latency to target decides", func(t *testing.T) {
		asserter.Equal(t, throttler.Next(80, []throttler.Service{{TailLatency: 10, Target: 100}, {TailLatency: 300, Target: 200}}), 40)
	})
	t.Run("full speed drops to 0 in at most 4 steps, which at 0.5 s each is within the 4 s that a service may be harmed", func(t *testing.T) {
		speed := throttler.FullSpeed
		steps := 0
		for speed > 0 {
			speed = throttler.Next(speed, []throttler.Service{{TailLatency: 200, Target: 100}})
			steps++
		}
		asserter.Equal(t, steps <= 4, true)
	})
}

func TestPlan(t *testing.T) {
	harmed := []throttler.Service{{TailLatency: 200, Target: 100}}
	expectSpeeds := func(t *testing.T, tasks []throttler.Task, services []throttler.Service, spared int, want ...meter.Percent) {
		t.Helper()
		got, _ := throttler.Plan(tasks, services, spared)
		asserter.Equal(t, fmt.Sprint(got), fmt.Sprint(want))
	}
	t.Run("the cause is throttled first, with all of which nothing is known", func(t *testing.T) {
		expectSpeeds(t, []throttler.Task{{Speed: 100, Blame: throttler.Cause}, {Speed: 100, Blame: throttler.Harmless}, {Speed: 100}}, harmed, 0, 50, 100, 50)
	})
	t.Run("without evidence all are throttled alike", func(t *testing.T) {
		expectSpeeds(t, []throttler.Task{{Speed: 100}, {Speed: 40}}, harmed, 0, 50, 20)
	})
	t.Run("harmless tasks are throttled too if no cause is running", func(t *testing.T) {
		expectSpeeds(t, []throttler.Task{{Blame: throttler.Cause}, {Speed: 100, Blame: throttler.Harmless}}, harmed, 0, 0, 50)
		expectSpeeds(t, []throttler.Task{{Speed: 100}, {Speed: 100, Blame: throttler.Harmless}}, harmed, 0, 50, 50)
	})
	t.Run("all are raised alike", func(t *testing.T) {
		expectSpeeds(t, []throttler.Task{{Speed: 40, Blame: throttler.Cause}, {Speed: 40, Blame: throttler.Harmless}}, []throttler.Service{{TailLatency: 10, Target: 100}}, 0, 50, 50)
	})
	t.Run("if the evidence is wrong, all tasks are at 0 after 6 decisions, which at 0.5 s each is within the 4 s that a service may be harmed", func(t *testing.T) {
		tasks := []throttler.Task{{Speed: throttler.FullSpeed, Blame: throttler.Cause}, {Speed: throttler.FullSpeed, Blame: throttler.Harmless}}
		spared, steps := 0, 0
		for tasks[0].Speed+tasks[1].Speed > 0 && steps < 20 {
			speeds, sparing := throttler.Plan(tasks, harmed, spared)
			tasks[0].Speed, tasks[1].Speed = speeds[0], speeds[1]
			if steps++; sparing {
				spared++
			}
		}
		asserter.Equal(t, steps <= 6, true)
	})
}
