package engine

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/larchwinch/larchwinch/pkg/api"
)

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+api.EngineInfoPath, e.serveInfo)
	mux.HandleFunc("POST "+api.EngineOpenPath, e.serveOpen)
	mux.HandleFunc("POST "+api.EngineGeneratePath, e.serveGenerate)
	mux.HandleFunc("POST "+api.EngineStepPath, e.serveStep)
	mux.HandleFunc("POST "+api.EngineReplayPath, e.serveReplay)
	mux.HandleFunc("POST "+api.EngineCancelPath, e.serveCancel)
	mux.HandleFunc("GET "+api.EngineKVPath, e.serveExport)
	mux.HandleFunc("POST "+api.EngineKVPath, e.serveImport)
	mux.HandleFunc("POST "+api.EngineOrderPath, e.serveOrder)
	mux.HandleFunc("POST "+FaultPath, e.serveFault)
	mux.HandleFunc("POST "+LeavingPath, e.serveLeaving)
	mux.HandleFunc("GET "+LedgerPath, e.serveLedger)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.faults.get().Cut && r.URL.Path != FaultPath {
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	})
}

func (e *Engine) serveInfo(w http.ResponseWriter, r *http.Request) {
	if err := e.faults.waitWhileFrozen(r.Context()); err != nil {
		return
	}
	info := e.Info()
	tag := fmt.Sprintf(`"%d-%t"`, info.Incarnation, info.Leaving)
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, info)
}

func (e *Engine) serveOpen(w http.ResponseWriter, r *http.Request) {
	o := api.EngineOpen{}
	if !readJSON(w, r, &o) {
		return
	}
	if err := e.faults.waitWhileFrozen(r.Context()); err != nil {
		return
	}
	if o.Model != e.cfg.Model || o.ModelVersion != e.cfg.ModelVersion {
		http.Error(w, "this engine holds another model", http.StatusNotFound)
		return
	}
	opened, ok, full := e.openSession(o)
	switch {
	case full:
		http.Error(w, "every slot is taken", http.StatusServiceUnavailable)
	case !ok:
		http.Error(w, "a newer attempt is open", http.StatusConflict)
	default:
		writeJSON(w, opened)
	}
}

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	g := api.EngineGenerate{}
	if !readJSON(w, r, &g) {
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	enc := json.NewEncoder(w)
	flush := http.NewResponseController(w)
	_ = e.generate(r.Context(), g, func(ev api.EngineEvent) error {
		if err := enc.Encode(ev); err != nil {
			return err
		}
		return flush.Flush()
	})
}

func (e *Engine) serveStep(w http.ResponseWriter, r *http.Request) {
	st := api.EngineStep{}
	if readJSON(w, r, &st) {
		writeJSON(w, e.step(r.Context(), st))
	}
}

func (e *Engine) serveReplay(w http.ResponseWriter, r *http.Request) {
	rp := api.EngineReplay{}
	if readJSON(w, r, &rp) {
		writeJSON(w, e.replay(r.Context(), rp))
	}
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	c := api.EngineCancel{}
	if readJSON(w, r, &c) {
		e.closeSession(c)
	}
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	s := e.session(r.URL.Query().Get("request"))
	if s == nil {
		http.Error(w, "no such session", http.StatusNotFound)
		return
	}
	writeJSON(w, e.export(s))
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	kv := api.EngineKV{}
	if !readJSON(w, r, &kv) {
		return
	}
	if !e.importKV(kv) {
		http.Error(w, "the cache doesn't fit this session", http.StatusConflict)
	}
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	o := api.EngineOrder{}
	if !readJSON(w, r, &o) {
		return
	}
	if !e.orders.accept(o, e.cfg.RejectStaleOrders) {
		http.Error(w, "a newer order was taken", http.StatusConflict)
	}
}

func (e *Engine) serveFault(w http.ResponseWriter, r *http.Request) {
	f := Fault{}
	if readJSON(w, r, &f) {
		e.SetFault(f)
	}
}

func (e *Engine) serveLeaving(_ http.ResponseWriter, _ *http.Request) {
	e.SetLeaving(true)
}

func (e *Engine) serveLedger(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, e.ledger.All())
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, "can't read the body: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // it fails only if the caller has disconnected
}
