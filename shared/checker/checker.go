// Package checker validates messages, rows and settings against the rules that the schema
// generates as struct tags.
package checker

import (
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/shared/problem"
)

// Checker validates structs. It is safe for concurrent use.
type Checker struct {
	validate *validator.Validate
	kind     problem.Kind
}

// New returns a checker whose errors have the given kind. They name fields by the given
// struct tag, such as json or toml.
func New(kind problem.Kind, tag string) *Checker {
	validate := validator.New(validator.WithRequiredStructEnabled())
	validate.RegisterTagNameFunc(func(fd reflect.StructField) string {
		name, _, _ := strings.Cut(fd.Tag.Get(tag), ",")
		return name
	})
	return &Checker{validate: validate, kind: kind}
}

// Check validates value and returns an error for the first invalid field.
func (ch *Checker) Check(value any) error {
	err := ch.validate.Struct(value)
	var fields validator.ValidationErrors
	if !eris.As(err, &fields) {
		return err
	}
	_, name, _ := strings.Cut(fields[0].Namespace(), ".")
	return problem.New(ch.kind, "%s is %v; it must satisfy %s=%s", name, fields[0].Value(), fields[0].Tag(), fields[0].Param())
}
