package cicadaedge

import (
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

const (
	// maxAnswerBytes bounds an answer that is held until it is whole.
	maxAnswerBytes = 16 << 20
	// heldShare is the part of the process's memory that all such answers may hold
	// together, beyond smallAnswer bytes of each: answers without end shall not take the
	// room of those of the usual size. Without a bound on memory it is defaultHeldBytes.
	heldShare        = 0.2
	defaultHeldBytes = 64 << 20
	smallAnswer      = 64 << 10
	// heldPiece is read at a time.
	heldPiece = 32 << 10
)

var (
	errLargeAnswer = errors.Errorf("the answer is larger than %d bytes", maxAnswerBytes)
	errNoRoom      = errors.New("the answers that are being read hold as much as this process's memory allows")
)

type (
	// heldAnswers counts the bytes of the answers that are held until they are whole.
	heldAnswers struct {
		most int // bytes

		mu    sync.Mutex // guards bytes
		bytes int
	}

	// heldBody is an answer's body in pieces, so that it takes no more memory than it
	// has bytes.
	heldBody struct {
		pieces [][]byte
		length int
	}
)

// newHeldAnswers takes the memory beyond which the process is killed, in bytes; zero if it
// is not bounded.
func newHeldAnswers(memory int64) *heldAnswers {
	if memory <= 0 {
		return &heldAnswers{most: defaultHeldBytes}
	}
	return &heldAnswers{most: int(heldShare * float64(memory))}
}

// readAll reads an answer's body. What it returns, with an error too, counts until it is
// released.
func (h *heldAnswers) readAll(resp *http.Response) (heldBody, error) {
	var body heldBody
	if resp.ContentLength > maxAnswerBytes {
		return body, errLargeAnswer
	}
	size := heldPiece
	if resp.ContentLength >= 0 {
		// One more byte than there should be shows the end at once.
		size = int(min(resp.ContentLength+1, heldPiece))
	}
	for {
		piece, err := readPiece(resp.Body, size)
		room := h.add(counted(body.length+len(piece)) - counted(body.length))
		body.pieces, body.length = append(body.pieces, piece), body.length+len(piece)
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return body, err
		case body.length > maxAnswerBytes:
			return body, errLargeAnswer
		case !room:
			return body, errNoRoom
		}
		size = heldPiece
	}
}

// readPiece reads size bytes, or fewer with an error. It keeps the reader's own error:
// io.EOF alone ends a body that is whole.
func readPiece(r io.Reader, size int) ([]byte, error) {
	piece := make([]byte, size)
	for used := 0; ; {
		n, err := r.Read(piece[used:])
		used += n
		if err != nil || used == size {
			return piece[:used], err
		}
	}
}

// add counts bytes. It tells whether there is room for them.
func (h *heldAnswers) add(n int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.bytes += n
	return n <= 0 || h.bytes <= h.most
}

func (h *heldAnswers) release(body *heldBody) { h.add(-counted(body.length)) }

// counted is the part of an answer that counts.
func counted(length int) int { return max(length-smallAnswer, 0) }

// writeTo writes the body.
func (b *heldBody) writeTo(w io.Writer) error {
	for _, piece := range b.pieces {
		if _, err := w.Write(piece); err != nil {
			return err
		}
	}
	return nil
}
