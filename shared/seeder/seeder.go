// Package seeder sets a fixed seed for the property-based tests so that CI runs are
// reproducible. Set the environment variables below for longer runs or other seeds.
package seeder

import (
	"flag"
	"os"
	"testing"
)

const (
	// SeedVariable is the environment variable that overrides the seed.
	SeedVariable = "WAGTAILCROFT_SEED"
	// ChecksVariable is the environment variable that overrides the number of runs of each test.
	ChecksVariable = "WAGTAILCROFT_CHECKS"

	defaultSeed   = "20261204"
	defaultChecks = "100"
)

// Main runs the tests of a package with the fixed seed. Call it from TestMain.
func Main(m *testing.M) { MainWith(m, defaultChecks) }

// MainWith is like Main, with the given default number of runs of each test.
func MainWith(m *testing.M, checks string) {
	flag.Parse()
	setDefault("rapid.seed", envOr(SeedVariable, defaultSeed))
	setDefault("rapid.checks", envOr(ChecksVariable, checks))
	setDefault("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// envOr returns the value of an environment variable, or fallback if it is empty or not set.
func envOr(variable, fallback string) string {
	if text := os.Getenv(variable); text != "" {
		return text
	}
	return fallback
}

// setDefault sets a flag unless it was given on the command line or is not defined.
func setDefault(name, text string) {
	given := false
	flag.Visit(func(fl *flag.Flag) { given = given || fl.Name == name })
	if given || flag.Lookup(name) == nil {
		return
	}
	if err := flag.Set(name, text); err != nil {
		panic(err)
	}
}
