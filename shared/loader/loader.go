// Package loader reads and validates the settings file.
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

var validation = checker.New(problem.BadSettings, "toml")

// Load reads the daemon settings from a TOML file. All errors are of kind BadSettings.
func Load(path string) (settings.Daemon, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return settings.Daemon{}, problem.New(problem.BadSettings, "%v", err)
	}
	return Parse(text)
}

// Parse reads the daemon settings from TOML text. It sets the defaults, decodes text over
// them and validates the result.
func Parse(text []byte) (settings.Daemon, error) {
	var set settings.Daemon
	if err := defaults.Set(&set); err != nil {
		return set, problem.New(problem.BadSettings, "%v", err)
	}
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(&set); err != nil {
		return set, decodeProblem(err)
	}
	return set, validation.Check(set)
}

// decodeProblem converts a decoding error to a BadSettings error with the position in the
// file and, for an unknown key, the most similar known key.
func decodeProblem(err error) error {
	var strict *toml.StrictMissingError
	if eris.As(err, &strict) {
		key := strict.Errors[0].Key()
		row, _ := strict.Errors[0].Position()
		return problem.New(problem.BadSettings, "line %d: unknown key %s; the nearest known key is %s", row, strings.Join(key, "."), nearestKey(key))
	}
	var decode *toml.DecodeError
	if eris.As(err, &decode) {
		row, column := decode.Position()
		return problem.New(problem.BadSettings, "line %d column %d: %v", row, column, decode)
	}
	return problem.New(problem.BadSettings, "%v", err)
}

// nearestKey returns the known key with the smallest edit distance to key.
func nearestKey(key toml.Key) string {
	wanted := strings.Join(key, ".")
	best, distance := "", len(wanted)+1<<10
	for _, known := range Keys() {
		if di := levenshtein.ComputeDistance(wanted, known); di < distance {
			best, distance = known, di
		}
	}
	return best
}

// Keys returns all keys of the settings file as dotted paths, such as timing.leaseMillis.
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
