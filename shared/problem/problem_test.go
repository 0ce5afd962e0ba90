package problem

import (
	"testing"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"
)

func TestKinds(t *testing.T) {
	for _, ki := range Kinds() {
		t.Run(string(ki), func(t *testing.T) {
			is.New(t).True(ki.Title() != "")
			is.New(t).True(ki.Remedy() != "")
		})
	}
}

func TestFrom(t *testing.T) {
	t.Run("unwraps a typed error", func(t *testing.T) {
		err := eris.Wrap(New(StaleRow, "row"), "outer")
		is.New(t).Equal(KindOf(err), StaleRow)
	})
	t.Run("other errors are internal", func(t *testing.T) {
		is.New(t).Equal(KindOf(eris.New("x")), Internal)
	})
	t.Run("nil has no kind", func(t *testing.T) {
		is.New(t).Equal(KindOf(nil), Kind(""))
	})
}
