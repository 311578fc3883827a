package cicadaedge

import (
	"bytes"
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

// heldAnswers counts the bytes of the answers that are held until they are whole.
type heldAnswers struct {
	mu    sync.Mutex // guards bytes
	bytes int
}

// readAll reads an answer's body. What it returns, with an error too, counts until it is
// released.
func (h *heldAnswers) readAll(resp *http.Response) ([]byte, error) {
	if resp.ContentLength > maxAnswerBytes {
		return nil, errLargeAnswer
	}
	var body bytes.Buffer
	for {
		before := body.Len()
		_, err := io.CopyN(&body, resp.Body, heldPiece)
		switch {
		case body.Len() > maxAnswerBytes:
			h.add(counted(maxAnswerBytes) - counted(before))
			return body.Bytes()[:maxAnswerBytes], errLargeAnswer
		case !h.add(counted(body.Len()) - counted(before)):
			return body.Bytes(), errNoRoom
		case errors.Is(err, io.EOF):
			return body.Bytes(), nil
		case err != nil:
			return body.Bytes(), err
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

func (h *heldAnswers) release(length int) { h.add(-counted(length)) }

// counted is the part of an answer that counts.
func counted(length int) int { return max(length-smallAnswer, 0) }
