// Package seeder fixes the seed of the fuzz tests, so that CI gives the same verdict on
// every run. Longer runs with fresh seeds set the environment variables below.
package seeder

import (
	"flag"
	"os"
	"testing"
)

const (
	// SeedVariable holds the seed of the fuzz tests.
	SeedVariable = "WAGTAILCROFT_SEED"
	// ChecksVariable holds the number of runs of each fuzz test.
	ChecksVariable = "WAGTAILCROFT_CHECKS"

	fixedSeed   = "20261204"
	fixedChecks = "100"
)

// Main runs the tests of a package with the seed fixed; it is called by TestMain.
func Main(m *testing.M) { MainWith(m, fixedChecks) }

// MainWith is Main with another number of runs of each fuzz test.
func MainWith(m *testing.M, checks string) {
	flag.Parse()
	set("rapid.seed", value(SeedVariable, fixedSeed))
	set("rapid.checks", value(ChecksVariable, checks))
	set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func value(variable, fixed string) string {
	if text := os.Getenv(variable); text != "" {
		return text
	}
	return fixed
}

// set changes a flag that was not given on the command line.
func set(name, text string) {
	given := false
	flag.Visit(func(fl *flag.Flag) { given = given || fl.Name == name })
	if given || flag.Lookup(name) == nil {
		return
	}
	if err := flag.Set(name, text); err != nil {
		panic(err)
	}
}
