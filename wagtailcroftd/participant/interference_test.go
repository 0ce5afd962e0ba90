package participant_test

import (
	"slices"
	"testing"
	"time"

	"github.com/wagtailcroft/wagtailcroft/platform/wire"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/operator"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/standin/fleet"
)

// onEach returns a step with one task on each of some workers.
func onEach(workers int, image string) wire.StepBody {
	st := tasks(workers, 1)
	st.Image, st.AntiAffinity = image, 1
	return st
}

// filling returns a step of best-effort tasks, one on each of some workers.
func filling(workers int, image string) wire.StepBody {
	st := onEach(workers, image)
	st.Fills = true
	return st
}

// verdictOf returns what operators are shown of a pair of images.
func verdictOf(list operator.InterferenceList, disturbed, disturbing identifier.Image) operator.ImagePairViewVerdict {
	i := slices.IndexFunc(list.Pairs, func(pa operator.ImagePairView) bool {
		return pa.Disturbed == disturbed && pa.Disturbing == disturbing
	})
	if i < 0 {
		return ""
	}
	return list.Pairs[i].Verdict
}

func TestInterference(t *testing.T) {
	const workers = 6
	t.Run("of two kinds of best-effort tasks the one that disturbs a service is found, and the other one is spared", func(t *testing.T) {
		runScenario(t, 3, workers, func(ha *harness) {
			serving := onEach(workers, "web")
			serving.LongRunning, serving.TargetMs = true, 100
			ha.mustSubmit(0, ha.job(normalPrefix, seconds(600), serving))
			ha.sleep(2 * time.Second)
			for range 8 {
				ha.mustSubmit(0, ha.job(batchPrefix, seconds(6), filling(workers, "noisy")))
				ha.sleep(4 * time.Second)
				ha.mustSubmit(0, ha.job(batchPrefix, seconds(5), filling(workers, fleet.HarmlessImage)))
				ha.sleep(8 * time.Second)
			}
			for at := range ha.instances {
				list, _ := query[operator.InterferenceList](ha, at, "/v1/interference")
				asserter.Equal(t, verdictOf(list, "web", "noisy"), operator.ImagePairViewVerdictDisturbs)
				asserter.Equal(t, verdictOf(list, "web", fleet.HarmlessImage), operator.ImagePairViewVerdictHarmless)
			}
			ha.mustSubmit(0, ha.job(batchPrefix, seconds(30), filling(workers, fleet.HarmlessImage), filling(workers, "noisy")))
			least := 100
			for range 40 {
				ha.sleep(100 * time.Millisecond)
				least = min(least, ha.cluster.MinSpeed(fleet.HarmlessImage))
			}
			t.Logf("lowest speed of harmless tasks: %d%%", least)
			asserter.Equal(t, least >= 25, true)
			asserter.Equal(t, ha.cluster.MaxTailLatency() <= 100, true)
		})
	})
	t.Run("without images nothing is learned", func(t *testing.T) {
		runScenario(t, 1, 2, func(ha *harness) {
			serving, bestEffort := onEach(2, ""), filling(2, "")
			serving.LongRunning, serving.TargetMs = true, 100
			ha.mustSubmit(0, ha.job(normalPrefix, seconds(600), serving))
			ha.mustSubmit(0, ha.job(batchPrefix, seconds(5), bestEffort))
			ha.sleep(10 * time.Second)
			list, _ := query[operator.InterferenceList](ha, 0, "/v1/interference")
			asserter.Equal(t, len(list.Pairs)+len(list.Workers), 0)
		})
	})
}
