// Package journalreader reads the journal that the users' benchmark keeps of its runs.
package journalreader

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// wasteLabel is the prefix of the name of the price row for lost work.
const wasteLabel = "core-seconds of work thrown away"

type (
	// Entry is one journal entry, which describes one invocation of the benchmark.
	Entry struct {
		// Command is the subcommand: score, run, hunt, incident or replay.
		Command string
		Reason  string
		Site    string
		// Commit is the commit that was checked out. Dirty means that the working tree had
		// uncommitted changes.
		Commit string
		Dirty  bool
		// Score is the score of the site, or 0 for subcommands that compute none.
		Score float64
		Days  []Day
		// name is the name of the entry's file, which begins with the time.
		name string
	}

	// Day is the result of one day of the run.
	Day struct {
		Name string
		Slot string
		// Worth and Served are fractions of the credit that could be earned.
		Worth, Served float64
		// WastePenalty is the penalty for work that was stopped and lost.
		WastePenalty float64
		// Violations maps the names of the broken rules to their numbers of violations.
		Violations map[string]int
	}

	// record holds the fields of an entry's JSON that this package reads.
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

// Read returns the entries of a folder in chronological order. If an entry cannot be read
// or parsed, it returns an error that names the file.
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
			return nil, eris.Wrapf(err, "%s is not a valid journal entry; correct or remove it", path)
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
	en := Entry{Command: re.Command, Reason: re.Why, Site: re.Site, Commit: re.Head, Dirty: re.Dirty}
	if len(re.Score) > 0 && string(re.Score) != "null" {
		if err := json.Unmarshal(re.Score, &en.Score); err != nil {
			return Entry{}, err
		}
	}
	for _, da := range re.Days {
		day := Day{Name: da.Name, Slot: da.Slot, Worth: da.Worth, Served: da.Served, Violations: da.Rules}
		for _, price := range da.Prices {
			day.WastePenalty += wastePrice(price)
		}
		en.Days = append(en.Days, day)
	}
	return en, nil
}

// wastePrice returns the price in a row of the form [name, amount, price] if the row is the
// one for lost work. For any other row, of this form or not, it returns 0.
func wastePrice(row json.RawMessage) float64 {
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

// At returns the time of the entry in the format of the file names: YYYYMMDDThhmmss.
func (en Entry) At() string {
	at, _, _ := strings.Cut(en.name, "-")
	return at
}

// DaysWithViolations returns the number of days on which a rule was broken.
func (en Entry) DaysWithViolations() int {
	count := 0
	for _, da := range en.Days {
		if len(da.Violations) > 0 {
			count++
		}
	}
	return count
}
