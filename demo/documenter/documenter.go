// Package documenter writes the operators' pages that follow from the code: the settings
// from their schema, the errors from their kinds.
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
	// schema is what the page needs of one schema.
	schema struct {
		Description string    `yaml:"description"`
		Properties  yaml.Node `yaml:"properties"`
	}

	// property is one key of the settings.
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

// Settings writes the page of all settings from the schema file.
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
	out.WriteString("# Settings of wagtailcroftd\n\nWritten from `schema/settings.yaml` by `make generate`. A key without a default must be set.\nDurations are in milliseconds, sizes in bytes, as the key's name says.\n\n| key | default | must satisfy | meaning |\n| --- | --- | --- | --- |\n")
	err = doc.rows(&out, "Daemon", "")
	return out.String(), err
}

func (doc document) rows(out *strings.Builder, name, prefix string) error {
	content := doc.Components.Schemas[name].Properties.Content
	for i := 0; i+1 < len(content); i += 2 {
		var pr property
		if err := content[i+1].Decode(&pr); err != nil {
			return eris.Wrapf(err, "decode %s.%s", name, content[i].Value)
		}
		key := prefix + pr.Tags.Toml
		if inner, nested := strings.CutPrefix(pr.Ref, localRef); nested {
			if err := doc.rows(out, inner, key+"."); err != nil {
				return err
			}
			continue
		}
		fmt.Fprintf(out, "| `%s` | %s | %s | %s |\n", key, pr.Tags.Default, strings.ReplaceAll(pr.Tags.Validate, ",", ", "), pr.Description)
	}
	return nil
}

// Errors writes the page of all kinds of error.
func Errors() string {
	var out strings.Builder
	out.WriteString("# Errors\n\nWritten from the code by `make generate`. Every error is a problem document (RFC 9457) with one of\nthese kinds. The outcome says what is certain about the work; where it is empty, the error\nsays nothing about any work, or says it in its own field `outcome`.\n\n| kind | meaning | outcome | what to do |\n| --- | --- | --- | --- |\n")
	outcomes := map[problem.Outcome]string{problem.NotRun: "notRun", problem.Failed: "failed", problem.Unknown: "unknown"}
	for _, ki := range problem.Kinds() {
		fmt.Fprintf(&out, "| `%s` | %s | %s | %s |\n", ki, ki.Title(), outcomes[problem.New(ki, "").Outcome], ki.Remedy())
	}
	return out.String()
}
