package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

type (
	// store is the platform's table store, in memory and linearizable.
	store struct {
		mu      sync.Mutex
		version int64
		rows    map[rowKey]*row
		// history holds all changes in order.
		history []row
		// changed is closed and replaced at each change.
		changed chan struct{}
		latency time.Duration
		began   time.Time
	}

	rowKey struct{ Table, Part, Key string }

	row struct {
		Table      string `json:"table"`
		Part       string `json:"part"`
		Key        string `json:"key"`
		Value      []byte `json:"value,omitempty"`
		RowVersion int64  `json:"rowVersion"`
		Deleted    bool   `json:"deleted,omitempty"`
	}

	transaction struct {
		ExpectedRev []row `json:"expectedRev"`
		Puts        []row `json:"puts"`
		Remove      []row `json:"remove"`
	}
)

func newStore() *store {
	return &store{rows: map[rowKey]*row{}, changed: make(chan struct{}), latency: 4 * time.Millisecond, began: time.Now()}
}

func (st *store) serve(ln net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", st.transact)
	mux.HandleFunc("GET /v1/rows-get", st.get)
	mux.HandleFunc("GET /v1/rows-feed", st.feed)
	go func() { _ = http.Serve(ln, mux) }()
}

// put writes a row for the operator or a runner.
func (st *store) put(table, key string, value any) {
	text, _ := json.Marshal(value)
	time.Sleep(st.latency)
	st.mu.Lock()
	defer st.mu.Unlock()
	st.apply([]row{{Table: table, Key: key, Value: text}}, nil)
}

func (st *store) remove(table, key string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.apply(nil, []row{{Table: table, Key: key}})
}

// apply changes rows in one step. The caller holds mu.
func (st *store) apply(puts, removals []row) {
	st.version++
	for _, pu := range puts {
		ro := pu
		ro.RowVersion = st.version
		st.rows[rowKey{ro.Table, ro.Part, ro.Key}] = &ro
		st.history = append(st.history, ro)
	}
	for _, re := range removals {
		if _, exists := st.rows[rowKey{re.Table, re.Part, re.Key}]; !exists {
			continue
		}
		delete(st.rows, rowKey{re.Table, re.Part, re.Key})
		st.history = append(st.history, row{Table: re.Table, Part: re.Part, Key: re.Key, RowVersion: st.version, Deleted: true})
	}
	close(st.changed)
	st.changed = make(chan struct{})
}

func (st *store) reply(wr http.ResponseWriter, status int, rows []row, version int64, more bool) {
	if rows == nil {
		rows = []row{}
	}
	text, _ := json.Marshal(map[string]any{"rows": rows, "rowVersion": version, "hasMore": more, "nowMs": time.Since(st.began).Milliseconds()})
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(status)
	_, _ = wr.Write(text)
}

func (st *store) transact(wr http.ResponseWriter, rq *http.Request) {
	var tr transaction
	if err := json.NewDecoder(rq.Body).Decode(&tr); err != nil || len(tr.ExpectedRev)+len(tr.Puts)+len(tr.Remove) > 100 {
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, ro := range append(append([]row{}, tr.Puts...), tr.Remove...) {
		if ro.Table == "op" || ro.Table == "servers" {
			wr.WriteHeader(http.StatusForbidden)
			return
		}
	}
	time.Sleep(st.latency)
	st.mu.Lock()
	defer st.mu.Unlock()
	holds := true
	var current []row
	for _, ex := range tr.ExpectedRev {
		found := st.rows[rowKey{ex.Table, ex.Part, ex.Key}]
		if found != nil {
			current = append(current, *found)
		}
		if found == nil && ex.RowVersion != 0 || found != nil && found.RowVersion != ex.RowVersion {
			holds = false
		}
	}
	if !holds {
		st.reply(wr, http.StatusPreconditionFailed, current, st.version, false)
		return
	}
	st.apply(tr.Puts, tr.Remove)
	st.reply(wr, http.StatusOK, nil, st.version, false)
}

func (st *store) get(wr http.ResponseWriter, rq *http.Request) {
	time.Sleep(st.latency)
	qu := rq.URL.Query()
	limit, _ := strconv.Atoi(qu.Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	var rows []row
	for key, ro := range st.rows {
		if key.Table == qu.Get("table") && key.Part == qu.Get("part") && key.Key >= qu.Get("startKey") && (qu.Get("target") == "" || key.Key < qu.Get("target")) {
			rows = append(rows, *ro)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	if more {
		rows = rows[:limit]
	}
	st.reply(wr, http.StatusOK, rows, st.version, more)
}

func (st *store) feed(wr http.ResponseWriter, rq *http.Request) {
	time.Sleep(st.latency)
	qu := rq.URL.Query()
	after, _ := strconv.ParseInt(qu.Get("dependsOn"), 10, 64)
	wait, _ := strconv.Atoi(qu.Get("waitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		st.mu.Lock()
		var rows []row
		from := sort.Search(len(st.history), func(i int) bool { return st.history[i].RowVersion > after })
		for _, ro := range st.history[from:] {
			if ro.Table == qu.Get("table") {
				rows = append(rows, ro)
			}
		}
		version, changed := st.version, st.changed
		st.mu.Unlock()
		if len(rows) > 0 {
			st.reply(wr, http.StatusOK, rows, version, false)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			st.reply(wr, http.StatusOK, nil, version, false)
			return
		case <-rq.Context().Done():
			return
		}
	}
}

// putRaw writes a row of any bytes, as another writer may.
func (st *store) putRaw(table, key string, value []byte) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.apply([]row{{Table: table, Key: key, Value: value}}, nil)
}
