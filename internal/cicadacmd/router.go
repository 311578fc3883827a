package cicadacmd

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadapeer"
	"github.com/cicadadyke/cicadadyke/internal/cicadarouter"
	"github.com/cicadadyke/cicadadyke/internal/cicadastore"
	"github.com/peterbourgon/ff/v4"
	"github.com/pkg/errors"
)

// routerVerb runs a router.
type routerVerb struct {
	name, place, region             string
	listen, operators, peers        string
	platform, platformToken         string
	peerKey, peerCert, peerCertKey  string
	peerAuthority, operatorToken    string
	tlsCert, tlsKey                 string
	operatorTLSCert, operatorTLSKey string
	seeds                           []string
	stopTimeout                     time.Duration
}

func (v *routerVerb) command(env *environment) *ff.Command {
	fs := env.flags("router")
	fs.StringVar(&v.name, 0, "name", "", "name of this host, unique in the fleet")
	fs.StringVar(&v.place, 0, "place", "", "data centre of this host, as the documents name it")
	fs.StringVar(&v.region, 0, "region", "", "region of the place")
	fs.StringVar(&v.listen, 0, "listen", "127.0.0.1:8080", "address for callers")
	fs.StringVar(&v.operators, 0, "operators", "127.0.0.1:8081", "address for operators")
	fs.StringVar(&v.peers, 0, "peers", "127.0.0.1:8082", "address for other routers")
	fs.StringVar(&v.platform, 0, "platform", "http://127.0.0.1:9000", "base URL of the platform")
	fs.StringVar(&v.platformToken, 0, "platform-token", "", "bearer token for the platform")
	fs.StringVar(&v.peerKey, 0, "peer-key", "", "shared key of the fleet, at least 16 bytes")
	fs.StringVar(&v.peerCert, 0, "peer-cert", "", "certificate for peers, instead of a shared key")
	fs.StringVar(&v.peerCertKey, 0, "peer-cert-key", "", "key of --peer-cert")
	fs.StringVar(&v.peerAuthority, 0, "peer-authority", "", "authority that signs the peers' certificates")
	fs.StringVar(&v.operatorToken, 0, "operator-token", "", "token that operators send; empty closes their address")
	fs.StringVar(&v.tlsCert, 0, "tls-cert", "", "certificate for callers; empty for plain HTTP")
	fs.StringVar(&v.tlsKey, 0, "tls-key", "", "key of --tls-cert")
	fs.StringVar(&v.operatorTLSCert, 0, "operator-tls-cert", "", "certificate for operators; empty for plain HTTP")
	fs.StringVar(&v.operatorTLSKey, 0, "operator-tls-key", "", "key of --operator-tls-cert")
	fs.StringSetVar(&v.seeds, 0, "seed", "peer address to ask for the configuration while the platform is away (repeatable)")
	fs.DurationVar(&v.stopTimeout, 0, "stop-timeout", 11*time.Minute, "longest wait for requests in progress at a planned stop")
	return &ff.Command{
		Name: "router", Usage: "cicadadyke router [FLAGS]", ShortHelp: "run a router",
		LongHelp: "A router stops as planned on SIGTERM: requests in progress finish, units are given back.\n\n" +
			"Example:\n  cicadadyke router --name r1 --place salle-levis --region qc-est \\\n" +
			"    --platform http://127.0.0.1:9000 --peer-key 'a key of the fleet' --operator-token op",
		Flags: fs,
		Exec:  func(ctx context.Context, args []string) error { return v.run(ctx, env, args) },
	}
}

// check returns every mistake of the flags at once.
func (v *routerVerb) check(args []string) error {
	var wrong []string
	add := func(bad bool, text string) {
		if bad {
			wrong = append(wrong, text)
		}
	}
	add(len(args) > 0, "router takes no arguments")
	add(v.name == "", "--name is missing: give this host a name of its own")
	add(strings.ContainsAny(v.name, "/. "), "--name may not contain slash, dot or space")
	add(v.place == "", "--place is missing: name the data centre as the documents do")
	add(v.region == "", "--region is missing: name the place's region as the documents do")
	for _, a := range []struct{ flag, addr string }{{"listen", v.listen}, {"operators", v.operators}, {"peers", v.peers}} {
		_, err := netip.ParseAddrPort(a.addr)
		add(err != nil, "--"+a.flag+" is no IP and port: "+a.addr)
	}
	add(v.peerKey == "" && v.peerCert == "", "--peer-key is missing: give the fleet's shared key, or --peer-cert")
	add(v.peerCert != "" && (v.peerCertKey == "" || v.peerAuthority == ""), "--peer-cert needs --peer-cert-key and --peer-authority")
	add((v.tlsCert == "") != (v.tlsKey == ""), "--tls-cert and --tls-key go together")
	add((v.operatorTLSCert == "") != (v.operatorTLSKey == ""), "--operator-tls-cert and --operator-tls-key go together")
	add(v.stopTimeout <= 0, "--stop-timeout must be above zero")
	if len(wrong) > 0 {
		return usagef("%s", strings.Join(wrong, "\n  "))
	}
	return nil
}

func (v *routerVerb) identity() (*cicadapeer.Identity, error) {
	if v.peerCert != "" {
		return cicadapeer.IdentityFromFiles(v.peerCert, v.peerCertKey, v.peerAuthority)
	}
	return cicadapeer.IdentityFromSharedKey(v.peerKey)
}

func (v *routerVerb) run(ctx context.Context, env *environment, args []string) error {
	if err := v.check(args); err != nil {
		return err
	}
	id, err := v.identity()
	if err != nil {
		return fail(ExitUsage, err)
	}
	metrics := cicadarouter.NewMetrics()
	cfg := cicadarouter.Config{
		Name: v.name, DataCentre: v.place, Region: v.region, OperatorToken: v.operatorToken, Identity: id,
		SeedPeers: v.seeds, Log: env.logger(), Metrics: metrics, RandomSeed: uint64(time.Now().UnixNano()),
		CallerTLS: tlsFiles(v.tlsCert, v.tlsKey), OperatorTLS: tlsFiles(v.operatorTLSCert, v.operatorTLSKey),
		Platform: cicadastore.NewClient(cicadastore.ClientConfig{
			BaseURL: v.platform, Token: v.platformToken, Counts: metrics.Platform,
		}),
	}
	if err := listenAll(ctx, &cfg, v.listen, v.operators, v.peers); err != nil {
		return err
	}
	r := cicadarouter.New(cfg)
	if err := r.Start(); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-r.Done():
		return fail(ExitFailed, errors.New("the fleet declared this process ended while it was away; start it anew"))
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), v.stopTimeout)
	defer cancel()
	return r.Stop(stopCtx)
}

func tlsFiles(cert, key string) *cicadarouter.TLSFiles {
	if cert == "" {
		return nil
	}
	return &cicadarouter.TLSFiles{CertFile: cert, KeyFile: key}
}

func listenAll(ctx context.Context, cfg *cicadarouter.Config, callers, operators, peers string) error {
	var lc net.ListenConfig
	for _, l := range []struct {
		addr string
		into *net.Listener
	}{{callers, &cfg.CallerListener}, {operators, &cfg.OperatorListener}, {peers, &cfg.PeerListener}} {
		ln, err := lc.Listen(ctx, "tcp", l.addr)
		if err != nil {
			return errors.Wrapf(err, "listen on %s", l.addr)
		}
		*l.into = ln
	}
	return nil
}
