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

// assertRejected fails the test unless Parse rejects text with an error that contains want.
func assertRejected(t *testing.T, text, want string) {
	t.Helper()
	_, err := Parse([]byte(text))
	asserter.Kind(t, err, problem.BadSettings)
	if !strings.Contains(err.Error(), want) {
		t.Fatalf("error %q does not contain %q", err, want)
	}
}

func TestParse(t *testing.T) {
	t.Run("defaults", func(t *testing.T) {
		set, err := Parse([]byte(valid))
		asserter.NoError(t, err)
		asserter.Equal(t, set.Timing.LeaseMillis, 6000)
		asserter.Equal(t, string(set.Scheduling.Preset), "completion")
	})
	t.Run("unknown key with suggestion", func(t *testing.T) {
		assertRejected(t, valid+"[timing]\nlaseMillis = 1\n", "the nearest known key is timing.leaseMillis")
	})
	t.Run("value out of range", func(t *testing.T) {
		assertRejected(t, valid+"[timing]\nleaseMillis = 1\n", "timing.leaseMillis is 1; it must satisfy min=200")
	})
	t.Run("renewal interval not below the lease duration", func(t *testing.T) {
		assertRejected(t, valid+"[timing]\nleaseMillis = 300\nrenewMillis = 300\n", "timing.renewMillis")
	})
	t.Run("wrong type with line number", func(t *testing.T) {
		assertRejected(t, valid+"[log]\nlevel = 3\n", "line 10")
	})
	t.Run("missing required value", func(t *testing.T) {
		assertRejected(t, strings.Replace(valid, `zone = "kochi"`, "", 1), "zone is")
	})
	t.Run("missing file", func(t *testing.T) {
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
			t.Fatalf("accepted invalid settings: %+v", set)
		}
	})
}
