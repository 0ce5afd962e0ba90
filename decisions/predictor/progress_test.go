package predictor_test

import (
	"testing"

	"github.com/wagtailcroft/wagtailcroft/decisions/predictor"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

func TestProgress(t *testing.T) {
	type report struct {
		at   clock.Millis
		done meter.Percent
	}
	remaining := func(pr *predictor.Progress, reports []report, now clock.Millis) clock.Millis {
		for _, re := range reports {
			pr.Report(re.at, re.done)
		}
		left, known := pr.Remaining(now)
		if !known {
			return -1
		}
		return left
	}
	for _, ex := range []struct {
		name    string
		started clock.Millis
		reports []report
		now     clock.Millis
		want    clock.Millis
	}{
		{"nothing is known without reports", 1000, nil, 9000, -1},
		{"a run goes on at the pace since its start", 1000, []report{{3000, 20}}, 3000, 8000},
		{"the time since the last report is taken off", 1000, []report{{3000, 20}}, 4000, 7000},
		{"a resumed run is measured from its first report", 0, []report{{1000, 60}, {2000, 70}}, 2000, 3000},
		{"one report of a resumed run tells no pace", 0, []report{{1000, 60}}, 2000, -1},
		{"reports that go back start over", 1000, []report{{3000, 50}, {4000, 10}, {5000, 30}}, 5000, 3500},
		{"when a run ends that has done its work is unknown", 1000, []report{{3000, 100}}, 3000, -1},
		{"a run beyond its expected end is about to end", 1000, []report{{2000, 50}}, 9000, 1},
	} {
		t.Run(ex.name, func(t *testing.T) {
			pr := &predictor.Progress{}
			if ex.started > 0 {
				pr.Start(ex.started)
			}
			asserter.Equal(t, remaining(pr, ex.reports, ex.now), ex.want)
		})
	}
}
