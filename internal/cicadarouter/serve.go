package cicadarouter

import (
	"crypto/subtle"
	"crypto/tls"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	headerTimeout = 5 * time.Second
	bodyTimeout   = 15 * time.Second
	idleTimeout   = 2 * time.Minute
	// writeTimeout bounds one write to a slow caller.
	writeTimeout = 15 * time.Second
	maxHeader    = 32 << 10
	// MaxBodyBytes bounds the body of a request, in bytes.
	MaxBodyBytes = 1 << 20
	// certificateCheck is the time between looks at the certificate files.
	certificateCheck = 10 * time.Second
)

type (
	// TLSFiles names a certificate and its key. They are read again when they
	// change.
	TLSFiles struct {
		CertFile string
		KeyFile  string
	}

	// certificate holds the current certificate of a pair of files.
	certificate struct {
		files TLSFiles

		mu        sync.Mutex // guards the fields below
		cert      *tls.Certificate
		modified  time.Time
		checkedAt time.Time
	}
)

func (r *Router) newServer(h http.Handler, files *TLSFiles) (*http.Server, error) {
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
		ErrorLog:          nil,
	}
	if files == nil {
		return s, nil
	}
	c := &certificate{files: *files}
	if _, err := c.get(nil); err != nil {
		return nil, err
	}
	s.TLSConfig = &tls.Config{GetCertificate: c.get, MinVersion: tls.VersionTLS12}
	return s, nil
}

// get returns the certificate, read again if its file has changed. If the new
// files cannot be read the old certificate stays.
func (c *certificate) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.cert != nil && now.Sub(c.checkedAt) < certificateCheck {
		return c.cert, nil
	}
	c.checkedAt = now
	info, err := os.Stat(c.files.CertFile)
	if err == nil && c.cert != nil && info.ModTime().Equal(c.modified) {
		return c.cert, nil
	}
	pair, loadErr := tls.LoadX509KeyPair(c.files.CertFile, c.files.KeyFile)
	if loadErr != nil {
		if c.cert != nil {
			return c.cert, nil
		}
		return nil, errors.Wrap(loadErr, "read certificate")
	}
	c.cert = &pair
	if err == nil {
		c.modified = info.ModTime()
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

// serveReady tells the balancer whether to send callers here.
func (r *Router) serveReady(w http.ResponseWriter, _ *http.Request) {
	if r.stopping.Load() || !r.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (r *Router) isReady() bool {
	select {
	case <-r.watcher.Ready():
		return true
	default:
		return false
	}
}

// bearer returns the token of an Authorization header.
func bearer(h http.Header) string {
	token, ok := strings.CutPrefix(h.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return strings.TrimSpace(token)
}

// operatorsOnly lets requests with the operators' token pass.
func (r *Router) operatorsOnly(next http.Handler) http.Handler {
	want := []byte(r.cfg.OperatorToken)
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if len(want) == 0 || subtle.ConstantTimeCompare([]byte(bearer(req.Header)), want) != 1 {
			w.Header().Set("WWW-Authenticate", "Bearer")
			http.Error(w, "send Authorization: Bearer with the operators' token", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, req)
	})
}
