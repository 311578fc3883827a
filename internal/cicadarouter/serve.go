package cicadarouter

import (
	"crypto/subtle"
	"crypto/tls"
	"math"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaingress"
	"github.com/pkg/errors"
)

const (
	headerTimeout = 5 * time.Second
	bodyTimeout   = 15 * time.Second
	idleTimeout   = 2 * time.Minute
	// writeTimeout is the maximum time for one write to a slow caller.
	writeTimeout   = 15 * time.Second
	maxHeaderBytes = 32 << 10
	// maxCallerMemory bounds the memory for callers' connections and request headers, in bytes.
	maxCallerMemory = 64 << 20
	// filesPerCaller is the number of descriptors for each connection of a caller: its own and one to an upstream.
	filesPerCaller = 2
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes = 1 << 20
	// certificateCheckInterval is the minimum time between checks of the
	// certificate file for changes.
	certificateCheckInterval = 10 * time.Second
)

type (
	// TLSFiles contains the paths of a certificate and its key. They are reloaded
	// when the certificate file changes.
	TLSFiles struct {
		CertFile string
		KeyFile  string
	}

	// certificateLoader loads a certificate and caches it until its file changes.
	certificateLoader struct {
		files TLSFiles

		mu         sync.Mutex // guards the fields below
		cert       *tls.Certificate
		modifiedAt time.Time
		checkedAt  time.Time
	}
)

// newGuard returns the guard of the callers' listener.
func (r *Router) newGuard() *cicadaingress.Guard {
	cfg := cicadaingress.Config{
		Name: "callers", MemoryBytes: maxCallerMemory, Limits: cicadaingress.Limits{HeaderBytes: maxHeaderBytes, WriteStall: writeTimeout},
		Encrypted: r.cfg.CallerTLS != nil, Log: r.cfg.Log, Counts: r.metrics.Ingress,
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil {
		cfg.MaxConns = int(min(limit.Cur/filesPerCaller, math.MaxInt32))
	}
	return cicadaingress.NewGuard(cfg)
}

func (r *Router) newServer(h http.Handler, files *TLSFiles) (*http.Server, error) {
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          nil,
	}
	if files == nil {
		return s, nil
	}
	c := &certificateLoader{files: *files}
	if _, err := c.get(nil); err != nil {
		return nil, err
	}
	s.TLSConfig = &tls.Config{GetCertificate: c.get, MinVersion: tls.VersionTLS12}
	return s, nil
}

// get returns the certificate, reloaded if its file has changed. If reloading fails
// it returns the previous certificate.
func (c *certificateLoader) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.cert != nil && now.Sub(c.checkedAt) < certificateCheckInterval {
		return c.cert, nil
	}
	c.checkedAt = now
	info, err := os.Stat(c.files.CertFile)
	if err == nil && c.cert != nil && info.ModTime().Equal(c.modifiedAt) {
		return c.cert, nil
	}
	pair, loadErr := tls.LoadX509KeyPair(c.files.CertFile, c.files.KeyFile)
	if loadErr != nil {
		if c.cert != nil {
			return c.cert, nil
		}
		return nil, errors.Wrap(loadErr, "load certificate and key")
	}
	c.cert = &pair
	if err == nil {
		c.modifiedAt = info.ModTime()
	}
	return c.cert, nil
}

func (r *Router) callerMux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", r.serveChat)
	mux.HandleFunc("GET /v1/models", r.serveModels)
	mux.HandleFunc("/services/{service}/{path...}", r.servePlain)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /readyz", r.serveReady)
	return mux
}

// serveReady is the readiness check of the load balancer.
func (r *Router) serveReady(w http.ResponseWriter, _ *http.Request) {
	if r.stopping.Load() || !r.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// isReady reports whether callers are served: a configuration is in force, and what other routers tell is
// known, as that which requests crash runners.
func (r *Router) isReady() bool {
	if !r.fleet.Joined() {
		return false
	}
	select {
	case <-r.watcher.Ready():
		return true
	default:
		return false
	}
}

// bearerToken returns the bearer token of the Authorization header, or "".
func bearerToken(h http.Header) string {
	token, ok := strings.CutPrefix(h.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return strings.TrimSpace(token)
}

// requireOperatorToken rejects requests without the operators' token.
func (r *Router) requireOperatorToken(next http.Handler) http.Handler {
	want := []byte(r.cfg.OperatorToken)
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if len(want) == 0 || subtle.ConstantTimeCompare([]byte(bearerToken(req.Header)), want) != 1 {
			w.Header().Set("WWW-Authenticate", "Bearer")
			http.Error(w, "send Authorization: Bearer with the operators' token", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, req)
	})
}
