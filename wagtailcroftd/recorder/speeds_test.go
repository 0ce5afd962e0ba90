package recorder_test

import (
	"testing"

	"github.com/wagtailcroft/wagtailcroft/decisions/gauger"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/rowstore"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/recorder"
)

func TestSpeeds(t *testing.T) {
	memories := make([]gauger.Memory, recorder.MaxSpeeds(65_536))
	for i := range memories {
		memories[i] = gauger.Memory{Mark: gauger.Mark(i * 1_000_003), Effect: int8(i%250 - 125)}
	}
	value := recorder.EncodeSpeeds(memories)
	t.Run("the largest row takes half of what the store accepts", func(t *testing.T) {
		asserter.Equal(t, len(value) <= 65_536/2+100, true)
	})
	t.Run("decoding returns what was encoded", func(t *testing.T) {
		got, err := recorder.DecodeSpeeds(rowstore.Row{Value: value})
		asserter.NoError(t, err)
		asserter.Equal(t, len(got), len(memories))
		for i := range got {
			asserter.Equal(t, got[i], memories[i])
		}
	})
	t.Run("a row that is cut off is read as far as it goes", func(t *testing.T) {
		got, err := recorder.DecodeSpeeds(rowstore.Row{Value: []byte(`{"workers":"AAAAAQUAAAA="}`)})
		asserter.NoError(t, err)
		asserter.Equal(t, len(got), 1)
	})
}
