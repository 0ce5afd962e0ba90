// Package fleet simulates the users' platform for tests: its table store, its runners and
// its operator, as specified by their published protocol, with fault injection. It uses the
// clock and timers of the Go runtime, so that testing/synctest can replace them.
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
	// writeLatency is the duration of a transaction, and readLatency that of a read.
	writeLatency = 6 * time.Millisecond
	readLatency  = 4 * time.Millisecond
	// maxRowsPerReply is the maximum number of rows in a reply.
	maxRowsPerReply = 500
	// maxKeyBytes is the length of the longest key.
	maxKeyBytes = 200
	// maxRowBytes is the largest value of a row.
	maxRowBytes = 65_536
	// maxTransactionEntries is the maximum number of entries in a transaction.
	maxTransactionEntries = 100
)

type (
	rowKey struct{ table, key string }

	row struct {
		value   []byte
		version int64
	}

	// Store is the simulated table store. It does not model parts: all rows are in the
	// unnamed part.
	Store struct {
		mu   sync.Mutex
		rows map[rowKey]row
		// changes lists the changes after the version compacted, in order.
		changes   []wire.Row
		version   int64
		compacted int64
		// changed is closed and replaced at each change.
		changed chan struct{}
		// latencyFactor multiplies the duration of each call; 0 means 1. Cluster.SlowStore
		// sets it.
		latencyFactor int
		// WriteCount is the number of applied transactions, including direct writes by Put and
		// Remove.
		WriteCount int
		// ReadCount is the number of served reads. A feed call counts once for each time that it
		// looks for changes.
		ReadCount int
	}
)

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{rows: map[rowKey]row{}, changed: make(chan struct{})}
}

// ServeHTTP serves the protocol of the table service.
func (st *Store) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	switch rq.Method + " " + rq.URL.Path {
	case "POST /v1/rows-tx":
		st.transact(wr, rq)
	case "GET /v1/rows-get":
		st.get(wr, rq)
	case "GET /v1/rows-feed":
		st.feed(wr, rq)
	default:
		http.Error(wr, "unknown method or path", http.StatusNotFound)
	}
}

// Compact discards the change history.
func (st *Store) Compact() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.changes, st.compacted = nil, st.version
	close(st.changed)
	st.changed = make(chan struct{})
}

// Put writes a row on behalf of the operator or a runner, and returns its version.
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

// Remove removes a row.
func (st *Store) Remove(table, key string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.apply(wire.Transaction{Remove: []wire.RowKey{{Table: table, Key: key}}})
}

// Keys returns the keys of a table in sorted order.
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

// delay waits for the duration of a call, which latencyFactor multiplies. It reports false if
// the caller disconnects earlier.
func (st *Store) delay(d time.Duration, rq *http.Request) bool {
	st.mu.Lock()
	factor := max(st.latencyFactor, 1)
	st.mu.Unlock()
	return pause(rq, d*time.Duration(factor))
}

// pause waits for d. It reports false if the caller disconnects earlier.
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
	if len(tx.ExpectedRev)+len(tx.Puts)+len(tx.Remove) > maxTransactionEntries {
		http.Error(wr, "the transaction has too many entries", http.StatusRequestEntityTooLarge)
		return
	}
	if slices.ContainsFunc(tx.Puts, func(pu wire.RowPut) bool { return len(pu.Value) > maxRowBytes }) {
		http.Error(wr, "a value is too large", http.StatusBadRequest)
		return
	}
	st.delay(writeLatency, rq) // the transaction is applied even if the caller has disconnected
	st.mu.Lock()
	defer st.mu.Unlock()
	if rows, ok := st.checkConditions(tx); !ok {
		reply(wr, http.StatusPreconditionFailed, wire.RowsReply{Rows: rows, RowVersion: st.version})
		return
	}
	st.apply(tx)
	reply(wr, http.StatusOK, wire.RowsReply{RowVersion: st.version})
}

// checkConditions reports whether the conditions of a transaction hold. It also returns the
// current rows that the conditions refer to, without those that are absent.
func (st *Store) checkConditions(tx wire.Transaction) ([]wire.Row, bool) {
	var rows []wire.Row
	ok := true
	for _, ex := range tx.ExpectedRev {
		ro, found := st.rows[rowKey{ex.Table, ex.Key}]
		if ro.version != ex.RowVersion {
			ok = false
		}
		if found {
			rows = append(rows, wire.Row{Table: ex.Table, Key: ex.Key, Value: ro.value, RowVersion: ro.version})
		}
	}
	return rows, ok
}

func (st *Store) apply(tx wire.Transaction) {
	st.version++
	st.WriteCount++
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
	if !st.delay(readLatency, rq) {
		return
	}
	query := rq.URL.Query()
	table, from, to := query.Get("table"), query.Get("startKey"), query.Get("target")
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit <= 0 || limit > maxRowsPerReply {
		limit = maxRowsPerReply
	}
	if len(from) > maxKeyBytes {
		http.Error(wr, "the key is too long", http.StatusBadRequest)
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.ReadCount++
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
	if !st.delay(readLatency, rq) {
		return
	}
	query := rq.URL.Query()
	after, err1 := strconv.ParseInt(query.Get("dependsOn"), 10, 64)
	waitMillis, err2 := strconv.Atoi(query.Get("waitMs"))
	if err1 != nil || err2 != nil {
		http.Error(wr, "dependsOn and waitMs must be integers", http.StatusBadRequest)
		return
	}
	end := time.After(time.Duration(waitMillis) * time.Millisecond)
	for {
		st.mu.Lock()
		st.ReadCount++
		out, gone, changed := st.since(query.Get("table"), after), after < st.compacted, st.changed
		st.mu.Unlock()
		if gone {
			http.Error(wr, "the changes after this version have been compacted", http.StatusGone)
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
	_, _ = wr.Write(text) // an error means that the caller has disconnected
}

// Get returns the value of a row, or nil if the row is absent.
func (st *Store) Get(table, key string) []byte {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.rows[rowKey{table, key}].value
}
