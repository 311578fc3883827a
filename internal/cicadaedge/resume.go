package cicadaedge

import (
	"context"
	"slices"
	"time"

	"github.com/cicadadyke/cicadadyke/internal/cicadadeploy"
	"github.com/cicadadyke/cicadadyke/internal/cicadaplace"
	"github.com/cicadadyke/cicadadyke/internal/cicadaresume"
	"github.com/pkg/errors"
)

const (
	// maxViewAge is the age of this router's view of the runners up to which it tells at which software
	// versions streams have begun. Routers use later versions for new streams only after that time.
	maxViewAge = cicadaplace.VersionSettlingPeriod
	// maxStreamLife bounds the time for which it is kept where a stream began.
	maxStreamLife = 5 * time.Minute
	// completedStreamLife is the time for which it is kept where a complete stream began. Its last events
	// may not reach the caller.
	completedStreamLife = 2 * time.Second
)

// How it is known at which software version a stream began.
const (
	originOwn         originSource = "own"         // this router has forwarded it
	originRow         originSource = "row"         // of another process
	originOnlyVersion originSource = "onlyVersion" // the service had no other while the stream can have begun
	originUnknown     originSource = "unknown"
	originStoreSilent originSource = "storeSilent" // not known, and the store does not answer
)

// originSource is how it is known at which software version a stream began.
type originSource string

// isResumable reports whether the request is a stream that may go on at another runner.
func (q *request) isResumable() bool {
	return q.route.Kind == cicadadeploy.KindStream && q.route.Resumable
}

// isTakenUp reports whether the caller takes up a broken stream.
func (q *request) isTakenUp() bool { return q.info.LastEventID != "" && q.isResumable() }

// findOrigin determines at which software version a stream began that the caller takes up. If that is not
// known, the request is refused, as its runner might continue what another version wrote.
func (q *request) findOrigin(ctx context.Context) *refusal {
	q.streamID = cicadaresume.NewStreamID(q.organisationName(), q.info.ID)
	if !q.isTakenUp() {
		return nil
	}
	if began := q.info.FirstRequestID; began != "" {
		q.streamID = cicadaresume.NewStreamID(q.organisationName(), began)
		q.setService(q.route.SelectService(began))
	}
	origin, source := q.lookUpOrigin(ctx)
	q.originSource = source
	q.rt.cfg.Metrics.TakeUps.Add(string(source), 1)
	switch {
	case source == originStoreSilent:
		return &refusal{kind: RefuseStreamUnknown, retryAfter: retryAfterReturn, detail: "it cannot be read now at which software version the stream began"}
	case source == originUnknown:
		return &refusal{kind: RefuseStreamUnknown, detail: "it is not known at which software version the stream began; it has to be requested from the start"}
	case !slices.ContainsFunc(q.route.Targets, func(t cicadadeploy.Target) bool { return t.Service == origin.Service }):
		return &refusal{kind: RefuseStreamUnknown, detail: "the stream began at a service that its route no longer has; it has to be requested from the start"}
	}
	q.setService(origin.Service)
	q.origin = &origin
	return nil
}

// lookUpOrigin returns where the stream began: from this router's memory, by the history of the
// service's versions, or from the rows of the process that forwarded it.
func (q *request) lookUpOrigin(ctx context.Context) (cicadaresume.Origin, originSource) {
	if origin, ok := q.rt.streams.Find(q.streamID); ok {
		return origin, originOwn
	}
	version, err := q.onlyVersion(ctx)
	switch {
	case err != nil:
		q.cause = err
		return cicadaresume.Origin{}, originStoreSilent
	case version != "":
		return cicadaresume.Origin{Service: q.service.Name, SoftwareVersion: version}, originOnlyVersion
	}
	if q.info.FirstRequestID == "" {
		return cicadaresume.Origin{}, originUnknown
	}
	return q.findInRows(ctx)
}

// onlyVersion returns the software version of the service if, by the history in the store, the stream
// cannot have begun at another one; empty if it can. What this router knows does not decide alone: others
// may use a version that it has not seen yet, and that is not in the history either.
func (q *request) onlyVersion(ctx context.Context) (string, error) {
	now := time.Now()
	if q.rt.runnersAge(now) >= maxViewAge || len(q.rt.balancer.SoftwareVersions(q.service.Name, now)) > 1 {
		return "", nil
	}
	stored, err := q.rt.streamRows.versions(ctx, q.service.Name)
	if errors.Is(err, errNoHistory) {
		return "", nil
	}
	if err != nil {
		return "", err
	}
	// A caller that still waits longer than usual may have begun earlier.
	version, _ := q.rt.versions.onlyOf(q.service.Name, &stored, max(q.rt.streamLife(), q.info.Timeout), time.Now())
	return version, nil
}

// findInRows looks the stream up in the rows of other processes, twice if they do not have it yet.
func (q *request) findInRows(ctx context.Context) (cicadaresume.Origin, originSource) {
	for range 2 {
		origin, ok, err := q.rt.streamRows.find(ctx, q.streamID)
		if ok {
			return origin, originRow
		}
		if err != nil {
			q.cause = err
			return origin, originStoreSilent
		}
		sleep(ctx, streamRetryDelay)
	}
	return cicadaresume.Origin{}, originUnknown
}

func (q *request) organisationName() string {
	if q.org == nil {
		return ""
	}
	return q.org.Name
}

func (q *request) setService(name string) {
	if q.service = q.deployment.Service(name); q.service == nil {
		q.service = &cicadadeploy.Service{Name: name}
	}
}

// requiredVersion returns the software version at which a stream must go on; empty if it has not begun.
func (q *request) requiredVersion() string {
	switch {
	case q.origin != nil:
		return q.origin.SoftwareVersion
	case len(q.streamRuns) > 0:
		return q.streamRuns[0].SoftwareVersion
	default:
		return ""
	}
}

// recordBegin records where the stream began, for a caller that takes it up.
func (q *request) recordBegin() {
	version := q.requiredVersion()
	if !q.route.Resumable || version == "" {
		return
	}
	now := time.Now()
	life := min(max(q.info.Timeout, q.rt.streamLife()), maxStreamLife)
	if !q.rt.streams.Begin(q.streamID, cicadaresume.Origin{Service: q.service.Name, SoftwareVersion: version}, q.arrivedAt.Add(life), now) {
		q.rt.cfg.Metrics.Errors.Add("streamsForgotten", 1)
	}
	if !q.rt.versions.isSingle(q.service.Name, now) {
		q.rt.streamRows.began.send()
	}
}

// recordStreamEnd records the end of a stream from which the caller got events.
func (q *request) recordStreamEnd(res *result) {
	if len(q.streamRuns) == 0 || !q.route.Resumable {
		return
	}
	if res.abortErr == nil && !res.callerGone {
		q.rt.streams.Complete(q.streamID, time.Now().Add(completedStreamLife))
		return
	}
	if !q.rt.versions.isSingle(q.service.Name, time.Now()) {
		q.rt.streamRows.broken.send()
	}
}
