package throttler_test

import (
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
