package cicadarouter_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cicadadyke/cicadadyke/internal/cicadabudget"
	"github.com/cicadadyke/cicadadyke/internal/cicadademo"
	"github.com/cicadadyke/cicadadyke/internal/cicadaledger"
	"github.com/cicadadyke/cicadadyke/internal/cicadaload"
	"github.com/cicadadyke/cicadadyke/internal/cicadarouter"
	"github.com/cicadadyke/cicadadyke/internal/cicadastandin"
)

const (
	model        = "redacteur-7b"
	apiKey       = "demo-key-menages-rive-sud"
	budget       = "redacteur/menages-rive-sud-2026"
	transferPath = "/services/guichet/transferts" //nolint:misspell // the service's own French word
)

// newEnvironment starts a fleet with one router in each of four data centres.
func newEnvironment(t *testing.T, prepaid map[string]cicadabudget.Units) *cicadademo.Environment {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	w, err := cicadademo.NewEnvironment(ctx, cicadademo.EnvironmentConfig{
		Files: os.DirFS("../../examples"), Documents: []string{"qc-est/redacteur.yaml", "qc-est/guichet.yaml"},
		RoutersPerDataCentre: 1, RandomSeed: 1, Logger: &log.Logger{Handler: discard.New()}, ResponseDelay: 4 * time.Millisecond, Prepaid: prepaid,
		Platform: cicadastandin.PlatformConfig{RandomSeed: 1},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		for _, r := range w.Routers() {
			r.Kill()
		}
		w.CloseStandIns()
	})
	return w
}

func baseURL(r *cicadarouter.Router) string { return "http://" + r.Host().CallerAddr }

// newSpec returns a streamed request to a router.
func newSpec(r *cicadarouter.Router, tag string) *cicadaload.RequestSpec {
	return &cicadaload.RequestSpec{BaseURL: baseURL(r), APIKey: apiKey, Model: model, Tag: tag, PromptWords: 5, MaxTokens: 40, Stream: true}
}

func call(t *testing.T, s *cicadaload.RequestSpec) cicadaload.Result {
	t.Helper()
	c := cicadaload.NewCaller(4, nil)
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	return c.Call(ctx, s)
}

// reply is the response to a plain HTTP request.
type reply struct {
	status  int
	header  http.Header
	body    []byte
	problem struct {
		Code       string `json:"code"`
		Ran        string `json:"ran"`
		Remedy     string `json:"remedy"`
		RequestID  string `json:"requestId"`
		RetryAfter int    `json:"retryAfterSeconds"`
	}
}

func do(t *testing.T, method, url, body string, header map[string]string) reply {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		t.Fatal(err)
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	out := reply{status: resp.StatusCode, header: resp.Header}
	if out.body, err = io.ReadAll(resp.Body); err != nil {
		t.Fatal(err)
	}
	_ = json.Unmarshal(out.body, &out.problem)
	return out
}

// eventually polls ok until it returns true, and fails the test after 20 s.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for begin := time.Now(); time.Since(begin) < 20*time.Second; {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("timed out after 20 s waiting for: %s", what)
}

// billOf waits until a bill of the request is recorded, and fails the test if there
// are several.
func billOf(t *testing.T, w *cicadademo.Environment, requestID string) cicadaledger.Bill {
	t.Helper()
	var found []cicadaledger.Bill
	eventually(t, "a bill of "+requestID, func() bool {
		bills, err := w.Bills()
		if err != nil {
			t.Fatal(err)
		}
		found = found[:0]
		for _, b := range bills {
			if b.RequestID == requestID {
				found = append(found, b)
			}
		}
		return len(found) > 0
	})
	if len(found) != 1 {
		t.Fatalf("request %s has %d bills", requestID, len(found))
	}
	return found[0]
}
