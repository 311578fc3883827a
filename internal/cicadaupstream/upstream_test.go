package cicadaupstream_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadastandin"
	"github.com/cicadadyke/cicadadyke/internal/cicadaupstream"
	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
)

const prompt = `{"model":"m","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"tag and more words"}]}`

// startEngine starts an engine with faults and returns its address.
func startEngine(t *testing.T, f cicadastandin.EngineFaults) (string, *cicadastandin.Engine) {
	t.Helper()
	e := cicadastandin.NewEngine(cicadastandin.EngineConfig{Name: "e", Capacity: 4, TokenInterval: time.Millisecond})
	e.SetFaults(f)
	s := httptest.NewServer(e.Handler())
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), e
}

func newCall(addr string) *cicadaupstream.Call {
	return &cicadaupstream.Call{
		Addr: addr, Method: http.MethodPost, Path: cicadaupstream.PathChat, Body: []byte(prompt),
		Header: http.Header{}, RequestID: "req", Attempt: 1, FirstByteTimeout: 2 * time.Second,
	}
}

// nameRequest names the request in the response, so that its connection is kept.
func nameRequest(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(cicadaupstream.HeaderRequestID, r.Header.Get(cicadaupstream.HeaderRequestID))
}

// runStream runs a call and returns the received text.
func runStream(t *testing.T, addr string, progress time.Duration) (string, *cicadaupstream.Stream, error) {
	t.Helper()
	c := cicadaupstream.New(cicadaupstream.Config{})
	t.Cleanup(c.Close)
	call := newCall(addr)
	resp, err := c.Do(t.Context(), call)
	if err != nil {
		t.Fatal(err)
	}
	s := c.NewStream(call, cicadaupstream.StreamConfig{ProgressTimeout: progress, Resumable: true})
	var text strings.Builder
	err = s.Run(t.Context(), resp, func(ch cicadaupstream.Chunk) error {
		if _, after, ok := strings.Cut(ch.Data, `"content":"`); ok {
			word, _, _ := strings.Cut(after, `"`)
			text.WriteString(word)
		}
		return nil
	})
	return text.String(), s, err
}

func fullText() string {
	var b strings.Builder
	for i := range cicadastandin.ResponseTokens("tag and more words", 20) {
		b.WriteString(cicadastandin.Token("tag", i))
	}
	return b.String()
}

// TestStreamIsWholeUnderFaults checks that duplicate chunks are dropped, and that a
// stalled stream is resumed on a new connection.
func TestStreamIsWholeUnderFaults(t *testing.T) {
	for name, f := range map[string]cicadastandin.EngineFaults{
		"no fault":                      {},
		"duplicate chunks":              {DuplicateChunks: true},
		"stalled connection":            {StallAfterChunks: 5},
		"stalled with duplicate chunks": {StallAfterChunks: 3, DuplicateChunks: true},
		"stalled right after the start": {StallAfterChunks: 1},
	} {
		t.Run(name, func(t *testing.T) {
			addr, _ := startEngine(t, f)
			text, s, err := runStream(t, addr, 200*time.Millisecond)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(fullText(), text); diff != "" {
				t.Errorf("text (-want +got)\n%s", diff)
			}
			if f.DuplicateChunks && s.DroppedChunks() == 0 {
				t.Error("no duplicate chunk was dropped")
			}
			if f.StallAfterChunks > 0 && s.ResumeCount() == 0 {
				t.Error("the stream was not resumed")
			}
			if s.Usage() == nil {
				t.Error("stream has no usage")
			}
		})
	}
}

// TestForeignAndMissingChunks serves prepared events. Chunks of another attempt are
// dropped, and no chunk is delivered after a missing one.
func TestForeignAndMissingChunks(t *testing.T) {
	event := func(id, word string) string {
		return "id: " + id + "\ndata: {\"choices\":[{\"delta\":{\"content\":\"" + word + "\"}}]}\n\n"
	}
	for _, tc := range []struct {
		name, events, text string
		wantRespErr        bool
	}{
		{"another attempt", event("1:0", "a") + event("2:1", "X") + event("1:1", "b") + "data: [DONE]\n\n", "ab", false},
		{"late repeat", event("1:0", "a") + event("1:1", "b") + event("1:0", "a") + "data: [DONE]\n\n", "ab", false},
		{"gap", event("1:0", "a") + event("1:2", "c") + "data: [DONE]\n\n", "a", true},
		{"no end marker", event("1:0", "a"), "a", true},
		{"no JSON", event("1:0", "a") + "id: 1:1\ndata: hello\n\n", "a", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodGet {
					http.NotFound(w, r) // this engine cannot resume streams
					return
				}
				_, _ = w.Write([]byte(tc.events))
			}))
			defer srv.Close()
			text, _, err := runStream(t, srv.Listener.Addr().String(), time.Second)
			var respErr *cicadaupstream.ResponseError
			if errors.As(err, &respErr) != tc.wantRespErr {
				t.Errorf("error %v, want a ResponseError: %v", err, tc.wantRespErr)
			}
			if diff := cmp.Diff(tc.text, text); diff != "" {
				t.Errorf("text (-want +got)\n%s", diff)
			}
		})
	}
}

// A stream breaks off, and the engine answers the attempt to resume it with something else.
func TestErrorOfAResumedStreamReachesTheCaller(t *testing.T) {
	const begun = "id: 1:0\ndata: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n"
	for name, resume := range map[string]http.HandlerFunc{
		"failure":        func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "error", http.StatusInternalServerError) },
		"not found":      http.NotFound,
		"other text":     func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"error":"cannot resume"}`) },
		"an error event": func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "data: error\n\n") },
		"empty":          func(http.ResponseWriter, *http.Request) {},
		"nothing":        func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodGet {
					resume(w, r)
					return
				}
				_, _ = io.WriteString(w, begun)
			}))
			defer srv.Close()
			text, _, err := runStream(t, srv.Listener.Addr().String(), time.Second)
			var respErr *cicadaupstream.ResponseError
			if !errors.As(err, &respErr) {
				t.Errorf("error %v, want a ResponseError", err)
			}
			if diff := cmp.Diff("a", text); diff != "" {
				t.Errorf("text (-want +got)\n%s", diff)
			}
		})
	}
}

// TestFailuresTellWhetherAnythingWasSent checks that errors distinguish requests that
// were not sent from those without a response. Refusals are reported as not run only
// for the former.
func TestFailuresTellWhetherAnythingWasSent(t *testing.T) {
	c := cicadaupstream.New(cicadaupstream.Config{})
	defer c.Close()
	closedServer := httptest.NewServer(http.NotFoundHandler())
	closedAddr := closedServer.Listener.Addr().String()
	closedServer.Close()
	hanging, _ := startEngine(t, cicadastandin.EngineFaults{Hang: true})

	failureKind := func(addr string) string {
		call := newCall(addr)
		call.FirstByteTimeout = 100 * time.Millisecond
		resp, err := c.Do(t.Context(), call)
		if err == nil {
			_ = resp.Body.Close()
			return "answered"
		}
		var failure cicadaupstream.Failure
		if !errors.As(err, &failure) {
			return "no failure: " + err.Error()
		}
		switch failure.(type) {
		case *cicadaupstream.NotSentError:
			return "not sent"
		case *cicadaupstream.NoResponseError:
			return "silent"
		default:
			return "other"
		}
	}
	got := []string{failureKind(closedAddr), failureKind(hanging)}
	if diff := cmp.Diff([]string{"not sent", "silent"}, got); diff != "" {
		t.Errorf("failures (-want +got)\n%s", diff)
	}
}

// TestTransportSendsARequestOnce closes a reused connection after a request with an
// idempotency key was read. The transport must not resend the request, which it does
// by default for such requests.
func TestTransportSendsARequestOnce(t *testing.T) {
	var calls atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 {
			nameRequest(w, r)
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_ = conn.Close()
		}
	}))
	defer srv.Close()
	c := cicadaupstream.New(cicadaupstream.Config{})
	defer c.Close()
	call := newCall(srv.Listener.Addr().String())
	call.Header.Set(cicadaupstream.HeaderIdempotencyKey, "k")
	resp, err := c.Do(t.Context(), call)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp, err = c.Do(t.Context(), call); err == nil {
		_ = resp.Body.Close()
		t.Fatal("got a response from the closed connection")
	}
	var noResponse *cicadaupstream.NoResponseError
	if !errors.As(err, &noResponse) {
		t.Errorf("error %v, want a NoResponseError", err)
	}
	if diff := cmp.Diff(int64(2), calls.Load()); diff != "" {
		t.Errorf("calls (-want +got)\n%s", diff)
	}
}

func TestCancelStopsTheEngine(t *testing.T) {
	addr, e := startEngine(t, cicadastandin.EngineFaults{})
	c := cicadaupstream.New(cicadaupstream.Config{})
	defer c.Close()
	resp, err := c.Do(t.Context(), newCall(addr))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	rec, err := c.Cancel(context.Background(), addr, "req")
	if err != nil {
		t.Fatal(err)
	}
	if rec.State != cicadastandin.StateCancelled {
		t.Errorf("state %q after the cancel, want cancelled", rec.State)
	}
	if got := e.Records()[0].State; got != cicadastandin.StateCancelled {
		t.Errorf("engine record has state %q, want cancelled", got)
	}
}

func FuzzStream(f *testing.F) {
	f.Add("id: 1:0\ndata: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: [DONE]\n\n")
	f.Add("data: \n\n:comment\nid: 1:9999999999999999999\ndata: {}\n\n")
	c := cicadaupstream.New(cicadaupstream.Config{})
	f.Fuzz(func(t *testing.T, events string) {
		s := c.NewStream(newCall("127.0.0.1:1"), cicadaupstream.StreamConfig{ProgressTimeout: time.Minute})
		resp := &http.Response{Body: io.NopCloser(strings.NewReader(events))}
		next := int64(0)
		err := s.Run(t.Context(), resp, func(ch cicadaupstream.Chunk) error {
			if ch.Offset != next {
				t.Fatalf("chunk %d was delivered after chunk %d", ch.Offset, next-1)
			}
			next++
			return nil
		})
		if err == nil && !strings.Contains(events, cicadaupstream.EndMarker) {
			t.Fatalf("stream is complete after %d chunks without an end marker", s.ChunkCount())
		}
	})
}

// TestControlAnswersWithoutEnd sends a load report of unlimited length. The client must
// stop reading at its limit and close the connection.
func TestControlAnswersWithoutEnd(t *testing.T) {
	t.Parallel()
	var written atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		block := []byte(strings.Repeat("x", 32<<10))
		_, err := w.Write([]byte(`{"name":"`))
		for end := time.Now().Add(5 * time.Second); err == nil && time.Now().Before(end); {
			var n int
			n, err = w.Write(block)
			written.Add(int64(n))
		}
	}))
	defer s.Close()
	c := cicadaupstream.New(cicadaupstream.Config{})
	defer c.Close()
	if err := c.PollLoad(t.Context(), s.Listener.Addr().String()); err == nil {
		t.Error("PollLoad accepted a response of unlimited length")
	}
	s.Close()
	if got := written.Load(); got > 32<<20 {
		t.Errorf("the engine wrote %d MB before its connection was closed, want at most 32", got>>20)
	}
}

// TestCallsAreSentOnce closes a reused connection after a call without a body was read.
// The transport must not resend the call.
func TestCallsAreSentOnce(t *testing.T) {
	t.Parallel()
	var got atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if got.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
		nameRequest(w, r)
		w.WriteHeader(http.StatusOK)
	}))
	defer s.Close()
	for _, tt := range []struct{ method, key string }{
		{http.MethodGet, ""},
		{http.MethodHead, ""},
		{http.MethodOptions, ""},
		{http.MethodTrace, ""},
		{http.MethodPost, ""},
		{http.MethodPost, "k"}, // the key makes the transport take the call for idempotent
	} {
		got.Store(0)
		c := cicadaupstream.New(cicadaupstream.Config{})
		for range 2 {
			call := newCall(s.Listener.Addr().String())
			call.Method, call.Body = tt.method, nil
			if tt.key != "" {
				call.Header.Set(cicadaupstream.HeaderIdempotencyKey, tt.key)
			}
			resp, err := c.Do(t.Context(), call)
			if err == nil {
				if _, err := io.Copy(io.Discard, resp.Body); err != nil {
					t.Error(err)
				}
				resp.Body.Close()
			}
		}
		c.Close()
		if diff := cmp.Diff(int64(2), got.Load()); diff != "" {
			t.Errorf("%s with key %q: calls received, of two sent (-want +got):\n%s", tt.method, tt.key, diff)
		}
	}
}
