// Package cicadaresume tells at which software version of a service a broken stream began.
//
// What two software versions write for one stream does not fit together, and a caller that takes a broken
// stream up names only the request that brought the first event. Mostly a service has a single version for
// longer than a stream can last, which its History shows, and nothing needs to be known of a stream. While
// there are several versions, each router keeps where the streams began that it forwards: in memory, and in
// rows of the store for the other routers and for the time after all have ended. Rows are
// divided into buckets by stream, so that a router that looks for one stream reads few of them.
//
// The package does no I/O and reads no clock; callers pass in the time. Streams is safe for concurrent use.
package cicadaresume

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Buckets is the number of buckets into which streams are divided.
	Buckets = 16
	// maxStreams bounds the streams that are known at a time. A bucket's row stays far below the limit
	// of the store.
	maxStreams    = 32_000
	streamIDBytes = 8
	// sweepInterval is how often expired streams are removed while too many are known.
	sweepInterval = time.Second
)

type (
	// StreamID identifies a stream.
	StreamID uint64

	// Origin is where a stream began.
	Origin struct {
		Service         string `json:"service"`
		SoftwareVersion string `json:"software"`
	}

	// Streams holds where streams began.
	Streams struct {
		mu      sync.Mutex // guards the fields below
		byID    map[StreamID]stream
		sweptAt time.Time // when expired streams were last removed
	}

	stream struct {
		origin    Origin
		expiresAt time.Time // the caller has given up by then
	}

	// Row is the row of one router for one bucket.
	Row struct {
		Origins []OriginRow `json:"origins"`
		// UntilMillis is the time, of the store's clock, at which the last of the streams expires.
		UntilMillis int64 `json:"untilMillis"`
	}

	// OriginRow lists the streams of one origin.
	OriginRow struct {
		Origin
		// StreamIDs holds the ids in ascending order, streamIDBytes bytes each, the first byte highest.
		StreamIDs []byte `json:"streams"`
	}
)

// NewStreams returns an empty Streams.
func NewStreams() *Streams { return &Streams{byID: map[StreamID]stream{}} }

// NewStreamID returns the id of the stream whose first event an organisation's request brought. Requests
// of other organisations have other ids, so that they learn nothing of the stream.
func NewStreamID(organisation, requestID string) StreamID {
	return StreamID(xxhash.Sum64String(strconv.Itoa(len(organisation)) + " " + organisation + requestID))
}

// Bucket returns the bucket of a stream.
func (id StreamID) Bucket() int { return int(id % Buckets) }

// Begin records where a stream began, or that it goes on. It returns false if too many streams are known.
func (s *Streams) Begin(id StreamID, origin Origin, expiresAt, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.byID) >= maxStreams && now.Sub(s.sweptAt) >= sweepInterval {
		s.removeExpired(now)
	}
	if len(s.byID) >= maxStreams {
		return false
	}
	s.byID[id] = stream{origin: origin, expiresAt: expiresAt}
	return true
}

// Complete records that a stream is complete, and kept until a time only.
func (s *Streams) Complete(id StreamID, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st, ok := s.byID[id]; ok && until.Before(st.expiresAt) {
		st.expiresAt = until
		s.byID[id] = st
	}
}

// Find returns where a stream began, if that is known.
func (s *Streams) Find(id StreamID) (Origin, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.byID[id]
	return found.origin, ok
}

// Rows returns the rows, by bucket, of the streams that began at the included services. The argument shared
// is now by the store's clock.
func (s *Streams) Rows(include func(service string) bool, now time.Time, shared time.Duration) [Buckets]Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired(now)
	byOrigin := [Buckets]map[Origin][]StreamID{}
	var out [Buckets]Row
	for id, st := range s.byID {
		if !include(st.origin.Service) {
			continue
		}
		b := id.Bucket()
		if byOrigin[b] == nil {
			byOrigin[b] = map[Origin][]StreamID{}
		}
		byOrigin[b][st.origin] = append(byOrigin[b][st.origin], id)
		out[b].UntilMillis = max(out[b].UntilMillis, (shared + st.expiresAt.Sub(now)).Milliseconds())
	}
	for b := range out {
		for origin, ids := range byOrigin[b] {
			slices.Sort(ids)
			row := OriginRow{Origin: origin}
			for _, id := range ids {
				row.StreamIDs = binary.BigEndian.AppendUint64(row.StreamIDs, uint64(id))
			}
			out[b].Origins = append(out[b].Origins, row)
		}
		slices.SortFunc(out[b].Origins, func(a, b OriginRow) int { return a.compare(&b) })
	}
	return out
}

func (s *Streams) removeExpired(now time.Time) {
	s.sweptAt = now
	for id, st := range s.byID {
		if !now.Before(st.expiresAt) {
			delete(s.byID, id)
		}
	}
}

// Find returns where a stream began, if the row tells.
func (r *Row) Find(id StreamID) (Origin, bool) {
	for i := range r.Origins {
		ids := r.Origins[i].StreamIDs
		for ; len(ids) >= streamIDBytes; ids = ids[streamIDBytes:] {
			if StreamID(binary.BigEndian.Uint64(ids)) == id {
				return r.Origins[i].Origin, true
			}
		}
	}
	return Origin{}, false
}

// IsEmpty reports whether the row has no streams.
func (r *Row) IsEmpty() bool { return len(r.Origins) == 0 }

func (o *OriginRow) compare(other *OriginRow) int {
	return cmp.Or(strings.Compare(o.Service, other.Service), strings.Compare(o.SoftwareVersion, other.SoftwareVersion))
}
