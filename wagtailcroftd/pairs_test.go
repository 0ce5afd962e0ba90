package main

import (
	"testing"

	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/member"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
)

func TestNamePairs(t *testing.T) {
	t.Run("pairs are added to the settings", func(t *testing.T) {
		set, err := namePairs(member.Settings{}, []string{"web,index"}, []string{"web,backup", "a,b"})
		asserter.NoError(t, err)
		asserter.Equal(t, set.KeepApart[0], member.ImagePair{One: "web", Other: "index"})
		asserter.Equal(t, len(set.IgnoreInterference), 2)
	})
	for _, text := range []string{"web", "web,", ",index", "a,b,c", ""} {
		t.Run("refused: "+text, func(t *testing.T) {
			_, err := namePairs(member.Settings{}, []string{text}, nil)
			asserter.Kind(t, err, problem.BadSettings)
		})
	}
}
