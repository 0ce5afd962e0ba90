package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the platform's store, from DEPLOY.md and PROTOCOL.md.
const (
	rowBytes      = 65536
	maxEntries    = 100
	maxCallBytes  = 1 << 20
	maxPageRows   = 500
	maxPageBytes  = 1 << 20
	txSpacing     = 5 * time.Millisecond // partitionWritesS = 200, one after another
	txLatency     = 6 * time.Millisecond
	readLatency   = 4 * time.Millisecond
	maxFeedWaitMs = 30000
)

type rowKey struct{ table, key string }

type row struct {
	value   []byte
	version int64
}

type wireRow struct {
	Table      string `json:"table"`
	Part       string `json:"part"`
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	RowVersion int64  `json:"rowVersion"`
	Deleted    bool   `json:"deleted,omitempty"`
}

type wireTx struct {
	ExpectedRev []wireRow `json:"expectedRev"`
	Puts        []wireRow `json:"puts"`
	Remove      []wireRow `json:"remove"`
}

// store is the platform's store: tables of rows, conditional transactions, a feed.
type store struct {
	rec     *recorder
	started time.Time
	lane    sync.Mutex // one transaction after another

	mu        sync.Mutex
	rows      map[rowKey]row
	changes   []wireRow
	version   int64
	compacted int64
	changed   chan struct{}
	down      bool // every call of the system is answered with 503
	tooLarge  int  // transactions refused because of rowBytes
}

func newStore(rec *recorder) *store {
	return &store{rec: rec, started: time.Now(), rows: map[rowKey]row{}, changed: make(chan struct{})}
}

func (st *store) setDown(down bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.down = down
	close(st.changed) // calls that wait are answered at once
	st.changed = make(chan struct{})
}

func (st *store) isDown() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.down
}

// forget discards the history of changes.
func (st *store) forget() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.changes, st.compacted = nil, st.version
	close(st.changed)
	st.changed = make(chan struct{})
}

// put writes a row for the operator or a runner. It reports false while the store is down.
func (st *store) put(table, key string, value any) bool {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.down {
		return false
	}
	st.apply(wireTx{Puts: []wireRow{{Table: table, Key: key, Value: text}}})
	return true
}

func (st *store) remove(table, key string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.apply(wireTx{Remove: []wireRow{{Table: table, Key: key}}})
}

func (st *store) get(table, key string) []byte {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.rows[rowKey{table, key}].value
}

func (st *store) apply(tx wireTx) {
	st.version++
	for _, pu := range tx.Puts {
		st.rows[rowKey{pu.Table, pu.Key}] = row{pu.Value, st.version}
		st.changes = append(st.changes, wireRow{Table: pu.Table, Key: pu.Key, Value: pu.Value, RowVersion: st.version})
	}
	for _, re := range tx.Remove {
		if _, ok := st.rows[rowKey{re.Table, re.Key}]; ok {
			delete(st.rows, rowKey{re.Table, re.Key})
			st.changes = append(st.changes, wireRow{Table: re.Table, Key: re.Key, RowVersion: st.version, Deleted: true})
		}
	}
	close(st.changed)
	st.changed = make(chan struct{})
}

func (st *store) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	if st.isDown() {
		_, _ = io.Copy(io.Discard, rq.Body)
		answer(wr, 503, map[string]any{})
		return
	}
	switch rq.Method + " " + rq.URL.Path {
	case "POST /v1/rows-tx":
		st.serveTx(wr, rq)
	case "GET /v1/rows-get":
		st.serveGet(wr, rq)
	case "GET /v1/rows-feed":
		st.serveFeed(wr, rq)
	default:
		answer(wr, 404, map[string]any{})
	}
}

func (st *store) serveTx(wr http.ResponseWriter, rq *http.Request) {
	text, err := io.ReadAll(io.LimitReader(rq.Body, maxCallBytes+1))
	var tx wireTx
	if err != nil || len(text) > maxCallBytes || json.Unmarshal(text, &tx) != nil ||
		len(tx.ExpectedRev)+len(tx.Puts)+len(tx.Remove) > maxEntries {
		st.rec.add("store refuses a transaction of %d bytes with 400: too large or not readable", len(text))
		answer(wr, 400, map[string]any{})
		return
	}
	for _, pu := range tx.Puts {
		if pu.Table == "op" || pu.Table == "servers" {
			answer(wr, 403, map[string]any{})
			return
		}
		if len(pu.Value) > rowBytes {
			st.mu.Lock()
			st.tooLarge++
			count := st.tooLarge
			st.mu.Unlock()
			if count <= 20 || count%100 == 0 {
				st.rec.add("store refuses a transaction with 400: the value of row %s/%s has %d bytes, rowBytes is %d (refusal %d)", pu.Table, pu.Key, len(pu.Value), rowBytes, count)
			}
			answer(wr, 400, map[string]any{})
			return
		}
	}
	began := time.Now()
	st.lane.Lock()
	time.Sleep(txSpacing)
	st.mu.Lock()
	if st.down {
		st.mu.Unlock()
		st.lane.Unlock()
		answer(wr, 503, map[string]any{})
		return
	}
	ok := true
	found := []wireRow{}
	for _, ex := range tx.ExpectedRev {
		ro, exists := st.rows[rowKey{ex.Table, ex.Key}]
		ok = ok && ro.version == ex.RowVersion
		if exists {
			found = append(found, wireRow{Table: ex.Table, Key: ex.Key, Value: ro.value, RowVersion: ro.version})
		}
	}
	if ok {
		st.apply(tx)
	}
	version := st.version
	st.mu.Unlock()
	st.lane.Unlock()
	time.Sleep(txLatency - min(time.Since(began), txLatency))
	if !ok {
		answer(wr, 412, map[string]any{"rows": found, "rowVersion": version, "nowMs": st.nowMs()})
		return
	}
	answer(wr, 200, map[string]any{"rowVersion": version, "nowMs": st.nowMs()})
}

func (st *store) nowMs() int64 { return time.Since(st.started).Milliseconds() }

func (st *store) serveGet(wr http.ResponseWriter, rq *http.Request) {
	time.Sleep(readLatency)
	qu := rq.URL.Query()
	limit, err := strconv.Atoi(qu.Get("limit"))
	if err != nil || limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	st.mu.Lock()
	all := []wireRow{}
	for key, ro := range st.rows {
		if key.table == qu.Get("table") && key.key >= qu.Get("startKey") && (qu.Get("target") == "" || key.key < qu.Get("target")) {
			all = append(all, wireRow{Table: key.table, Key: key.key, Value: ro.value, RowVersion: ro.version})
		}
	}
	version := st.version
	st.mu.Unlock()
	sort.Slice(all, func(i, j int) bool { return all[i].Key < all[j].Key })
	out, size := []wireRow{}, 0
	for _, ro := range all {
		if len(out) == limit || len(out) > 0 && size+len(ro.Value)*4/3 > maxPageBytes {
			break
		}
		size += len(ro.Value) * 4 / 3
		out = append(out, ro)
	}
	answer(wr, 200, map[string]any{"rows": out, "hasMore": len(out) < len(all), "rowVersion": version, "nowMs": st.nowMs()})
}

func (st *store) serveFeed(wr http.ResponseWriter, rq *http.Request) {
	time.Sleep(readLatency)
	qu := rq.URL.Query()
	after, err1 := strconv.ParseInt(qu.Get("dependsOn"), 10, 64)
	wait, err2 := strconv.Atoi(qu.Get("waitMs"))
	if err1 != nil || err2 != nil {
		answer(wr, 400, map[string]any{})
		return
	}
	end := time.After(time.Duration(min(wait, maxFeedWaitMs)) * time.Millisecond)
	for {
		st.mu.Lock()
		down, gone, changed, version := st.down, after < st.compacted, st.changed, st.version
		out := []wireRow{}
		for _, ro := range st.changes {
			if ro.Table == qu.Get("table") && ro.RowVersion > after {
				out = append(out, ro)
			}
		}
		st.mu.Unlock()
		switch {
		case down:
			answer(wr, 503, map[string]any{})
			return
		case gone:
			answer(wr, 410, map[string]any{})
			return
		case len(out) > 0:
			answer(wr, 200, map[string]any{"rows": out, "rowVersion": version, "nowMs": st.nowMs()})
			return
		}
		select {
		case <-changed:
		case <-end:
			answer(wr, 200, map[string]any{"rows": out, "rowVersion": version, "nowMs": st.nowMs()})
			return
		case <-rq.Context().Done():
			return
		}
	}
}

func answer(wr http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		panic(fmt.Sprint(err))
	}
	wr.Header().Set("Content-Type", "application/json")
	wr.Header().Set("Content-Length", strconv.Itoa(len(text)))
	wr.WriteHeader(status)
	_, _ = wr.Write(text)
}
