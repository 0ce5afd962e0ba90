package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

type (
	rowKey struct{ table, part, key string }

	storedRow struct {
		value   string // base64, as it was sent
		version int64
		deleted bool
	}

	// store is the platform's metadata store in the form of a table. Nothing expires but the entries of
	// runners, after three heartbeat intervals of silence.
	store struct {
		mu      sync.Mutex
		changed *sync.Cond
		version int64
		rows    map[rowKey]storedRow
		// beats holds the time of the last heartbeat of each runner.
		beats map[string]time.Time
		began time.Time
		// gangs holds the members that are present, by stage and run.
		gangs map[string]map[string]bool
	}

	wireRow struct {
		Table   string `json:"table"`
		Part    string `json:"part"`
		Key     string `json:"key"`
		Value   string `json:"value,omitempty"`
		Version int64  `json:"rowVersion"`
		Deleted bool   `json:"deleted,omitempty"`
	}
)

func newStore() *store {
	st := &store{rows: map[rowKey]storedRow{}, beats: map[string]time.Time{}, gangs: map[string]map[string]bool{}, began: time.Now()}
	st.changed = sync.NewCond(&st.mu)
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			st.mu.Lock()
			for id, at := range st.beats {
				if time.Since(at) > 3*heartbeat {
					delete(st.beats, id)
					st.version++
					st.rows[rowKey{"servers", "", id}] = storedRow{version: st.version, deleted: true}
				}
			}
			st.changed.Broadcast() // also ends the waits of feeds
			st.mu.Unlock()
		}
	}()
	return st
}

// put writes a row for the operator or a runner.
func (st *store) put(table, key string, value []byte) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.version++
	st.rows[rowKey{table, "", key}] = storedRow{value: encode64(value), version: st.version}
	if table == "servers" {
		st.beats[key] = time.Now()
	}
	st.changed.Broadcast()
}

func (st *store) reply(wr http.ResponseWriter, status int, body map[string]any) {
	body["nowMs"] = time.Since(st.began).Milliseconds()
	writeJSON(wr, status, body)
}

func (st *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", st.transact)
	mux.HandleFunc("GET /v1/rows-get", st.get)
	mux.HandleFunc("GET /v1/rows-feed", st.feed)
	mux.HandleFunc("PUT /stand-in/servers/{id}", func(wr http.ResponseWriter, rq *http.Request) {
		st.put("servers", rq.PathValue("id"), readAll(rq))
	})
	mux.HandleFunc("POST /stand-in/gang/{stage}/{run}/{member}/{members}", st.gang)
	return mux
}

// gang answers the members of a gang when all are present, or with 409 when some have not come in time. Runners of
// one rack tell each other; here they do so through this process.
func (st *store) gang(wr http.ResponseWriter, rq *http.Request) {
	members, _ := strconv.Atoi(rq.PathValue("members"))
	key := rq.PathValue("stage") + "/" + rq.PathValue("run")
	until := time.Now().Add(gangTimeout)
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.gangs[key] == nil {
		st.gangs[key] = map[string]bool{}
	}
	st.gangs[key][rq.PathValue("member")] = true
	st.changed.Broadcast()
	for len(st.gangs[key]) < members && time.Now().Before(until) {
		st.changed.Wait()
	}
	if len(st.gangs[key]) < members {
		wr.WriteHeader(http.StatusConflict)
	}
}

func (st *store) transact(wr http.ResponseWriter, rq *http.Request) {
	var tx struct {
		ExpectedRev []wireRow `json:"expectedRev"`
		Puts        []wireRow `json:"puts"`
		Remove      []wireRow `json:"remove"`
	}
	if err := json.Unmarshal(readAll(rq), &tx); err != nil || len(tx.ExpectedRev)+len(tx.Puts)+len(tx.Remove) > 100 {
		writeJSON(wr, http.StatusBadRequest, map[string]any{"error": fmt.Sprint(err)})
		return
	}
	time.Sleep(6 * time.Millisecond)
	st.mu.Lock()
	defer st.mu.Unlock()
	held := true
	var found []wireRow
	for _, ex := range tx.ExpectedRev {
		row := st.rows[rowKey{ex.Table, ex.Part, ex.Key}]
		version := row.version
		if row.deleted {
			version = 0
		}
		if version != ex.Version {
			held = false
		}
		if version > 0 {
			found = append(found, wireRow{Table: ex.Table, Part: ex.Part, Key: ex.Key, Value: row.value, Version: version})
		}
	}
	if !held {
		st.reply(wr, http.StatusPreconditionFailed, map[string]any{"rows": found, "rowVersion": st.version})
		return
	}
	for _, pu := range append(append([]wireRow{}, tx.Puts...), tx.Remove...) {
		if pu.Table == "op" || pu.Table == "servers" {
			writeJSON(wr, http.StatusForbidden, map[string]any{})
			return
		}
	}
	st.version++
	for _, pu := range tx.Puts {
		st.rows[rowKey{pu.Table, pu.Part, pu.Key}] = storedRow{value: pu.Value, version: st.version}
	}
	for _, re := range tx.Remove {
		if row, exists := st.rows[rowKey{re.Table, re.Part, re.Key}]; exists && !row.deleted {
			st.rows[rowKey{re.Table, re.Part, re.Key}] = storedRow{version: st.version, deleted: true}
		}
	}
	st.changed.Broadcast()
	st.reply(wr, http.StatusOK, map[string]any{"rowVersion": st.version})
}

func (st *store) get(wr http.ResponseWriter, rq *http.Request) {
	query := rq.URL.Query()
	limit, _ := strconv.Atoi(query.Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	rows := []wireRow{}
	for key, row := range st.rows {
		if key.table == query.Get("table") && key.part == query.Get("part") && !row.deleted && key.key >= query.Get("startKey") &&
			(query.Get("target") == "" || key.key < query.Get("target")) {
			rows = append(rows, wireRow{Table: key.table, Part: key.part, Key: key.key, Value: row.value, Version: row.version})
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	st.reply(wr, http.StatusOK, map[string]any{"rows": rows[:min(limit, len(rows))], "hasMore": more, "rowVersion": st.version})
}

func (st *store) feed(wr http.ResponseWriter, rq *http.Request) {
	query := rq.URL.Query()
	after, _ := strconv.ParseInt(query.Get("dependsOn"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	st.mu.Lock()
	defer st.mu.Unlock()
	for {
		rows := []wireRow{}
		for key, row := range st.rows {
			if key.table == query.Get("table") && row.version > after {
				rows = append(rows, wireRow{Table: key.table, Part: key.part, Key: key.key, Value: row.value, Version: row.version, Deleted: row.deleted})
			}
		}
		if len(rows) > 0 || !time.Now().Before(until) || rq.Context().Err() != nil {
			sort.Slice(rows, func(i, j int) bool { return rows[i].Version < rows[j].Version })
			st.reply(wr, http.StatusOK, map[string]any{"rows": rows, "rowVersion": st.version})
			return
		}
		st.changed.Wait()
	}
}
