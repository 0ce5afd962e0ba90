// Package loader reads and checks the settings file.
package loader

import (
	"bytes"
	"os"
	"reflect"
	"strings"

	"github.com/agnivade/levenshtein"
	"github.com/creasty/defaults"
	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/shared/checker"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/settings"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
)

var rules = checker.New(problem.BadSettings, "toml")

// Load reads the settings of a daemon from a TOML file. All errors are of the kind
// BadSettings.
func Load(path string) (settings.Daemon, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return settings.Daemon{}, problem.New(problem.BadSettings, "%v", err)
	}
	return Parse(text)
}

// Parse reads the settings of a daemon from TOML text: defaults first, then the text,
// then the checks of every value.
func Parse(text []byte) (settings.Daemon, error) {
	var set settings.Daemon
	if err := defaults.Set(&set); err != nil {
		return set, problem.New(problem.BadSettings, "%v", err)
	}
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(&set); err != nil {
		return set, decodeProblem(err)
	}
	return set, rules.Check(set)
}

// decodeProblem names the place of a mistake and, for an unknown key, the nearest known.
func decodeProblem(err error) error {
	var strict *toml.StrictMissingError
	if eris.As(err, &strict) {
		key := strict.Errors[0].Key()
		row, _ := strict.Errors[0].Position()
		return problem.New(problem.BadSettings, "line %d: unknown key %s; the nearest known key is %s", row, strings.Join(key, "."), nearest(key))
	}
	var decode *toml.DecodeError
	if eris.As(err, &decode) {
		row, column := decode.Position()
		return problem.New(problem.BadSettings, "line %d column %d: %v", row, column, decode)
	}
	return problem.New(problem.BadSettings, "%v", err)
}

func nearest(key toml.Key) string {
	wanted := strings.Join(key, ".")
	best, distance := "", len(wanted)+1<<10
	for _, known := range Keys() {
		if di := levenshtein.ComputeDistance(wanted, known); di < distance {
			best, distance = known, di
		}
	}
	return best
}

// Keys lists every key of the settings file, with dots between tables.
func Keys() []string { return keysOf(reflect.TypeFor[settings.Daemon](), "") }

func keysOf(ty reflect.Type, prefix string) []string {
	var keys []string
	for i := range ty.NumField() {
		fd := ty.Field(i)
		name := prefix + fd.Tag.Get("toml")
		if fd.Type.Kind() == reflect.Struct {
			keys = append(keys, keysOf(fd.Type, name+".")...)
			continue
		}
		keys = append(keys, name)
	}
	return keys
}
