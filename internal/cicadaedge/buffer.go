package cicadaedge

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

const (
	// maxBufferedBytes bounds a response body that is buffered completely before it is forwarded.
	maxBufferedBytes = 16 << 20
	// Shares of the process's memory limit that all buffered response bodies and events may use together,
	// and all request bodies. The first uncountedBytes of each are not counted, so that oversized ones
	// cannot use up the memory for those of the usual size. Without a memory limit, defaultBufferBytes
	// applies to each of the two.
	responseMemoryShare = 0.2
	requestMemoryShare  = 0.25
	defaultBufferBytes  = 64 << 20
	uncountedBytes      = 64 << 10
	// bufferChunkBytes is the size of one read.
	bufferChunkBytes = 32 << 10
	// growthFactor is the memory that a body of unknown length takes while it grows, for each byte.
	growthFactor = 2
)

var (
	errResponseTooLarge = errors.Errorf("the answer is larger than %d bytes", maxBufferedBytes)
	errBuffersFull      = errors.New("the bodies that are being held take as much as this process's memory allows")
)

type (
	// bodyBuffers counts the bytes of the bodies and events that are being buffered.
	bodyBuffers struct {
		maxBytes int

		mu        sync.Mutex // guards usedBytes
		usedBytes int
	}

	// bufferedBody is a response body in chunks, so that it takes at most one chunk more memory than
	// its length.
	bufferedBody struct {
		chunks [][]byte
		length int
	}
)

// newBodyBuffers returns buffers that may use a share of a process's memory limit in bytes; zero for no
// limit.
func newBodyBuffers(memoryLimit int64, share float64) *bodyBuffers {
	if memoryLimit <= 0 {
		return &bodyBuffers{maxBytes: defaultBufferBytes}
	}
	return &bodyBuffers{maxBytes: int(share * float64(memoryLimit))}
}

// readAll reads a response body. The returned body counts until it is released, also if it is
// returned with an error.
func (b *bodyBuffers) readAll(resp *http.Response) (bufferedBody, error) {
	var body bufferedBody
	if resp.ContentLength > maxBufferedBytes {
		return body, errResponseTooLarge
	}
	size := bufferChunkBytes
	if resp.ContentLength >= 0 {
		// Reading one byte more than expected detects the end without another read.
		size = int(min(resp.ContentLength+1, bufferChunkBytes))
	}
	for {
		chunk, err := readChunk(resp.Body, size)
		withinLimit := b.add(countedBytes(body.length+len(chunk)) - countedBytes(body.length))
		body.chunks, body.length = append(body.chunks, chunk), body.length+len(chunk)
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return body, err
		case body.length > maxBufferedBytes:
			return body, errResponseTooLarge
		case !withinLimit:
			return body, errBuffersFull
		}
		size = bufferChunkBytes
	}
}

// readChunk reads size bytes, or fewer with an error. It returns the reader's own error, since
// only io.EOF marks the end of a complete body.
func readChunk(r io.Reader, size int) ([]byte, error) {
	chunk := make([]byte, size)
	for used := 0; ; {
		n, err := r.Read(chunk[used:])
		used += n
		if err != nil || used == size {
			return chunk[:used], err
		}
	}
}

// add adds to the number of counted bytes, and reports whether they are within the limit. If it
// adds none, it always returns true: small bodies are accepted even when the memory is used up.
func (b *bodyBuffers) add(n int) bool {
	if n == 0 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.usedBytes += n
	return n < 0 || b.usedBytes <= b.maxBytes
}

func (b *bodyBuffers) release(body *bufferedBody) { b.add(-countedBytes(body.length)) }

// countedBytes returns how many bytes of a body of some length are counted.
func countedBytes(length int) int { return max(length-uncountedBytes, 0) }

func (b *bufferedBody) writeTo(w io.Writer) error {
	for _, chunk := range b.chunks {
		if _, err := w.Write(chunk); err != nil {
			return err
		}
	}
	return nil
}

// readEvent reads one event, up to and including the empty line at its end. The returned event counts
// until it is released, also if it is returned with an error.
func (b *bodyBuffers) readEvent(r *bufio.Reader) (event, error) {
	var ev event
	inLine := false // the beginning of the line was read before
	for {
		line, err := r.ReadSlice('\n')
		withinLimit := b.add(countedBytes(len(ev.raw)+len(line)) - countedBytes(len(ev.raw)))
		ev.raw = append(ev.raw, line...)
		switch {
		case len(ev.raw) > maxEventBytes:
			return ev, errEventTooLarge
		case !withinLimit:
			return ev, errBuffersFull
		case errors.Is(err, bufio.ErrBufferFull):
			inLine = true
			continue
		case err != nil:
			return ev, err
		case inLine:
			inLine = false
			continue
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return ev, nil
		}
		if value, ok := bytes.CutPrefix(text, idField); ok {
			ev.id = string(bytes.TrimSpace(value))
		}
	}
}

func (b *bodyBuffers) releaseEvent(ev *event) { b.add(-countedBytes(len(ev.raw))) }

// readRequest reads a request body of a length, or of an unknown one if it is not positive. It returns the
// body and the counted bytes, which count until they are released, also with an error.
func (b *bodyBuffers) readRequest(r io.Reader, length int64) (body []byte, counted int, err error) {
	if length > 0 {
		if counted = countedBytes(int(length)); !b.add(counted) {
			return nil, counted, errBuffersFull
		}
		body = make([]byte, length)
		_, err = io.ReadFull(r, body)
		return body, counted, err
	}
	for {
		chunk, err := readChunk(r, bufferChunkBytes)
		n := growthFactor * (countedBytes(len(body)+len(chunk)) - countedBytes(len(body)))
		counted += n
		if !b.add(n) {
			return nil, counted, errBuffersFull
		}
		body = append(body, chunk...)
		if errors.Is(err, io.EOF) {
			return body, counted, nil
		}
		if err != nil {
			return body, counted, err
		}
	}
}
