// Package parser parses assignments of the form CELL=VALUE to the cells of a row, and formats
// the cells in the same syntax.
package parser

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/agnivade/levenshtein"
	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/shared/gen/types"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

var cells = []cell{
	numberCell("weight", func(ce *types.Cells) *meter.Weight { return &ce.Weight }),
	{
		name: "guarantees",
		set: func(ce *types.Cells, value string) (err error) {
			ce.Guarantees, err = parseGuarantees(value)
			return err
		},
		get: func(ce types.Cells) string { return formatGuarantees(ce.Guarantees) },
	},
	numberCell("limits.accelerators", func(ce *types.Cells) *meter.Accelerators { return &ce.Limits.Accelerators }),
	numberCell("limits.requests", func(ce *types.Cells) *int32 { return &ce.Limits.Requests }),
	numberCell("limits.unconfirmedRequests", func(ce *types.Cells) *int32 { return &ce.Limits.UnconfirmedRequests }),
	numberCell("limits.queuedJobs", func(ce *types.Cells) *int32 { return &ce.Limits.QueuedJobs }),
	{
		name: "urgentAllowed",
		set: func(ce *types.Cells, value string) (err error) {
			ce.UrgentAllowed, err = strconv.ParseBool(value)
			return err
		},
		get: func(ce types.Cells) string { return strconv.FormatBool(ce.UrgentAllowed) },
	},
	{
		name: "tokenDigests",
		set:  func(ce *types.Cells, value string) error { ce.TokenDigests = splitList(value); return nil },
		get:  func(ce types.Cells) string { return strings.Join(ce.TokenDigests, ",") },
	},
	{
		// token replaces all token digests with the digest of one token.
		name: "token",
		set: func(ce *types.Cells, value string) error {
			ce.TokenDigests = []string{identifier.Digest(value)}
			return nil
		},
	},
}

// cell parses and formats one cell.
type cell struct {
	name string
	set  func(ce *types.Cells, value string) error
	// get is nil for a cell that can only be set.
	get func(ce types.Cells) string
}

// numberCell returns the cell of an integer field.
func numberCell[N ~int32](name string, field func(*types.Cells) *N) cell {
	return cell{
		name: name,
		set: func(ce *types.Cells, value string) error {
			parsed, err := strconv.ParseInt(value, 10, 32)
			*field(ce) = N(parsed)
			return err
		},
		get: func(ce types.Cells) string { return strconv.FormatInt(int64(*field(&ce)), 10) },
	}
}

// NewCells returns the cells of a new row.
func NewCells() types.Cells {
	return types.Cells{Weight: 1, Guarantees: []types.Guarantee{}, TokenDigests: []string{}}
}

// Apply applies assignments of the form CELL=VALUE to ce. An error states the invalid assignment
// and, for an unknown cell, the most similar known cell.
func Apply(ce types.Cells, assignments []string) (types.Cells, error) {
	for _, assignment := range assignments {
		name, value, found := strings.Cut(assignment, "=")
		if !found {
			return ce, eris.Errorf("%q is not of the form CELL=VALUE", assignment)
		}
		known, err := findCell(name)
		if err != nil {
			return ce, err
		}
		if err := known.set(&ce, value); err != nil {
			return ce, eris.Wrapf(err, "cell %s: invalid value %q", name, value)
		}
	}
	return ce, nil
}

func findCell(name string) (cell, error) {
	best, distance := "", len(name)+1<<10
	for _, known := range cells {
		if known.name == name {
			return known, nil
		}
		if di := levenshtein.ComputeDistance(name, known.name); di < distance {
			best, distance = known.name, di
		}
	}
	return cell{}, eris.Errorf("unknown cell %q; the nearest known cell is %s", name, best)
}

// Format returns the name and the formatted value of each cell.
func Format(ce types.Cells) [][]string {
	var list [][]string
	for _, known := range cells {
		if known.get != nil {
			list = append(list, []string{known.name, known.get(ce)})
		}
	}
	return list
}

// parseGuarantees parses a comma-separated list of guarantees of the form
// ZONE:COUNTxMEMBERSxACCELERATORS/ADJACENCY, for example kochi:1x4x8/rack.
func parseGuarantees(text string) ([]types.Guarantee, error) {
	list := []types.Guarantee{}
	for _, part := range splitList(text) {
		gu, err := parseGuarantee(part)
		if err != nil {
			return nil, err
		}
		list = append(list, gu)
	}
	return list, nil
}

func parseGuarantee(text string) (types.Guarantee, error) {
	var gu types.Guarantee
	zone, rest, found := strings.Cut(text, ":")
	size, adjacency, slash := strings.Cut(rest, "/")
	numbers := strings.Split(size, "x")
	if !found || !slash || len(numbers) != 3 {
		return gu, eris.Errorf("%q is not of the form ZONE:COUNTxMEMBERSxACCELERATORS/ADJACENCY", text)
	}
	var values [3]int32
	for i, number := range numbers {
		parsed, err := strconv.ParseInt(number, 10, 32)
		if err != nil {
			return gu, eris.Wrapf(err, "invalid number in %q", text)
		}
		values[i] = int32(parsed)
	}
	gu.Zone, gu.Count = identifier.Zone(zone), values[0]
	gu.Shape = types.Shape{Members: meter.Members(values[1]), Accelerators: meter.Accelerators(values[2]), Adjacency: types.Adjacency(adjacency)}
	return gu, nil
}

func formatGuarantees(list []types.Guarantee) string {
	parts := make([]string, 0, len(list))
	for _, gu := range list {
		parts = append(parts, fmt.Sprintf("%s:%dx%dx%d/%s", gu.Zone, gu.Count, gu.Shape.Members, gu.Shape.Accelerators, gu.Shape.Adjacency))
	}
	return strings.Join(parts, ",")
}

func splitList(text string) []string {
	if text == "" {
		return []string{}
	}
	return strings.Split(text, ",")
}
