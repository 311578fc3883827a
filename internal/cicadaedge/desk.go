package cicadaedge

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
	"github.com/creachadair/jrpc2"
	"github.com/pkg/errors"
)

const (
	// deskTimeout bounds a question to another router's desk: several round
	// trips between data centres, and a small part of the objectives.
	deskTimeout = 40 * time.Millisecond
	// deskTries bounds the desks asked for one request.
	deskTries = 2
	// desksRanked is how many routers are known for each group in the order in which
	// they are asked: more than are down at once, but in a loss of most of them.
	desksRanked = 16
	// deskSlack is how long after its request's deadline a place that nobody
	// gave back is kept.
	deskSlack     = time.Second
	methodPlace   = "place"
	methodStarted = "started"
	methodEnded   = "ended"
)

type (
	// desk places the requests of other routers beside this router's own, for
	// the groups of runners that fall to it. One router that sees all prompts of
	// a group keeps two long prompts from meeting at a runner while another is
	// free, which no router could see by itself.
	desk struct {
		fleet *cicadaplace.Balancer

		mu     sync.Mutex // guards the fields below
		next   uint64
		places map[uint64]*place
	}

	// place is what a desk keeps of a request of another router.
	place struct {
		ticket *cicadaplace.Assignment
		until  time.Time
	}

	// desks are the other routers' desks as this router uses them.
	desks struct {
		rt *Router
		*links

		permitMu   sync.Mutex // guards nextPermit
		nextPermit time.Time  // from when on a router may be asked for a permit
	}

	placeRequest struct {
		Service string             `json:"service"`
		Parts   []cicadaplace.Part `json:"parts"`
		Tokens  int                `json:"tokens"`
		Tried   []string           `json:"tried,omitempty"`
		Millis  int64              `json:"millis"` // until the request's deadline
		Place   string             `json:"place"`  // data centre of the asker
		// Barred are the runners that the asker may not use now.
		Barred []string `json:"barred,omitempty"`
	}

	placeReply struct {
		Place  uint64 `json:"place"`
		Runner string `json:"runner"`
	}

	startedNote struct {
		Place uint64 `json:"place"`
	}

	endedNote struct {
		Place  uint64             `json:"place"`
		Result cicadaplace.Result `json:"result"`
	}

	// placement is a request's place at a runner: this router's own ticket, and
	// the place at the desk that chose the runner.
	placement struct {
		*cicadaplace.Assignment
		client *jrpc2.Client
		place  uint64
		desk   string
		begun  bool
		ended  bool
	}
)

func newDesk(f *cicadaplace.Balancer) *desk { return &desk{fleet: f, places: map[uint64]*place{}} }

// handlePlace chooses a runner for another router's request.
func (d *desk) handlePlace(_ context.Context, req placeRequest) (placeReply, error) {
	now := time.Now()
	t, err := d.fleet.Choose(&cicadaplace.Request{
		Service: req.Service, Parts: req.Parts, Tokens: req.Tokens, Tried: req.Tried, DataCentre: req.Place,
		Excluded: req.Barred, ForPeer: true,
	}, now)
	if err != nil {
		return placeReply{}, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sweep(now)
	d.next++
	d.places[d.next] = &place{ticket: t, until: now.Add(time.Duration(req.Millis)*time.Millisecond + deskSlack)}
	return placeReply{Place: d.next, Runner: t.Runner().ID()}, nil
}

// sweep ends the places that nobody gave back.
func (d *desk) sweep(now time.Time) {
	for id, p := range d.places {
		if now.After(p.until) {
			p.ticket.Finish(cicadaplace.CallerCancelled, now)
			delete(d.places, id)
		}
	}
}

func (d *desk) handleStarted(_ context.Context, n startedNote) error {
	d.mu.Lock()
	p := d.places[n.Place]
	d.mu.Unlock()
	if p != nil {
		p.ticket.ResponseStarted()
	}
	return nil
}

func (d *desk) handleEnded(_ context.Context, n endedNote) error {
	d.mu.Lock()
	p := d.places[n.Place]
	delete(d.places, n.Place)
	d.mu.Unlock()
	if p != nil {
		p.ticket.Finish(n.Result, time.Now())
	}
	return nil
}

func newDesks(rt *Router) *desks {
	return &desks{rt: rt, links: rt.links}
}

// choose returns a place for a request: from the desk of its group, or by this
// router's own view where that desk does not answer.
func (ds *desks) choose(ctx context.Context, req *cicadaplace.Request, deadline time.Time) (*placement, error) {
	if len(req.Parts) > 0 {
		if p := ds.ask(ctx, req, deadline); p != nil {
			return p, nil
		}
	}
	t, err := ds.rt.fleet.Choose(req, time.Now())
	var limited *cicadaplace.RateLimitedError
	if errors.As(err, &limited) {
		if p := ds.withPermit(ctx, req); p != nil {
			return p, nil
		}
	}
	if err != nil {
		return nil, err
	}
	return &placement{Assignment: t}, nil
}

// ask asks the desks in their order. It returns nil if this router is the first
// of them that is up, or none answers.
func (ds *desks) ask(ctx context.Context, req *cicadaplace.Request, deadline time.Time) *placement {
	group, _ := ds.rt.fleet.Group(req)
	names := ds.rt.peers.ranked(req.Service+"/"+strconv.Itoa(group), desksRanked)
	tries := 0
	for _, name := range names {
		if name == ds.rt.cfg.Name || tries == deskTries {
			return nil
		}
		if ds.isDown(name) {
			continue
		}
		tries++
		p, err := ds.askOne(ctx, name, req, deadline)
		if err == nil {
			return p
		}
		ds.rt.cfg.Metrics.Errors.Add("desk", 1)
		if errors.Is(err, cicadaplace.ErrNoRunner) {
			return nil
		}
		ds.drop(name, err)
	}
	return nil
}

func (ds *desks) askOne(ctx context.Context, name string, req *cicadaplace.Request, deadline time.Time) (*placement, error) {
	ctx, cancel := context.WithTimeout(ctx, deskTimeout)
	defer cancel()
	client, err := ds.client(ctx, name)
	if err != nil {
		return nil, err
	}
	var reply placeReply
	err = client.CallResult(ctx, methodPlace, placeRequest{
		Service: req.Service, Parts: req.Parts, Tokens: req.Tokens, Tried: req.Tried,
		Millis: time.Until(deadline).Milliseconds(), Place: ds.rt.cfg.DataCentre,
		Barred: ds.rt.fleet.RateLimitedIDs(req, time.Now()),
	}, &reply)
	if err != nil {
		var coded *jrpc2.Error
		if errors.As(err, &coded) {
			return nil, errors.Wrap(cicadaplace.ErrNoRunner, coded.Message)
		}
		return nil, errors.Wrap(err, "ask desk")
	}
	t, err := ds.rt.fleet.AssignTo(reply.Runner, req, time.Now())
	if err != nil {
		// The desk does not know yet what this router knows of the runner.
		ds.note(client, methodEnded, endedNote{Place: reply.Place, Result: cicadaplace.CallerCancelled})
		return nil, err
	}
	return &placement{Assignment: t, client: client, place: reply.Place, desk: name}, nil
}

// started tells that the runner has read the prompt.
func (ds *desks) started(p *placement) {
	p.ResponseStarted()
	if p.client != nil && !p.begun {
		p.begun = true
		ds.note(p.client, methodStarted, startedNote{Place: p.place})
	}
}

// end gives the place back here and at the desk. It returns for how long this
// router leaves the runner out.
func (ds *desks) end(p *placement, res cicadaplace.Result) time.Duration {
	if p.client != nil && !p.ended {
		p.ended = true
		ds.note(p.client, methodEnded, endedNote{Place: p.place, Result: res})
	}
	return p.Finish(res, time.Now())
}
