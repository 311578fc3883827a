package cicadastandin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaupstream"
	"github.com/tmaxmax/go-sse"
)

// maxRequestBody is the maximum size of a request body for engines and plain services,
// in bytes.
const maxRequestBody = 4 << 20

// HeaderOrganisation is the request header with the organisation, which the engine
// stores in its record.
const HeaderOrganisation = "X-Organisation"

type (
	chatRequest struct {
		Model     string `json:"model"`
		Stream    bool   `json:"stream"`
		MaxTokens int    `json:"max_tokens"` // wire-name of the chat-completions format
		Messages  []struct {
			Content string `json:"content"`
		} `json:"messages"`
	}

	chatChoice struct {
		Index        int          `json:"index"`
		Delta        *chatMessage `json:"delta,omitempty"`
		Message      *chatMessage `json:"message,omitempty"`
		FinishReason *string      `json:"finish_reason"` // wire-name of the chat-completions format
	}

	chatMessage struct {
		Role    string `json:"role,omitempty"`
		Content string `json:"content"`
	}

	chatResponse struct {
		ID      string                `json:"id"`
		Object  string                `json:"object"`
		Model   string                `json:"model"`
		Choices []chatChoice          `json:"choices"`
		Usage   *cicadaupstream.Usage `json:"usage,omitempty"`
	}
)

// Handler returns the handler for the engine's API, for PUT /control/faults, which sets
// the faults, and for GET /control/records, which returns the records.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+cicadaupstream.PathChat, e.serveChat)
	mux.HandleFunc("GET "+cicadaupstream.PathRequests+"{id}/events", e.serveResume)
	mux.HandleFunc("GET "+cicadaupstream.PathRequests+"{id}", e.serveRecord)
	mux.HandleFunc("DELETE "+cicadaupstream.PathRequests+"{id}", e.serveCancel)
	mux.HandleFunc("GET "+cicadaupstream.PathLoad, func(w http.ResponseWriter, _ *http.Request) {
		e.mu.Lock()
		load := e.loadReport()
		e.mu.Unlock()
		writeResponse(w, load, nil)
	})
	mux.HandleFunc("GET "+cicadaupstream.PathUsage, e.serveUsage)
	mux.HandleFunc("PUT "+cicadaupstream.PathFences+"{router}", func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		e.fenced[r.PathValue("router")] = true
		e.mu.Unlock()
		writeResponse(w, struct{}{}, nil)
	})
	mux.HandleFunc("GET /control/records", func(w http.ResponseWriter, _ *http.Request) {
		writeResponse(w, e.Records(), nil)
	})
	mux.HandleFunc("PUT /control/faults", func(w http.ResponseWriter, r *http.Request) {
		var f EngineFaults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		e.SetFaults(f)
	})
	return nameRequests(mux)
}

// nameRequests adds the id of the request to responses.
func nameRequests(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get(cicadaupstream.HeaderRequestID); id != "" {
			w.Header().Set(cicadaupstream.HeaderRequestID, id)
		}
		h.ServeHTTP(w, r)
	})
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	e.received++
	faults, load := e.faults, e.loadReport()
	fenced := e.fenced[r.Header.Get(cicadaupstream.HeaderRouter)]
	e.mu.Unlock()
	if fenced {
		w.Header().Set(cicadaupstream.HeaderNotRun, "1")
		http.Error(w, "this router process was declared ended", http.StatusConflict)
		return
	}
	w.Header().Set(cicadaupstream.HeaderLoadRunning, strconv.Itoa(load.Running))
	w.Header().Set(cicadaupstream.HeaderLoadWaiting, strconv.Itoa(load.Waiting))
	if faults.Draining {
		w.Header().Set(cicadaupstream.HeaderDraining, "1")
		w.Header().Set(cicadaupstream.HeaderNotRun, "1")
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	var body chatRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBody)).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if faults.Fail {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	if faults.Hang {
		<-r.Context().Done()
		return
	}
	req := newEngineRequest(r, &body)
	if faults.CrashOn != "" && strings.Contains(req.prompt, faults.CrashOn) {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		e.crash()
		return
	}
	g := e.startGeneration(req)
	if body.Stream {
		e.sendStream(w, r, g, body.Model, 0)
		return
	}
	e.sendResponse(w, r, g, body.Model)
}

func newEngineRequest(r *http.Request, body *chatRequest) *engineRequest {
	attempt, _ := strconv.Atoi(r.Header.Get(cicadaupstream.HeaderAttempt))
	parts := make([]string, len(body.Messages))
	for i, m := range body.Messages {
		parts[i] = m.Content
	}
	id := r.Header.Get(cicadaupstream.HeaderRequestID)
	if id == "" {
		id = fmt.Sprintf("direct-%d", time.Now().UnixNano())
	}
	return &engineRequest{
		id:           id,
		attempt:      attempt,
		key:          r.Header.Get(cicadaupstream.HeaderIdempotencyKey),
		router:       r.Header.Get(cicadaupstream.HeaderRouter),
		organisation: r.Header.Get(HeaderOrganisation),
		live:         r.Header.Get(cicadaupstream.HeaderPriority) != "batch",
		prompt:       strings.Join(parts, " "),
		maxTokens:    body.MaxTokens,
	}
}

func (e *Engine) attachReader(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g.readers++
}

// sendStream sends the chunks from offset on as they are generated.
func (e *Engine) sendStream(w http.ResponseWriter, r *http.Request, g *generation, model string, offset int) {
	e.attachReader(g)
	defer e.detachReader(g)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	rc := http.NewResponseController(w)
	_ = rc.Flush()
	for i := offset; ; i++ {
		ok, stall := e.waitForToken(r, g, i)
		if stall {
			<-r.Context().Done()
			return
		}
		if !ok {
			break
		}
		chunk := chatResponse{ID: g.record.RequestID, Object: "chat.completion.chunk", Model: model, Choices: []chatChoice{
			{Delta: &chatMessage{Content: Token(g.tag, i)}},
		}}
		if e.sendChunk(w, g, i, &chunk) != nil {
			return
		}
		_ = rc.Flush()
	}
	e.finishStream(w, r, g, model)
	_ = rc.Flush()
}

// waitForToken waits until token i is generated. It returns ok false after the last
// token, and stall true if the stream has to stall or the client has disconnected.
func (e *Engine) waitForToken(r *http.Request, g *generation, i int) (ok, stall bool) {
	for {
		e.mu.Lock()
		if n := e.faults.StallAfterChunks; n > 0 && i >= n && !g.stalled {
			g.stalled = true
			if e.faults.ForgetOnStall {
				g.forgotten = true
				g.cancel()
			}
			e.mu.Unlock()
			return false, true
		}
		generated, state, updated := g.generated, g.record.State, g.updated
		e.mu.Unlock()
		switch {
		case i < generated:
			return true, false
		case state != StateRunning:
			return false, false
		}
		select {
		case <-updated:
		case <-r.Context().Done():
			return false, true
		}
	}
}

func (e *Engine) sendChunk(w http.ResponseWriter, g *generation, offset int, chunk *chatResponse) error {
	data, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	e.mu.Lock()
	duplicate := e.faults.DuplicateChunks
	e.mu.Unlock()
	msg := &sse.Message{ID: sse.ID(cicadaupstream.EventID(g.record.Attempt, int64(offset)))}
	msg.AppendData(string(data))
	if _, err := msg.WriteTo(w); err != nil {
		return err
	}
	if duplicate {
		_, err = msg.WriteTo(w)
	}
	return err
}

func (e *Engine) finishStream(w http.ResponseWriter, r *http.Request, g *generation, model string) {
	e.mu.Lock()
	rec := g.record
	e.mu.Unlock()
	if rec.State != StateComplete || r.Context().Err() != nil {
		return
	}
	stop := "stop"
	last := chatResponse{ID: rec.RequestID, Object: "chat.completion.chunk", Model: model, Choices: []chatChoice{
		{Delta: &chatMessage{}, FinishReason: &stop},
	}}
	usage := chatResponse{ID: rec.RequestID, Object: "chat.completion.chunk", Model: model, Choices: []chatChoice{}, Usage: tokenUsage(&rec)}
	if e.sendChunk(w, g, g.totalTokens, &last) != nil || e.sendChunk(w, g, g.totalTokens+1, &usage) != nil {
		return
	}
	done := &sse.Message{}
	done.AppendData(cicadaupstream.EndMarker)
	_, _ = done.WriteTo(w)
}

func tokenUsage(rec *EngineRecord) *cicadaupstream.Usage {
	return &cicadaupstream.Usage{
		PromptTokens:     rec.PromptTokens,
		CompletionTokens: rec.CompletionTokens,
		TotalTokens:      rec.PromptTokens + rec.CompletionTokens,
	}
}

func (e *Engine) sendResponse(w http.ResponseWriter, r *http.Request, g *generation, model string) {
	e.attachReader(g)
	defer e.detachReader(g)
	var text strings.Builder
	for i := 0; ; i++ {
		ok, stall := e.waitForToken(r, g, i)
		if stall {
			<-r.Context().Done()
			return
		}
		if !ok {
			break
		}
		text.WriteString(Token(g.tag, i))
	}
	e.mu.Lock()
	rec := g.record
	e.mu.Unlock()
	stop := "stop"
	writeResponse(w, chatResponse{ID: rec.RequestID, Object: "chat.completion", Model: model, Usage: tokenUsage(&rec), Choices: []chatChoice{
		{Message: &chatMessage{Role: "assistant", Content: text.String()}, FinishReason: &stop},
	}}, nil)
}

func (e *Engine) lookup(r *http.Request) (*generation, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g, ok := e.requests[r.PathValue("id")]
	return g, ok && !g.forgotten
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	g, ok := e.lookup(r)
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if !ok || err != nil || offset < 0 {
		http.Error(w, "no such request", http.StatusNotFound)
		return
	}
	if offset <= g.totalTokens {
		e.sendStream(w, r, g, "", offset)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	e.finishStream(w, r, g, "")
}

func (e *Engine) serveRecord(w http.ResponseWriter, r *http.Request) {
	g, ok := e.lookup(r)
	if !ok {
		http.Error(w, "no such request", http.StatusNotFound)
		return
	}
	e.mu.Lock()
	rec := g.record.Record
	e.mu.Unlock()
	writeResponse(w, rec, nil)
}

// serveUsage returns the total tokens and the number of running requests of a router
// process for an organisation.
func (e *Engine) serveUsage(w http.ResponseWriter, r *http.Request) {
	router, org := r.URL.Query().Get("router"), r.URL.Query().Get("organisation")
	e.mu.Lock()
	var usage cicadaupstream.RouterUsage
	for _, g := range e.requests {
		if g.record.Router != router || g.record.Organisation != org {
			continue
		}
		usage.Tokens += g.record.PromptTokens + g.record.CompletionTokens
		if g.record.State == StateRunning {
			usage.Running++
		}
	}
	e.mu.Unlock()
	writeResponse(w, usage, nil)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	g, ok := e.lookup(r)
	if !ok {
		http.Error(w, "no such request", http.StatusNotFound)
		return
	}
	g.cancel()
	e.finish(g, StateCancelled)
	e.serveRecord(w, r)
}
