package journalreader_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/wagtailcroft/wagtailcroft/bench/journalreader"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
)

func TestRead(t *testing.T) {
	folder := t.TempDir()
	write := func(name, text string) {
		asserter.NoError(t, os.WriteFile(filepath.Join(folder, name), []byte(text), 0o600))
	}
	write("20261204T120000-b.json", `{"cmd":"score","why":"after","site":"a","score":0.8,"days":[
		{"name":"scale-1","slot":"scale","G":0.6,"served":0.7,"rules":{},"prices":[["machine-seconds",1,0.02],["core-seconds of work thrown away",5,0.1]]}]}`)
	write("20261204T110000-a.json", `{"cmd":"hunt","site":"a","score":null,"days":[{"name":"mix","G":0.1,"rules":{"TWICE":2}},{"name":"mix","G":0.5,"rules":{}}]}`)
	entries, err := journalreader.Read(folder)
	asserter.NoError(t, err)
	t.Run("entries are in chronological order", func(t *testing.T) {
		asserter.Equal(t, entries[0].At(), "20261204T110000")
		asserter.Equal(t, entries[1].Reason, "after")
	})
	t.Run("days with a broken rule are counted", func(t *testing.T) {
		asserter.Equal(t, entries[0].DaysWithViolations(), 1)
		asserter.Equal(t, entries[1].DaysWithViolations(), 0)
	})
	t.Run("worth and waste are read", func(t *testing.T) {
		asserter.Equal(t, entries[1].Score, 0.8)
		asserter.Equal(t, entries[1].Days[0].Worth, 0.6)
		asserter.Equal(t, entries[1].Days[0].WastePenalty, 0.1)
	})
	t.Run("an invalid entry is an error", func(t *testing.T) {
		write("20261204T130000-c.json", "{")
		_, err := journalreader.Read(folder)
		asserter.Equal(t, err != nil, true)
	})
}
