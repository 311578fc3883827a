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
	// minSharedKeyBytes is the minimum length of the fleet's shared key.
	minSharedKeyBytes = 16
	// certificateValidity is the validity period of a certificate derived from the
	// shared key. Peers compare the public key and ignore the dates.
	certificateValidity = 100 * 365 * 24 * time.Hour
	keyDerivationInfo   = "cicadadyke peer key 1"
)

// Identity authenticates a process to its peers as a member of the fleet.
type Identity struct {
	cert            tls.Certificate
	roots           *x509.CertPool    // root CAs of the peers' certificates; nil with a shared key
	sharedPublicKey ed25519.PublicKey // public key of every peer; nil with certificate files
}

// IdentityFromSharedKey derives an identity from the fleet's shared key. Only
// processes with the same shared key accept each other.
func IdentityFromSharedKey(shared string) (*Identity, error) {
	if len(shared) < minSharedKeyBytes {
		return nil, errors.Errorf("the peers' shared key has %d bytes; use at least %d", len(shared), minSharedKeyBytes)
	}
	seed, err := hkdf.Key(sha256.New, []byte(shared), nil, keyDerivationInfo, ed25519.SeedSize)
	if err != nil {
		return nil, errors.Wrap(err, "derive peer key from the shared key")
	}
	private := ed25519.NewKeyFromSeed(seed)
	public, ok := private.Public().(ed25519.PublicKey)
	if !ok {
		return nil, errors.New("peer key derived from the shared key is not an Ed25519 key")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: "cicadadyke peer"},
		NotBefore:    time.Unix(0, 0),
		NotAfter:     time.Now().Add(certificateValidity),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	if err != nil {
		return nil, errors.Wrap(err, "create peer certificate")
	}
	cert := tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}
	return &Identity{cert: cert, sharedPublicKey: public}, nil
}

// IdentityFromFiles reads a certificate, its private key, and the CA
// certificates that sign the peers' certificates.
func IdentityFromFiles(certFile, keyFile, authorityFile string) (*Identity, error) {
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, errors.Wrap(err, "read peer certificate and key")
	}
	pem, err := os.ReadFile(authorityFile)
	if err != nil {
		return nil, errors.Wrap(err, "read CA certificates of the peers")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("%s contains no PEM certificate", authorityFile)
	}
	return &Identity{cert: cert, roots: pool}, nil
}

// tlsConfig returns the TLS configuration of both client and server: mutual TLS
// without host name verification, because peers are addressed by IP addresses
// that change.
func (id *Identity) tlsConfig() *tls.Config {
	return &tls.Config{
		Certificates:       []tls.Certificate{id.cert},
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true, //nolint:gosec // verify replaces the standard verification
		VerifyConnection:   id.verify,
		NextProtos:         []string{Protocol},
		// Connections are long-lived, so session tickets would cost more than they save.
		SessionTicketsDisabled: true,
		MinVersion:             tls.VersionTLS13,
	}
}

func (id *Identity) verify(state tls.ConnectionState) error {
	if state.NegotiatedProtocol != Protocol {
		return errors.Errorf("peer negotiated protocol %q, want %s", state.NegotiatedProtocol, Protocol)
	}
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer presented no certificate")
	}
	leaf := state.PeerCertificates[0]
	if id.roots != nil {
		_, err := leaf.Verify(x509.VerifyOptions{
			Roots:     id.roots,
			KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
		})
		return errors.Wrap(err, "verify peer certificate")
	}
	key, ok := leaf.PublicKey.(ed25519.PublicKey)
	if !ok || subtle.ConstantTimeCompare(key, id.sharedPublicKey) != 1 {
		return errors.New("peer uses a different shared key")
	}
	return nil
}
