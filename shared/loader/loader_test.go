package loader

import (
	"strings"
	"testing"

	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
)

const valid = `
instance = "kochi-0"
zone = "kochi"
callerAddress = "127.0.0.1:1"
operatorAddress = "127.0.0.1:2"
peerAddress = "127.0.0.1:3"
platformUrl = "http://127.0.0.1:4"
operatorTokenDigests = ["aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"]
`

// refuses checks that the text is refused with a message that holds the words.
func refuses(t *testing.T, text, words string) {
	t.Helper()
	_, err := Parse([]byte(text))
	asserter.Kind(t, err, problem.BadSettings)
	if !strings.Contains(err.Error(), words) {
		t.Fatalf("%q does not say %q", err, words)
	}
}

func TestParse(t *testing.T) {
	t.Run("defaults", func(t *testing.T) {
		set, err := Parse([]byte(valid))
		asserter.OK(t, err)
		asserter.Equal(t, set.Timing.LeaseMillis, 6000)
		asserter.Equal(t, string(set.Scheduling.Preset), "completion")
	})
	t.Run("an unknown key and the nearest known", func(t *testing.T) {
		refuses(t, valid+"[timing]\nlaseMillis = 1\n", "the nearest known key is timing.leaseMillis")
	})
	t.Run("a value out of its range", func(t *testing.T) {
		refuses(t, valid+"[timing]\nleaseMillis = 1\n", "timing.leaseMillis is 1; it must satisfy min=200")
	})
	t.Run("a renewal that is not within the lease", func(t *testing.T) {
		refuses(t, valid+"[timing]\nleaseMillis = 300\nrenewMillis = 300\n", "timing.renewMillis")
	})
	t.Run("a wrong type, with its place", func(t *testing.T) {
		refuses(t, valid+"[log]\nlevel = 3\n", "line 10")
	})
	t.Run("a missing value", func(t *testing.T) {
		refuses(t, strings.Replace(valid, `zone = "kochi"`, "", 1), "zone is")
	})
	t.Run("no file", func(t *testing.T) {
		_, err := Load("no-such-file")
		asserter.Kind(t, err, problem.BadSettings)
	})
}

func FuzzParse(f *testing.F) {
	f.Add(valid)
	f.Add(valid + "[timing]\nleaseMillis = 99999\n")
	f.Fuzz(func(t *testing.T, text string) {
		set, err := Parse([]byte(text))
		if err != nil {
			asserter.Kind(t, err, problem.BadSettings)
			return
		}
		if set.Timing.RenewMillis >= set.Timing.LeaseMillis || set.Instance == "" {
			t.Fatalf("invalid settings were accepted: %+v", set)
		}
	})
}
