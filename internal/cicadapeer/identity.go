package cicadapeer

import (
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"os"
	"time"

	"github.com/pkg/errors"
)

const (
	// minSharedKey is the least length of the fleet's shared key, in bytes.
	minSharedKey = 16
	// certificateLife is the validity of a certificate made from the shared
	// key. Peers compare its key, not its dates.
	certificateLife = 100 * 365 * 24 * time.Hour
	keyInfo         = "cicadadyke peer key 1"
)

// Identity proves to peers that a process belongs to the fleet.
type Identity struct {
	cert tls.Certificate
	pool *x509.CertPool    // authority of the peers, if they have one
	key  ed25519.PublicKey // the peers' key, if they share one
}

// IdentityFromSharedKey derives an identity from the fleet's shared key. Processes
// with the same key, and no others, accept each other.
func IdentityFromSharedKey(shared string) (*Identity, error) {
	if len(shared) < minSharedKey {
		return nil, errors.Errorf("the peers' shared key has %d bytes; use at least %d", len(shared), minSharedKey)
	}
	seed, err := hkdf.Key(sha256.New, []byte(shared), nil, keyInfo, ed25519.SeedSize)
	if err != nil {
		return nil, errors.Wrap(err, "derive the peers' key")
	}
	private := ed25519.NewKeyFromSeed(seed)
	public, ok := private.Public().(ed25519.PublicKey)
	if !ok {
		return nil, errors.New("derive the peers' key")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: "cicadadyke peer"},
		NotBefore:    time.Unix(0, 0),
		NotAfter:     time.Now().Add(certificateLife),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	if err != nil {
		return nil, errors.Wrap(err, "make the peers' certificate")
	}
	cert := tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}
	return &Identity{cert: cert, key: public}, nil
}

// IdentityFromFiles reads a certificate, its key, and the authority that signs the
// peers' certificates.
func IdentityFromFiles(certFile, keyFile, authorityFile string) (*Identity, error) {
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, errors.Wrap(err, "read the peers' certificate")
	}
	pem, err := os.ReadFile(authorityFile)
	if err != nil {
		return nil, errors.Wrap(err, "read the peers' authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("%s has no certificate", authorityFile)
	}
	return &Identity{cert: cert, pool: pool}, nil
}

// config serves both ends: each shows its certificate and verifies the other's.
// Addresses are IP numbers that come and go, so names are not compared.
func (id *Identity) config() *tls.Config {
	return &tls.Config{
		Certificates:       []tls.Certificate{id.cert},
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true, //nolint:gosec // verify below replaces the check of names
		VerifyConnection:   id.verify,
		NextProtos:         []string{Protocol},
		// Connections last long: tickets would cost more than they save.
		SessionTicketsDisabled: true,
		MinVersion:             tls.VersionTLS13,
	}
}

func (id *Identity) verify(state tls.ConnectionState) error {
	if state.NegotiatedProtocol != Protocol {
		return errors.Errorf("peer speaks %q, not %s", state.NegotiatedProtocol, Protocol)
	}
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer shows no certificate")
	}
	leaf := state.PeerCertificates[0]
	if id.pool != nil {
		_, err := leaf.Verify(x509.VerifyOptions{
			Roots:     id.pool,
			KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
		})
		return errors.Wrap(err, "peer's certificate")
	}
	key, ok := leaf.PublicKey.(ed25519.PublicKey)
	if !ok || subtle.ConstantTimeCompare(key, id.key) != 1 {
		return errors.New("peer has another shared key")
	}
	return nil
}
