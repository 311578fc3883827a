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
	// placementTimeout bounds a call to a placement server. It allows several round trips between
	// data centres and is small against the latency objectives.
	placementTimeout = 40 * time.Millisecond
	// brittlePlacementTimeout replaces it while the runners of the service are brittle: several routers that
	// place at a time send more than the runners have room for.
	brittlePlacementTimeout = 250 * time.Millisecond
	// maxPlacementTries bounds the placement servers that are asked for one request.
	maxPlacementTries = 2
	// placementCandidates bounds the ranked routers kept for each runner group. More are down at
	// once only if most routers are lost.
	placementCandidates = 16
	// leaseGracePeriod is how long a lease that was not ended is kept after the deadline of its
	// request.
	leaseGracePeriod = time.Second
	// maxLoadAgeMillis bounds the age of a load in a notice. Older ones say nothing either.
	maxLoadAgeMillis = 60_000
	methodPlace      = "place"
	methodStarted    = "started"
	methodEnded      = "ended"
)

var errNotPlaced = errors.New("no other router has placed the request")

type (
	// placementServer chooses runners for requests of other routers as well as this router's own,
	// for the runner groups that are assigned to this router. One router that sees all prompts of
	// a group keeps two long prompts from being sent to the same runner while another is free.
	// Routers that choose independently do not see each other's prompts.
	placementServer struct {
		balancer *cicadaplace.Balancer

		mu          sync.Mutex // guards the fields below
		lastLeaseID uint64
		leases      map[uint64]*lease
	}

	// lease is a runner assignment held for a request of another router.
	lease struct {
		assignment *cicadaplace.Assignment
		expiresAt  time.Time
	}

	// placementClient calls the placement servers of other routers.
	placementClient struct {
		rt *Router
		*peerClients

		permitMu   sync.Mutex // guards nextPermit
		nextPermit time.Time  // earliest time of the next permit request
	}

	placementRequest struct {
		Service         string             `json:"service"`
		Parts           []cicadaplace.Part `json:"parts"`
		Tokens          int                `json:"tokens"`
		Tried           []string           `json:"tried,omitempty"`
		RemainingMillis int64              `json:"millis"` // time until the deadline of the request
		DataCentre      string             `json:"place"`  // data centre of the requesting router
		// Excluded holds the ids of the runners that the requesting router must not use now.
		Excluded []string   `json:"barred,omitempty"`
		Homes    [][]string `json:"homes,omitempty"` // see cicadaplace.Request
		// Brittle is set if the runners are: the rejections in a second that each tolerates.
		Brittle *float64 `json:"brittle,omitempty"`
		// SoftwareVersion is the only one that may run the request; empty for any.
		SoftwareVersion string `json:"software,omitempty"`
		// Resumable is set for a stream that may go on at another runner.
		Resumable bool `json:"resumable,omitempty"`
	}

	placementReply struct {
		LeaseID  uint64 `json:"place"`
		RunnerID string `json:"runner"`
		NoRoom   bool   `json:"noRoom,omitempty"` // the runners are brittle and may have no room
		// Forecast is what is expected of the request; nil without a prompt.
		Forecast *forecast `json:"forecast,omitempty"`
	}

	startedNotice struct {
		LeaseID uint64 `json:"place"`
		// TookMillis is the time from the choice of the runner to the first event, at least 1; 0 if it does
		// not tell how fast the runner is.
		TookMillis int64       `json:"tookMillis,omitempty"`
		Load       *loadNotice `json:"load,omitempty"`
	}

	// loadNotice is the load that a runner reported with its response. It is sent for runners that state the
	// slowness of their machines: a router that places the requests of others sees few reports itself.
	loadNotice struct {
		Running   int   `json:"running"`
		Waiting   int   `json:"waiting"`
		Slots     int   `json:"slots"`
		Slowness  int   `json:"slowness"`
		AgeMillis int64 `json:"ageMillis"`
	}

	endedNotice struct {
		LeaseID uint64             `json:"place"`
		Result  cicadaplace.Result `json:"result"`
	}

	// placement is a runner assignment of this router and, if a placement server chose the runner,
	// the lease at that server.
	placement struct {
		*cicadaplace.Assignment
		client      *jrpc2.Client
		leaseID     uint64
		server      string
		forecast    *forecast // of the server, which knows more of the runner's queue; nil if it sent none
		startedSent bool
		endedSent   bool
	}
)

func newPlacementServer(balancer *cicadaplace.Balancer) *placementServer {
	return &placementServer{balancer: balancer, leases: map[uint64]*lease{}}
}

// handlePlace chooses a runner for a request of another router.
func (s *placementServer) handlePlace(_ context.Context, req placementRequest) (placementReply, error) {
	now := time.Now()
	if req.Brittle != nil {
		s.balancer.MergeBrittle(req.Service, *req.Brittle, now)
	}
	assignment, err := s.balancer.Choose(&cicadaplace.Request{
		Service: req.Service, Parts: req.Parts, Tokens: req.Tokens, Tried: req.Tried, DataCentre: req.DataCentre,
		Excluded: req.Excluded, Homes: req.Homes, SoftwareVersion: req.SoftwareVersion, Resumable: req.Resumable,
		ForPeer: true, PlacesGroup: true,
	}, now)
	var noRoom *cicadaplace.NoRoomError
	if errors.As(err, &noRoom) {
		return placementReply{NoRoom: true}, nil
	}
	if err != nil {
		return placementReply{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired(now)
	s.lastLeaseID++
	s.leases[s.lastLeaseID] = &lease{assignment: assignment, expiresAt: now.Add(time.Duration(req.RemainingMillis)*time.Millisecond + leaseGracePeriod)}
	return placementReply{LeaseID: s.lastLeaseID, RunnerID: assignment.Runner().ID(), Forecast: newForecast(assignment)}, nil
}

// removeExpired ends the leases that were not ended in time.
func (s *placementServer) removeExpired(now time.Time) {
	for id, l := range s.leases {
		if now.After(l.expiresAt) {
			l.assignment.Finish(cicadaplace.CallerCancelled, now)
			delete(s.leases, id)
		}
	}
}

func (s *placementServer) handleStarted(_ context.Context, n startedNotice) error {
	s.mu.Lock()
	l := s.leases[n.LeaseID]
	s.mu.Unlock()
	if l == nil {
		return nil
	}
	now := time.Now()
	l.assignment.ResponseStarted()
	if n.TookMillis > 0 {
		l.assignment.ObserveFirstEvent(time.Duration(n.TookMillis)*time.Millisecond, now)
	}
	if n.Load != nil {
		load := cicadaplace.Load{Running: n.Load.Running, Waiting: n.Load.Waiting, Slots: n.Load.Slots, Slowness: n.Load.Slowness}
		l.assignment.ReportLoad(load, now.Add(-time.Duration(min(max(n.Load.AgeMillis, 0), maxLoadAgeMillis))*time.Millisecond))
	}
	return nil
}

func (s *placementServer) handleEnded(_ context.Context, n endedNotice) error {
	s.mu.Lock()
	l := s.leases[n.LeaseID]
	delete(s.leases, n.LeaseID)
	s.mu.Unlock()
	if l != nil {
		l.assignment.Finish(n.Result, time.Now())
	}
	return nil
}

func newPlacementClient(rt *Router) *placementClient {
	return &placementClient{rt: rt, peerClients: rt.peerClients}
}

// choose returns a placement for a request: from the placement server of its runner group, or from
// this router's own balancer if the request has no prompt parts and no brittle runners, this router is that server itself,
// or no server chooses a runner.
func (c *placementClient) choose(ctx context.Context, req *cicadaplace.Request, deadline time.Time) (*placement, error) {
	if len(req.Parts) > 0 || c.rt.balancer.IsBrittle(req.Service, time.Now()) {
		if p, err := c.placeRemotely(ctx, req, deadline); !errors.Is(err, errNotPlaced) {
			return p, err
		}
	}
	assignment, err := c.rt.balancer.Choose(req, time.Now())
	var limited *cicadaplace.RateLimitedError
	if errors.As(err, &limited) {
		if p := c.chooseWithPermit(ctx, req); p != nil {
			return p, nil
		}
	}
	if err != nil {
		return nil, err
	}
	return &placement{Assignment: assignment}, nil
}

// placeRemotely asks the placement servers of the group in ranked order. It returns errNotPlaced if this
// router is the first of them that is up, which it notes in req, or if none of them chooses a runner.
func (c *placementClient) placeRemotely(ctx context.Context, req *cicadaplace.Request, deadline time.Time) (*placement, error) {
	req.PlacesGroup = false
	group, _ := c.rt.balancer.Group(req)
	names := c.rt.peers.ranked(req.Service+"/"+strconv.Itoa(group), placementCandidates)
	tries := 0
	for _, name := range names {
		if name == c.rt.cfg.Name || tries == maxPlacementTries {
			req.PlacesGroup = name == c.rt.cfg.Name
			return nil, errNotPlaced
		}
		if c.isDown(name) {
			continue
		}
		tries++
		p, err := c.requestPlacement(ctx, name, req, deadline)
		var noRoom *cicadaplace.NoRoomError
		if err == nil || errors.As(err, &noRoom) {
			return p, err
		}
		c.rt.cfg.Metrics.Errors.Add("desk", 1)
		if errors.Is(err, cicadaplace.ErrNoRunner) {
			return nil, errNotPlaced
		}
		c.markDown(name, err)
	}
	return nil, errNotPlaced
}

// callTimeout returns the time limit of a call to a placement server.
func (c *placementClient) callTimeout(service string) time.Duration {
	if c.rt.balancer.IsBrittle(service, time.Now()) {
		return brittlePlacementTimeout
	}
	return placementTimeout
}

func (c *placementClient) requestPlacement(ctx context.Context, name string, req *cicadaplace.Request, deadline time.Time) (*placement, error) {
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout(req.Service))
	defer cancel()
	client, err := c.client(ctx, name)
	if err != nil {
		return nil, err
	}
	var known *float64
	if rejections, stated := c.rt.balancer.StatedBrittle(req.Service, time.Now()); stated {
		known = &rejections
	}
	var reply placementReply
	err = client.CallResult(ctx, methodPlace, placementRequest{
		Brittle: known,
		Service: req.Service, Parts: req.Parts, Tokens: req.Tokens, Tried: req.Tried,
		RemainingMillis: time.Until(deadline).Milliseconds(), DataCentre: c.rt.cfg.DataCentre,
		Excluded: c.rt.balancer.UnusableIDs(req, time.Now()), Homes: req.Homes, SoftwareVersion: req.SoftwareVersion,
		Resumable: req.Resumable,
	}, &reply)
	if err != nil {
		var rpcErr *jrpc2.Error
		if errors.As(err, &rpcErr) {
			return nil, errors.Wrap(cicadaplace.ErrNoRunner, rpcErr.Message)
		}
		return nil, errors.Wrap(err, "request placement")
	}
	if reply.NoRoom {
		return nil, &cicadaplace.NoRoomError{}
	}
	assignment, err := c.rt.balancer.AssignTo(reply.RunnerID, req, time.Now())
	if err != nil {
		// The placement server does not yet know what this router knows about the runner.
		c.notify(client, methodEnded, endedNotice{LeaseID: reply.LeaseID, Result: cicadaplace.CallerCancelled})
		return nil, err
	}
	return &placement{Assignment: assignment, client: client, leaseID: reply.LeaseID, server: name, forecast: reply.Forecast}, nil
}

// responseStarted records that the runner has processed the prompt, here and at the placement server. took
// is the time to the first event, or zero if that says nothing about the runner. load is what the runner
// reported at reportedAt, or nil.
func (c *placementClient) responseStarted(p *placement, took time.Duration, load *cicadaplace.Load, reportedAt time.Time) {
	now := time.Now()
	p.ResponseStarted()
	if took > 0 {
		p.ObserveFirstEvent(took, now)
	}
	if p.client == nil || p.startedSent {
		return
	}
	p.startedSent = true
	notice := startedNotice{LeaseID: p.leaseID}
	if took > 0 {
		notice.TookMillis = max(took.Milliseconds(), 1)
	}
	if load != nil && load.Slowness > 0 {
		notice.Load = &loadNotice{
			Running: load.Running, Waiting: load.Waiting, Slots: load.Slots, Slowness: load.Slowness,
			AgeMillis: now.Sub(reportedAt).Milliseconds(),
		}
	}
	c.notify(p.client, methodStarted, notice)
}

// finish ends the assignment here and the lease at the placement server. It returns for how long
// this router ejects the runner; zero if it does not.
func (c *placementClient) finish(p *placement, res cicadaplace.Result) time.Duration {
	if p.client != nil && !p.endedSent {
		p.endedSent = true
		c.notify(p.client, methodEnded, endedNotice{LeaseID: p.leaseID, Result: res})
	}
	return p.Finish(res, time.Now())
}
