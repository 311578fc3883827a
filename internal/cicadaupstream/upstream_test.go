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

// serve starts an engine with faults and returns its address.
func serve(t *testing.T, f cicadastandin.EngineFaults) (string, *cicadastandin.Engine) {
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

// stream runs a call and returns the answer's text.
func stream(t *testing.T, addr string, progress time.Duration) (string, *cicadaupstream.Stream, error) {
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

func whole() string {
	var b strings.Builder
	for i := range cicadastandin.ResponseTokens("tag and more words", 20) {
		b.WriteString(cicadastandin.Token("tag", i))
	}
	return b.String()
}

// TestStreamIsWholeUnderFaults takes doubled chunks, and silence in the middle
// of the stream, which is taken up again on a new connection.
func TestStreamIsWholeUnderFaults(t *testing.T) {
	for name, f := range map[string]cicadastandin.EngineFaults{
		"no fault":                    {},
		"doubled chunks":              {DuplicateChunks: true},
		"silent connection":           {StallAfterChunks: 5},
		"silent with doubled chunks":  {StallAfterChunks: 3, DuplicateChunks: true},
		"silent right after the head": {StallAfterChunks: 1},
	} {
		t.Run(name, func(t *testing.T) {
			addr, _ := serve(t, f)
			text, s, err := stream(t, addr, 200*time.Millisecond)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(whole(), text); diff != "" {
				t.Errorf("text (-want +got)\n%s", diff)
			}
			if f.DuplicateChunks && s.DroppedChunks() == 0 {
				t.Error("no doubled chunk was dropped")
			}
			if f.StallAfterChunks > 0 && s.ResumeCount() == 0 {
				t.Error("the stream was not taken up again")
			}
			if s.Usage() == nil {
				t.Error("no usage")
			}
		})
	}
}

// TestForeignAndMissingChunks serves events by hand: chunks of another attempt
// are dropped, and a gap is never passed on.
func TestForeignAndMissingChunks(t *testing.T) {
	event := func(id, word string) string {
		return "id: " + id + "\ndata: {\"choices\":[{\"delta\":{\"content\":\"" + word + "\"}}]}\n\n"
	}
	for _, tc := range []struct {
		name, events, text string
		broken             bool
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
					http.NotFound(w, r) // this engine does not resume
					return
				}
				_, _ = w.Write([]byte(tc.events))
			}))
			defer srv.Close()
			text, _, err := stream(t, srv.Listener.Addr().String(), time.Second)
			var broken *cicadaupstream.ResponseError
			if errors.As(err, &broken) != tc.broken {
				t.Errorf("error %v, want broken %v", err, tc.broken)
			}
			if diff := cmp.Diff(tc.text, text); diff != "" {
				t.Errorf("text (-want +got)\n%s", diff)
			}
		})
	}
}

// TestFailuresTellWhetherAnythingWasSent covers the difference that "not run"
// rests on.
func TestFailuresTellWhetherAnythingWasSent(t *testing.T) {
	c := cicadaupstream.New(cicadaupstream.Config{})
	defer c.Close()
	closed := httptest.NewServer(http.NotFoundHandler())
	gone := closed.Listener.Addr().String()
	closed.Close()
	hanging, _ := serve(t, cicadastandin.EngineFaults{Hang: true})

	kindOf := func(addr string) string {
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
	got := []string{kindOf(gone), kindOf(hanging)}
	if diff := cmp.Diff([]string{"not sent", "silent"}, got); diff != "" {
		t.Errorf("failures (-want +got)\n%s", diff)
	}
}

// TestTransportSendsARequestOnce ends a reused connection after the request was
// read. The transport must not send it again by itself, idempotency key or not.
func TestTransportSendsARequestOnce(t *testing.T) {
	var calls atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) == 1 {
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
		t.Fatal("the broken connection gave an answer")
	}
	var silent *cicadaupstream.NoResponseError
	if !errors.As(err, &silent) {
		t.Errorf("error %v, want silent", err)
	}
	if diff := cmp.Diff(int64(2), calls.Load()); diff != "" {
		t.Errorf("calls (-want +got)\n%s", diff)
	}
}

func TestCancelStopsTheEngine(t *testing.T) {
	addr, e := serve(t, cicadastandin.EngineFaults{})
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
		t.Errorf("state %q after the cancel", rec.State)
	}
	if got := e.Records()[0].State; got != cicadastandin.StateCancelled {
		t.Errorf("the engine's record says %q", got)
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
				t.Fatalf("chunk %d after %d", ch.Offset, next-1)
			}
			next++
			return nil
		})
		if err == nil && !strings.Contains(events, cicadaupstream.EndMarker) {
			t.Fatalf("whole after %d chunks without an end marker", s.ChunkCount())
		}
	})
}

// TestControlAnswersWithoutEnd lets an engine write until its caller closes.
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
		t.Error("an answer without end was read")
	}
	s.Close()
	if got := written.Load(); got > 32<<20 {
		t.Errorf("the engine wrote %d MB until its connection was closed", got>>20)
	}
}

// TestCallsAreSentOnce breaks a kept connection once a call without a body was read.
func TestCallsAreSentOnce(t *testing.T) {
	t.Parallel()
	var got atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if got.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(http.StatusOK)
	}))
	defer s.Close()
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPost} {
		got.Store(0)
		c := cicadaupstream.New(cicadaupstream.Config{})
		for range 2 {
			call := newCall(s.Listener.Addr().String())
			call.Method, call.Body = method, nil
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
			t.Errorf("%s: calls that arrived, of two (-want +got):\n%s", method, diff)
		}
	}
}
