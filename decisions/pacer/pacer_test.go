package pacer_test

import (
	"testing"

	"github.com/wagtailcroft/wagtailcroft/decisions/pacer"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

func TestNext(t *testing.T) {
	for _, tc := range []struct {
		name    string
		present meter.Percent
		tail    clock.Millis
		want    meter.Percent
	}{
		{"over the target, fillers are halved", 100, 120, 50},
		{"near the target, fillers are halved", 60, 90, 30},
		{"at the slowest pace, fillers stand still", 15, 150, 0},
		{"between the bounds nothing changes", 40, 75, 40},
		{"well below, fillers are raised", 40, 30, 50},
		{"no faster than full", 95, 10, 100},
	} {
		t.Run(tc.name, func(t *testing.T) {
			asserter.Equal(t, pacer.Next(tc.present, []pacer.Serving{{Tail: tc.tail, Target: 100}}), tc.want)
		})
	}
	t.Run("the worst task decides", func(t *testing.T) {
		asserter.Equal(t, pacer.Next(80, []pacer.Serving{{Tail: 10, Target: 100}, {Tail: 300, Target: 200}}), 40)
	})
	t.Run("from full to a standstill takes four steps, within the 4 s of harm at half a second each", func(t *testing.T) {
		pace := pacer.Full
		steps := 0
		for pace > 0 {
			pace = pacer.Next(pace, []pacer.Serving{{Tail: 200, Target: 100}})
			steps++
		}
		asserter.Equal(t, steps <= 4, true)
	})
}
