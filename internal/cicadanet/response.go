package cicadanet

import (
	"io"
	"strings"
	"sync"

	"github.com/pkg/errors"
)

const (
	// statusLineForm is the beginning of a status line, with 0 for any digit.
	statusLineForm = "HTTP/1.0 000"
	// statusOffset is where the status code begins in a status line.
	statusOffset = len("HTTP/1.0 ")
	// versionOffset is where the minor version is in a status line.
	versionOffset = len("HTTP/1.")
	// transferEncoding is the name of a field in lower case.
	transferEncoding = "transfer-encoding"
)

type (
	// headerPhase is the part of a response that the next byte belongs to.
	headerPhase uint8

	// ResponseChecker checks the headers of the responses on a connection, before net/http parses them. net/http
	// accepts headers that RFC 9112 does not allow, and may then miss the field that frames the body. The zero
	// value expects a response.
	ResponseChecker struct {
		mu     sync.Mutex // guards the fields below
		phase  headerPhase
		offset int // in the status line
		status int
		minor  byte // version of HTTP/1, a digit
		cr     bool // the byte before was a carriage return
		// matched is how many bytes of transferEncoding the name of the field begins with; -1 if it is another name.
		matched int
	}

	// responseReader checks the header of the response that it begins with.
	responseReader struct {
		r       io.Reader
		checker ResponseChecker
	}
)

const (
	phaseStatusLine headerPhase = iota // in statusLineForm
	phaseReason                        // in the rest of the status line
	phaseLineStart                     // at the beginning of a field line
	phaseName                          // in the name of a field
	phaseValue                         // in the value of a field, which net/http checks
	phaseHeaderEnd                     // after the carriage return of the empty line
	phaseBody                          // after the header; not checked
)

// CheckResponse returns a reader that checks the header of the response that r begins with.
func CheckResponse(r io.Reader) io.Reader { return &responseReader{r: r} }

// Read reads the response and what follows it.
func (r *responseReader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	if malformed := r.checker.Check(p[:n]); malformed != nil {
		return 0, malformed
	}
	return n, err
}

// Expect is called before each request that is sent on the connection.
func (c *ResponseChecker) Expect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begin()
}

// Check checks the next bytes that were read from the connection. After an error they must not be used.
func (c *ResponseChecker) Check(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, b := range p {
		if c.phase == phaseBody {
			return nil
		}
		if err := c.next(b); err != nil {
			return errors.WithMessage(err, "malformed response")
		}
	}
	return nil
}

// begin expects a status line.
func (c *ResponseChecker) begin() { c.phase, c.offset, c.status, c.cr = phaseStatusLine, 0, 0, false }

func (c *ResponseChecker) next(b byte) error {
	switch c.phase {
	case phaseStatusLine:
		return c.nextOfStatusLine(b)
	case phaseReason:
		return c.nextOfReason(b)
	case phaseLineStart:
		return c.nextOfLineStart(b)
	case phaseName:
		return c.nextOfName(b)
	case phaseValue:
		if b == '\n' {
			c.phase = phaseLineStart
		}
	case phaseHeaderEnd:
		if b != '\n' {
			return errors.Errorf("byte %q after a carriage return", b)
		}
		c.endHeader()
	case phaseBody:
	}
	return nil
}

func (c *ResponseChecker) nextOfStatusLine(b byte) error {
	isDigit := b >= '0' && b <= '9'
	if want := statusLineForm[c.offset]; b != want && (want != '0' || !isDigit) {
		return errors.Errorf("byte %q at offset %d of the status line", b, c.offset)
	}
	if c.offset == versionOffset {
		c.minor = b
	}
	if c.offset >= statusOffset {
		c.status = c.status*10 + int(b-'0')
	}
	if c.offset++; c.offset < len(statusLineForm) {
		return nil
	}
	c.phase = phaseReason
	// No request asks for another protocol.
	if c.status < 100 || c.status > 599 || c.status == 101 {
		return errors.Errorf("status %03d", c.status)
	}
	return nil
}

func (c *ResponseChecker) nextOfReason(b byte) error {
	isFirst := c.offset == len(statusLineForm)
	c.offset++
	switch {
	case b == '\n':
		c.phase = phaseLineStart
	case isFirst && b != ' ' && b != '\r':
		return errors.Errorf("byte %q after the status code", b)
	case c.cr, b < ' ' && b != '\t' && b != '\r', b == 0x7f:
		return errors.Errorf("byte %q in the status line", b)
	}
	c.cr = b == '\r'
	return nil
}

func (c *ResponseChecker) nextOfLineStart(b byte) error {
	switch {
	case b == '\n':
		c.endHeader()
	case b == '\r':
		c.phase = phaseHeaderEnd
	case b == ' ' || b == '\t':
		// Either a folded value, which RFC 9112, section 5.2, lets a proxy reject, or a malformed name. net/http
		// would join it to the value before.
		return errors.New("a field line begins with whitespace")
	case !isTokenByte(b):
		return errors.Errorf("byte %q in the name of a field", b)
	default:
		c.phase, c.matched = phaseName, 0
		c.matchName(b)
	}
	return nil
}

func (c *ResponseChecker) nextOfName(b byte) error {
	switch {
	case b == ':':
		// net/http ignores the encoding, and would take the chunks for the body.
		if c.matched == len(transferEncoding) && c.minor == '0' {
			return errors.New("an encoded response of version 1.0")
		}
		c.phase = phaseValue
	case !isTokenByte(b):
		return errors.Errorf("byte %q in the name of a field", b)
	default:
		c.matchName(b)
	}
	return nil
}

// endHeader expects the body, or the next response if this is an interim one.
func (c *ResponseChecker) endHeader() {
	if c.phase = phaseBody; c.status < 200 {
		c.begin()
	}
}

// matchName compares the next byte of a name with transferEncoding.
func (c *ResponseChecker) matchName(b byte) {
	if c.matched < 0 || c.matched == len(transferEncoding) || toLower(b) != transferEncoding[c.matched] {
		c.matched = -1
		return
	}
	c.matched++
}

func toLower(b byte) byte {
	if b >= 'A' && b <= 'Z' {
		b |= 0x20
	}
	return b
}

// isToken reports whether a text may be the name of a field.
func isToken(name string) bool {
	for _, b := range []byte(name) {
		if !isTokenByte(b) {
			return false
		}
	}
	return name != ""
}

// isTokenByte reports whether a byte may be in the name of a field.
func isTokenByte(b byte) bool {
	isLetter := toLower(b) >= 'a' && toLower(b) <= 'z'
	isDigit := b >= '0' && b <= '9'
	return isLetter || isDigit || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}
