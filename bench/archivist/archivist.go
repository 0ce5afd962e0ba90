// Package archivist reads the journal of plays on the users' bench.
package archivist

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

type (
	// Entry is one entry of the journal: one call of the bench.
	Entry struct {
		// Command is the verb: score, run, hunt, incident or replay.
		Command string
		Why     string
		Site    string
		// Commit is what was checked out; Dirty means that files were changed beside it.
		Commit string
		Dirty  bool
		// Score is that of the site, 0 where the verb gives none.
		Score float64
		Days  []Day
		// name is that of the file, which begins with the time.
		name string
	}

	// Day is one day that was played.
	Day struct {
		Name string
		Slot string
		// Worth and Served are shares of what was owed.
		Worth, Served float64
		// Waste is the price of work that was thrown away.
		Waste float64
		// Broken counts the broken rules by name.
		Broken map[string]int
	}

	// record is an entry as the bench writes it; only what is read here.
	record struct {
		Command string          `json:"cmd"`
		Why     string          `json:"why"`
		Site    string          `json:"site"`
		Head    string          `json:"head"`
		Dirty   bool            `json:"dirty"`
		Score   json.RawMessage `json:"score"`
		Days    []struct {
			Name   string            `json:"name"`
			Slot   string            `json:"slot"`
			Worth  float64           `json:"G"`
			Served float64           `json:"served"`
			Rules  map[string]int    `json:"rules"`
			Prices []json.RawMessage `json:"prices"`
		} `json:"days"`
	}
)

// wasteLabel begins the name of the price of work that was thrown away.
const wasteLabel = "core-seconds of work thrown away"

// Read reads the entries of a folder in order of time. An entry that cannot be read is an
// error that names its file.
func Read(folder string) ([]Entry, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil {
		return nil, eris.Wrapf(err, "list %s", folder)
	}
	slices.Sort(paths)
	entries := make([]Entry, 0, len(paths))
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, eris.Wrapf(err, "read %s", path)
		}
		en, err := parse(text)
		if err != nil {
			return nil, eris.Wrapf(err, "%s is no entry of a journal; remove it or correct it", path)
		}
		en.name = filepath.Base(path)
		entries = append(entries, en)
	}
	return entries, nil
}

func parse(text []byte) (Entry, error) {
	var re record
	if err := json.Unmarshal(text, &re); err != nil {
		return Entry{}, err
	}
	en := Entry{Command: re.Command, Why: re.Why, Site: re.Site, Commit: re.Head, Dirty: re.Dirty}
	if len(re.Score) > 0 && string(re.Score) != "null" {
		if err := json.Unmarshal(re.Score, &en.Score); err != nil {
			return Entry{}, err
		}
	}
	for _, da := range re.Days {
		day := Day{Name: da.Name, Slot: da.Slot, Worth: da.Worth, Served: da.Served, Broken: da.Rules}
		for _, price := range da.Prices {
			day.Waste += wasteOf(price)
		}
		en.Days = append(en.Days, day)
	}
	return en, nil
}

// wasteOf is the price of a row [name, amount, price], if it is that of waste. Rows of other
// forms are other prices.
func wasteOf(row json.RawMessage) float64 {
	var cells []any
	if json.Unmarshal(row, &cells) != nil || len(cells) < 3 {
		return 0
	}
	name, _ := cells[0].(string)
	price, _ := cells[2].(float64)
	if !strings.HasPrefix(name, wasteLabel) {
		return 0
	}
	return price
}

// At is when the entry was made, as the journal writes it: year, month, day, T, time.
func (en Entry) At() string {
	at, _, _ := strings.Cut(en.name, "-")
	return at
}

// Broken counts the days of the entry with a broken rule.
func (en Entry) Broken() int {
	count := 0
	for _, da := range en.Days {
		if len(da.Broken) > 0 {
			count++
		}
	}
	return count
}
