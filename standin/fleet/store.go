// Package fleet is a stand-in for the users' platform: its table store, its runners and
// its operator, as their published protocol describes them, with faults on command. It
// keeps time by the Go runtime, so that testing/synctest can replace it.
package fleet

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/wagtailcroft/wagtailcroft/platform/wire"
)

const (
	// txnTime is how long a transaction takes, and readTime a reading.
	txnTime  = 6 * time.Millisecond
	readTime = 4 * time.Millisecond
	// pageRows is the most rows of an answer.
	pageRows = 500
	// mostTxnEntries is the most entries of a transaction.
	mostTxnEntries = 100
)

type (
	rowKey struct{ table, key string }

	row struct {
		value   []byte
		version int64
	}

	// Store is the table store. Parts are not modelled: all rows share the empty one.
	Store struct {
		mu   sync.Mutex
		rows map[rowKey]row
		// changes holds what was written, in order, from the version after compacted on.
		changes   []wire.Row
		version   int64
		compacted int64
		// changed is closed and replaced with each change.
		changed chan struct{}
		// slow multiplies the time of each call; 0 counts as 1. Cluster.SlowStore sets it.
		slow int
		// Writes counts the transactions that were applied.
		Writes int
		// Reads counts the readings that were answered.
		Reads int
	}
)

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{rows: map[rowKey]row{}, changed: make(chan struct{})}
}

// ServeHTTP answers as the platform does.
func (st *Store) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	switch rq.Method + " " + rq.URL.Path {
	case "POST /v1/rows-tx":
		st.transact(wr, rq)
	case "GET /v1/rows-get":
		st.get(wr, rq)
	case "GET /v1/rows-feed":
		st.feed(wr, rq)
	default:
		http.Error(wr, "no such call", http.StatusNotFound)
	}
}

// Compact drops the history.
func (st *Store) Compact() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.changes, st.compacted = nil, st.version
	close(st.changed)
	st.changed = make(chan struct{})
}

// Put writes a row as the operator or a runner does.
func (st *Store) Put(table, key string, value any) int64 {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.apply(wire.Transaction{Puts: []wire.RowPut{{Table: table, Key: key, Value: text}}})
	return st.version
}

// Remove drops a row.
func (st *Store) Remove(table, key string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.apply(wire.Transaction{Remove: []wire.RowKey{{Table: table, Key: key}}})
}

// Keys lists the keys of a table.
func (st *Store) Keys(table string) []string {
	st.mu.Lock()
	defer st.mu.Unlock()
	var keys []string
	for key := range st.rows {
		if key.table == table {
			keys = append(keys, key.key)
		}
	}
	slices.Sort(keys)
	return keys
}

func (st *Store) wait(d time.Duration, rq *http.Request) bool {
	st.mu.Lock()
	x := max(st.slow, 1)
	st.mu.Unlock()
	return pause(rq, d*time.Duration(x))
}

// pause reports whether the caller was still there after d.
func pause(rq *http.Request, d time.Duration) bool {
	select {
	case <-rq.Context().Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (st *Store) transact(wr http.ResponseWriter, rq *http.Request) {
	var tx wire.Transaction
	if err := json.NewDecoder(rq.Body).Decode(&tx); err != nil {
		http.Error(wr, err.Error(), http.StatusBadRequest)
		return
	}
	if len(tx.ExpectedRev)+len(tx.Puts)+len(tx.Remove) > mostTxnEntries {
		http.Error(wr, "too many entries", http.StatusRequestEntityTooLarge)
		return
	}
	st.wait(txnTime, rq) // an order that was sent is carried out, also for a caller who has left
	st.mu.Lock()
	defer st.mu.Unlock()
	if rows, ok := st.holds(tx); !ok {
		reply(wr, http.StatusPreconditionFailed, wire.RowsReply{Rows: rows, RowVersion: st.version})
		return
	}
	st.apply(tx)
	reply(wr, http.StatusOK, wire.RowsReply{RowVersion: st.version})
}

// holds reports whether the conditions hold, with the rows as they are where they do not.
func (st *Store) holds(tx wire.Transaction) ([]wire.Row, bool) {
	var rows []wire.Row
	ok := true
	for _, ex := range tx.ExpectedRev {
		ro, there := st.rows[rowKey{ex.Table, ex.Key}]
		if ro.version != ex.RowVersion {
			ok = false
		}
		if there {
			rows = append(rows, wire.Row{Table: ex.Table, Key: ex.Key, Value: ro.value, RowVersion: ro.version})
		}
	}
	return rows, ok
}

func (st *Store) apply(tx wire.Transaction) {
	st.version++
	st.Writes++
	for _, pu := range tx.Puts {
		st.rows[rowKey{pu.Table, pu.Key}] = row{value: pu.Value, version: st.version}
		st.changes = append(st.changes, wire.Row{Table: pu.Table, Key: pu.Key, Value: pu.Value, RowVersion: st.version})
	}
	for _, key := range tx.Remove {
		delete(st.rows, rowKey{key.Table, key.Key})
		st.changes = append(st.changes, wire.Row{Table: key.Table, Key: key.Key, RowVersion: st.version, Deleted: true})
	}
	close(st.changed)
	st.changed = make(chan struct{})
}

func (st *Store) get(wr http.ResponseWriter, rq *http.Request) {
	if !st.wait(readTime, rq) {
		return
	}
	query := rq.URL.Query()
	table, from, to := query.Get("table"), query.Get("startKey"), query.Get("target")
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit <= 0 || limit > pageRows {
		limit = pageRows
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.Reads++
	out := wire.RowsReply{RowVersion: st.version}
	for key, ro := range st.rows {
		if key.table == table && key.key >= from && (to == "" || key.key < to) {
			out.Rows = append(out.Rows, wire.Row{Table: table, Key: key.key, Value: ro.value, RowVersion: ro.version})
		}
	}
	slices.SortFunc(out.Rows, func(a, b wire.Row) int { return strings.Compare(a.Key, b.Key) })
	if len(out.Rows) > limit {
		out.Rows, out.HasMore = out.Rows[:limit], true
	}
	reply(wr, http.StatusOK, out)
}

func (st *Store) feed(wr http.ResponseWriter, rq *http.Request) {
	if !st.wait(readTime, rq) {
		return
	}
	query := rq.URL.Query()
	after, err1 := strconv.ParseInt(query.Get("dependsOn"), 10, 64)
	most, err2 := strconv.Atoi(query.Get("waitMs"))
	if err1 != nil || err2 != nil {
		http.Error(wr, "dependsOn and waitMs are whole numbers", http.StatusBadRequest)
		return
	}
	end := time.After(time.Duration(most) * time.Millisecond)
	for {
		st.mu.Lock()
		st.Reads++
		out, gone, changed := st.since(query.Get("table"), after), after < st.compacted, st.changed
		st.mu.Unlock()
		if gone {
			http.Error(wr, "the history is gone", http.StatusGone)
			return
		}
		if len(out.Rows) > 0 {
			reply(wr, http.StatusOK, out)
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(wr, http.StatusOK, out)
			return
		case <-rq.Context().Done():
			return
		}
	}
}

func (st *Store) since(table string, after int64) wire.RowsReply {
	out := wire.RowsReply{RowVersion: st.version}
	for _, ro := range st.changes {
		if ro.Table == table && ro.RowVersion > after {
			out.Rows = append(out.Rows, ro)
		}
	}
	return out
}

func reply(wr http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(status)
	_, _ = wr.Write(text) // a caller that has left needs no answer
}

// Value returns the value of a row, or nil.
func (st *Store) Value(table, key string) []byte {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.rows[rowKey{table, key}].value
}
