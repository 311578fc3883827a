package cicadaedge

import (
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

const (
	// maxBufferedBytes bounds an answer that is held until it is whole.
	maxBufferedBytes = 16 << 20
	// bufferMemoryShare is the part of the process's memory that all such answers may hold
	// together, beyond smallAnswer bytes of each: answers without end shall not take the
	// room of those of the usual size. Without a bound on memory it is defaultHeldBytes.
	bufferMemoryShare  = 0.2
	defaultBufferBytes = 64 << 20
	uncountedBytes     = 64 << 10
	// bufferChunkBytes is read at a time.
	bufferChunkBytes = 32 << 10
)

var (
	errResponseTooLarge = errors.Errorf("the answer is larger than %d bytes", maxBufferedBytes)
	errBuffersFull      = errors.New("the answers that are being read hold as much as this process's memory allows")
)

type (
	// bodyBuffers counts the bytes of the answers that are held until they are whole.
	bodyBuffers struct {
		maxBytes int // bytes

		mu        sync.Mutex // guards bytes
		usedBytes int
	}

	// bufferedBody is an answer's body in pieces, so that it takes no more memory than it
	// has bytes.
	bufferedBody struct {
		chunks [][]byte
		length int
	}
)

// newBodyBuffers takes the memory beyond which the process is killed, in bytes; zero if it
// is not bounded.
func newBodyBuffers(memoryLimit int64) *bodyBuffers {
	if memoryLimit <= 0 {
		return &bodyBuffers{maxBytes: defaultBufferBytes}
	}
	return &bodyBuffers{maxBytes: int(bufferMemoryShare * float64(memoryLimit))}
}

// readAll reads an answer's body. What it returns, with an error too, counts until it is
// released.
func (b *bodyBuffers) readAll(resp *http.Response) (bufferedBody, error) {
	var body bufferedBody
	if resp.ContentLength > maxBufferedBytes {
		return body, errResponseTooLarge
	}
	size := bufferChunkBytes
	if resp.ContentLength >= 0 {
		// One more byte than there should be shows the end at once.
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

// readChunk reads size bytes, or fewer with an error. It keeps the reader's own error:
// io.EOF alone ends a body that is whole.
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

// add counts bytes. It tells whether there is room for them.
func (b *bodyBuffers) add(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.usedBytes += n
	return n <= 0 || b.usedBytes <= b.maxBytes
}

func (b *bodyBuffers) release(body *bufferedBody) { b.add(-countedBytes(body.length)) }

// countedBytes is the part of an answer that counts.
func countedBytes(length int) int { return max(length-uncountedBytes, 0) }

// writeTo writes the body.
func (b *bufferedBody) writeTo(w io.Writer) error {
	for _, chunk := range b.chunks {
		if _, err := w.Write(chunk); err != nil {
			return err
		}
	}
	return nil
}
