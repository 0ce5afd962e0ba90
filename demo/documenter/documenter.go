// Package documenter generates pages for operators: the settings from their schema, and the
// errors from the code.
package documenter

import (
	"fmt"
	"os"
	"strings"

	"github.com/rotisserie/eris"
	"gopkg.in/yaml.v3"

	"github.com/wagtailcroft/wagtailcroft/shared/problem"
)

const localRef = "#/components/schemas/"

type (
	// schema holds the parts of a schema that the page needs.
	schema struct {
		Description string    `yaml:"description"`
		Properties  yaml.Node `yaml:"properties"`
	}

	// property is a property of a schema, which describes one settings key.
	property struct {
		Ref         string `yaml:"$ref"`
		Description string `yaml:"description"`
		Tags        struct {
			Toml     string `yaml:"toml"`
			Default  string `yaml:"default"`
			Validate string `yaml:"validate"`
		} `yaml:"x-oapi-codegen-extra-tags"`
	}

	document struct {
		Components struct {
			Schemas map[string]schema `yaml:"schemas"`
		} `yaml:"components"`
	}
)

// Settings returns the page of all settings, generated from the schema file.
func Settings(path string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", eris.Wrap(err, "read the schema")
	}
	var doc document
	if err := yaml.Unmarshal(text, &doc); err != nil {
		return "", eris.Wrap(err, "decode the schema")
	}
	var out strings.Builder
	out.WriteString("# Settings of wagtailcroftd\n\nGenerated from `schema/settings.yaml` by `make generate`. A key without a default must be set.\nDurations are in milliseconds and sizes in bytes, as the names of the keys say.\n\n| key | default | must satisfy | meaning |\n| --- | --- | --- | --- |\n")
	err = doc.writeRows(&out, "Daemon", "")
	return out.String(), err
}

// writeRows writes a table row for each property of a schema, and of the schemas that it
// refers to.
func (doc document) writeRows(out *strings.Builder, name, prefix string) error {
	content := doc.Components.Schemas[name].Properties.Content
	for i := 0; i+1 < len(content); i += 2 {
		var pr property
		if err := content[i+1].Decode(&pr); err != nil {
			return eris.Wrapf(err, "decode %s.%s", name, content[i].Value)
		}
		key := prefix + pr.Tags.Toml
		if inner, nested := strings.CutPrefix(pr.Ref, localRef); nested {
			if err := doc.writeRows(out, inner, key+"."); err != nil {
				return err
			}
			continue
		}
		fmt.Fprintf(out, "| `%s` | %s | %s | %s |\n", key, pr.Tags.Default, strings.ReplaceAll(pr.Tags.Validate, ",", ", "), pr.Description)
	}
	return nil
}

// Errors returns the page of all kinds of error.
func Errors() string {
	var out strings.Builder
	out.WriteString("# Errors\n\nGenerated from the code by `make generate`. Every error is a problem document (RFC 9457) of one\nof these kinds. The outcome says what is known about the request or job. If it is empty here,\nthe error does not concern a request or job, or gives the outcome in its own field `outcome`.\n\n| kind | meaning | outcome | what to do |\n| --- | --- | --- | --- |\n")
	outcomes := map[problem.Outcome]string{problem.NotRun: "notRun", problem.Failed: "failed", problem.Unknown: "unknown"}
	for _, ki := range problem.Kinds() {
		fmt.Fprintf(&out, "| `%s` | %s | %s | %s |\n", ki, ki.Title(), outcomes[problem.New(ki, "").Outcome], ki.Remedy())
	}
	return out.String()
}
