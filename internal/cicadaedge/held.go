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
	// maxHeldBytes bounds what all such answers hold together, beyond smallAnswer bytes
	// of each: answers without end shall not take the room of those of the usual size.
	maxHeldBytes = 24 << 20
	smallAnswer  = 64 << 10
	// heldPiece is read at a time.
	heldPiece = 32 << 10
)

var (
	errLargeAnswer = errors.Errorf("the answer is larger than %d bytes", maxAnswerBytes)
	errNoRoom      = errors.Errorf("the answers that are being read hold more than %d bytes together", maxHeldBytes)
)

type (
	// heldAnswers counts the bytes of the answers that are held until they are whole.
	heldAnswers struct {
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
	return n <= 0 || h.bytes <= maxHeldBytes
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
