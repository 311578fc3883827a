package cicadapeer_test

import (
	"context"
	"expvar"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cicadadyke/cicadadyke/internal/cicadaconfig"
	"github.com/cicadadyke/cicadadyke/internal/cicadaledger"
	"github.com/cicadadyke/cicadadyke/internal/cicadapeer"
	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
)

// echoHandler replies to every call except Recall, which fails.
type echoHandler struct{}

func (echoHandler) Exchange(_ context.Context, req *cicadapeer.ExchangeRequest) (*cicadapeer.ExchangeReply, error) {
	out := &cicadapeer.ExchangeReply{}
	for i := range req.Items {
		out.Items = append(out.Items, cicadapeer.ItemReply{Result: &cicadaledger.ExchangeResult{
			Seq: req.Items[i].Exchange.Seq, Grants: []cicadaledger.Amount{{Budget: "redacteur/menages-rive-sud-2026", Units: 812}},
		}})
	}
	return out, nil
}

func (echoHandler) Claim(context.Context, *cicadapeer.ClaimRequest) (*cicadapeer.ClaimReply, error) {
	return &cicadapeer.ClaimReply{Result: cicadaledger.ClaimResult{Status: cicadaledger.KeyGranted}}, nil
}

func (echoHandler) Lend(context.Context, *cicadapeer.LendRequest) (*cicadapeer.LendReply, error) {
	return &cicadapeer.LendReply{}, nil
}

func (echoHandler) CollectLoans(context.Context, *cicadapeer.CollectLoansRequest) (*cicadapeer.CollectLoansReply, error) {
	return &cicadapeer.CollectLoansReply{}, nil
}

func (echoHandler) Heartbeat(_ context.Context, b *cicadapeer.Heartbeat) (*cicadapeer.Heartbeat, error) {
	return b, nil
}

func (echoHandler) FetchResponse(context.Context, *cicadapeer.FetchResponseRequest) (*cicadapeer.FetchResponseReply, error) {
	return &cicadapeer.FetchResponseReply{}, nil
}

func (echoHandler) Recall(context.Context, *cicadapeer.RecallRequest) (*cicadapeer.Empty, error) {
	return nil, errors.New("expected test error")
}

func (echoHandler) Config(context.Context, *cicadapeer.ConfigRequest) (*cicadaconfig.Export, error) {
	return &cicadaconfig.Export{}, nil
}

func newIdentity(tb testing.TB, key string) *cicadapeer.Identity {
	tb.Helper()
	id, err := cicadapeer.IdentityFromSharedKey(key)
	if err != nil {
		tb.Fatal(err)
	}
	return id
}

const sharedKey = "the fleet's shared key"

func startServer(tb testing.TB) string {
	tb.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	s := cicadapeer.NewServer(cicadapeer.ServerConfig{
		Listener: ln, Identity: newIdentity(tb, sharedKey), Handler: echoHandler{}, Log: &log.Logger{Handler: discard.New()},
		BytesReceived: new(expvar.Int), BytesSent: new(expvar.Int),
	})
	s.Start()
	tb.Cleanup(s.Close)
	return ln.Addr().String()
}

func newClient(tb testing.TB, key string, in, out *expvar.Int) *cicadapeer.Client {
	tb.Helper()
	c := cicadapeer.NewClient(cicadapeer.ClientConfig{
		Identity: newIdentity(tb, key), BytesReceived: in, BytesSent: out, Calls: new(expvar.Map).Init(),
	})
	tb.Cleanup(c.Close)
	return c
}

var heartbeat = &cicadapeer.Heartbeat{RouterID: cicadaledger.RouterID{Host: "r1", Incarnation: 5}, ConfigSeq: 3}

func TestCallAndError(t *testing.T) {
	addr := startServer(t)
	c := newClient(t, sharedKey, new(expvar.Int), new(expvar.Int))
	got, err := c.Heartbeat(t.Context(), addr, heartbeat)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(heartbeat, got); diff != "" {
		t.Errorf("heartbeat reply (-want +got)\n%s", diff)
	}
	if err := c.Recall(t.Context(), addr, &cicadapeer.RecallRequest{}); !errors.Is(err, cicadapeer.ErrRefused) {
		t.Errorf("call that the handler fails: got error %v, want ErrRefused", err)
	}
}

func TestOtherSharedKeyIsRejected(t *testing.T) {
	addr := startServer(t)
	c := newClient(t, "another fleet's shared key", new(expvar.Int), new(expvar.Int))
	if _, err := c.Heartbeat(t.Context(), addr, heartbeat); !errors.Is(err, cicadapeer.ErrUnreachable) {
		t.Errorf("call with a different shared key: got error %v, want ErrUnreachable", err)
	}
	if _, err := cicadapeer.IdentityFromSharedKey("short"); err == nil {
		t.Error("a shared key of 5 bytes was accepted")
	}
}

func TestOversizedMessageClosesTheConnection(t *testing.T) {
	addr := startServer(t)
	c := newClient(t, sharedKey, new(expvar.Int), new(expvar.Int))
	var b strings.Builder
	for i := range 1_200_000 {
		fmt.Fprintf(&b, "%x-", i*2654435761)
	}
	_, err := c.FetchResponse(t.Context(), addr, &cicadapeer.FetchResponseRequest{RequestID: b.String()})
	if !errors.Is(err, cicadapeer.ErrUnreachable) {
		t.Errorf("call with a message of %d bytes: got error %v, want ErrUnreachable", b.Len(), err)
	}
	if _, err := c.Heartbeat(t.Context(), addr, heartbeat); err != nil {
		t.Errorf("call after the oversized message: %v", err)
	}
}

// TestSilentConnectionIsReplaced checks that the client opens a new connection
// after a call times out. After one successful call, a proxy drops all further data
// of its first connection without closing it, while new connections work.
func TestSilentConnectionIsReplaced(t *testing.T) {
	server := startServer(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	blackhole := make(chan struct{})
	go runProxy(ln, server, blackhole)
	c := newClient(t, sharedKey, new(expvar.Int), new(expvar.Int))
	addr := ln.Addr().String()
	if _, err := c.Heartbeat(t.Context(), addr, heartbeat); err != nil {
		t.Fatal(err)
	}
	close(blackhole)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	if _, err := c.Heartbeat(ctx, addr, heartbeat); !errors.Is(err, cicadapeer.ErrUnreachable) {
		t.Fatalf("call over the broken connection: got error %v, want ErrUnreachable", err)
	}
	if _, err := c.Heartbeat(t.Context(), addr, heartbeat); err != nil {
		t.Errorf("call after the broken connection: %v", err)
	}
}

// runProxy forwards connections to server. Once blackhole is closed, the first
// connection stays open but its data is dropped.
func runProxy(ln net.Listener, server string, blackhole chan struct{}) {
	for n := 0; ; n++ {
		in, err := ln.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", server)
		if err != nil {
			return
		}
		var stop chan struct{}
		if n == 0 {
			stop = blackhole
		}
		go forward(in, out, stop)
		go forward(out, in, stop)
	}
}

func forward(from, to net.Conn, blackhole chan struct{}) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		select {
		case <-blackhole:
			continue
		default:
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				return
			}
			_ = to.Close()
			return
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// BenchmarkWireBytes measures the bytes that each kind of call sends and
// receives at the client, including TLS and framing.
func BenchmarkWireBytes(b *testing.B) {
	holder := cicadaledger.RouterID{Host: "salle-levis-1", Incarnation: 1796330600340}
	partition := cicadaledger.PartitionOf("qc-est", "redacteur/menages-rive-sud-2026")
	exchange := func(items int) func(*cicadapeer.Client, string, uint64) error {
		return func(c *cicadapeer.Client, addr string, i uint64) error {
			req := &cicadapeer.ExchangeRequest{}
			for k := range items {
				req.Items = append(req.Items, cicadapeer.ExchangeItem{Partition: partition, Exchange: cicadaledger.Exchange{
					Holder: holder, Seq: i,
					UnitRequests: []cicadaledger.UnitRequest{{Budget: "redacteur/menages-rive-sud-2026", Want: 500}},
					Bills: []cicadaledger.Bill{{
						RequestID: holder.RequestID(i*100 + uint64(k)), Budget: "redacteur/menages-rive-sud-2026",
						Units: 51, Outcome: cicadaledger.OutcomeComplete,
					}},
				}})
			}
			_, err := c.Exchange(context.Background(), addr, req)
			return err
		}
	}
	for _, k := range []struct {
		name string
		call func(c *cicadapeer.Client, addr string, i uint64) error
	}{
		{"exchange=1", exchange(1)},
		{"exchange=4", exchange(4)},
		{"exchange=16", exchange(16)},
		{"claim", func(c *cicadapeer.Client, addr string, i uint64) error {
			_, err := c.Claim(context.Background(), addr, &cicadapeer.ClaimRequest{Partition: partition, Holder: holder, Claim: cicadaledger.Claim{
				Key: fmt.Sprintf("zRr2r0e4%08x", i*2654435761), RequestID: holder.RequestID(i), Fingerprint: "yH2kLm0a",
			}})
			return err
		}},
		{"beat", func(c *cicadapeer.Client, addr string, _ uint64) error {
			_, err := c.Heartbeat(context.Background(), addr, heartbeat)
			return err
		}},
	} {
		b.Run(k.name, func(b *testing.B) {
			in, out := new(expvar.Int), new(expvar.Int)
			c := newClient(b, sharedKey, in, out)
			addr := startServer(b)
			if err := k.call(c, addr, 1); err != nil {
				b.Fatal(err)
			}
			handshake := in.Value() + out.Value()
			b.ReportAllocs()
			n := uint64(0)
			for b.Loop() {
				n++
				if err := k.call(c, addr, n); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(in.Value()+out.Value()-handshake)/float64(n), "bytes/call")
			b.ReportMetric(float64(handshake), "bytes/connection")
		})
	}
}
