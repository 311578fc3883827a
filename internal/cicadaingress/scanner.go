package cicadaingress

import (
	"bytes"
	"strconv"
	"strings"
)

const (
	// maxFramingLine bounds, in bytes, the line of a header that states the length or the encoding of a body.
	maxFramingLine = 128
	// maxSizeDigits is the number of hexadecimal digits of a chunk's size that net/http accepts.
	maxSizeDigits = 16
	// maxChunkBytes is more than any body may have.
	maxChunkBytes = 1 << 62

	contentLength    = "Content-Length"
	transferEncoding = "Transfer-Encoding"
	upgrade          = "Upgrade"
	connectMethod    = "CONNECT "
)

// phase is the part of a connection that the next byte belongs to.
type phase uint8

const (
	phaseStart     phase = iota // before the first byte of a request
	phaseHeader                 // in the request line or a header line
	phaseBody                   // in a body of known length, remaining bytes
	phaseChunkSize              // in the line before a chunk
	phaseChunk                  // in a chunk, remaining bytes
	phaseTrailer                // in the lines after the last chunk
	phaseMessages               // in messages of one line each
	phaseUnknown                // bytes are not scanned until the next request
)

// Scanner follows the requests in the bytes of a connection, and counts the lines and bytes of their headers.
// It changes no byte and does not allocate.
type Scanner struct {
	limits *Limits
	phase  phase

	lines, size int   // lines and bytes of the header, the trailer or the message
	empty       int   // bytes of empty lines before the request
	extension   int   // bytes of chunk extensions in this body
	remaining   int64 // bytes until the end of the body or the chunk
	heldCost    int64 // memory of the whole headers since release

	// partial holds the beginning of a line that was not read whole; lineSize is its length so far, and tail its
	// last two bytes.
	partial  [maxFramingLine]byte
	lineSize int
	tail     [2]byte

	http10, chunked, hasLength, opaque bool
	framingLine                        bool // the line before states length or encoding
	sizeEnded                          bool // the size of the chunk was read
	digits                             int
}

// NewScanner returns a scanner at the start of a connection.
func NewScanner(limits *Limits) *Scanner { return &Scanner{limits: limits} }

// Scan follows the next bytes of the connection, and returns the limit that they exceed, or Within.
func (s *Scanner) Scan(p []byte) Limit {
	limit := Within
	for len(p) > 0 && limit == Within {
		switch s.phase {
		case phaseStart:
			p, limit = s.scanStart(p)
		case phaseHeader:
			p, limit = s.scanHeader(p)
		case phaseBody:
			if p = s.skip(p); s.remaining == 0 {
				s.phase = phaseStart
			}
		case phaseChunk:
			if p = s.skip(p); s.remaining == 0 {
				s.phase, s.sizeEnded, s.digits, s.remaining = phaseChunkSize, false, 0, 0
			}
		case phaseChunkSize:
			p, limit = s.scanChunkSize(p)
		case phaseTrailer:
			p, limit = s.scanTrailer(p)
		case phaseMessages:
			return s.scanMessages(p)
		case phaseUnknown:
			return Within
		}
	}
	return limit
}

// awaitsHeader reports whether the bytes end before or in a request header.
func (s *Scanner) awaitsHeader() bool { return s.phase <= phaseHeader }

// AtStart reports whether the bytes end between two requests.
func (s *Scanner) AtStart() bool { return s.phase == phaseStart && s.empty == 0 }

// awaitsBody reports whether the bytes end in the body of a request.
func (s *Scanner) awaitsBody() bool { return s.phase >= phaseBody && s.phase <= phaseTrailer }

// cost returns the memory that the headers take which were read.
func (s *Scanner) cost() int64 {
	if s.phase == phaseHeader || s.phase == phaseMessages {
		return s.heldCost + headerCost(s.lines, s.size)
	}
	return s.heldCost
}

func headerCost(lines, size int) int64 { return int64(lines)*costPerLine + int64(size)*costPerByte }

// release is called when the requests before have ended.
func (s *Scanner) release() {
	s.heldCost = 0
	if s.phase == phaseUnknown {
		s.phase, s.empty = phaseStart, 0
	}
}

func (s *Scanner) skip(p []byte) []byte {
	n := min(s.remaining, int64(len(p)))
	s.remaining -= n
	return p[n:]
}

// scanStart skips empty lines, which net/http allows after a POST request, and begins a header.
func (s *Scanner) scanStart(p []byte) ([]byte, Limit) {
	for len(p) > 0 && (p[0] == '\r' || p[0] == '\n') {
		p = p[1:]
		if s.empty++; s.empty > s.limits.EmptyBytes {
			return p, EmptyBytes
		}
	}
	if len(p) > 0 {
		s.phase, s.lines, s.size, s.lineSize, s.empty = phaseHeader, 0, 0, 0, 0
		s.http10, s.chunked, s.hasLength, s.opaque, s.framingLine = false, false, false, false, false
		s.remaining, s.extension = 0, 0
	}
	return p, Within
}

func (s *Scanner) scanHeader(p []byte) ([]byte, Limit) {
	for len(p) > 0 {
		i := bytes.IndexByte(p, '\n')
		if i < 0 {
			s.keep(p)
			s.size += len(p)
			return nil, s.checkHeader()
		}
		line, size := p[:i], s.lineSize+i
		if s.size += i + 1; s.lineSize > 0 {
			s.keep(line)
			line = s.partial[:min(size, maxFramingLine)]
		} else {
			s.keepTail(line)
		}
		p, s.lineSize = p[i+1:], 0
		if size == 0 || size == 1 && line[0] == '\r' {
			s.endHeader()
			return p, s.checkHeader()
		}
		s.lines++
		limit := s.scanLine(line, size)
		if limit == Within {
			limit = s.checkHeader()
		}
		if limit != Within {
			return p, limit
		}
	}
	return p, Within
}

// keep adds to the line that was not read whole.
func (s *Scanner) keep(p []byte) {
	if s.lineSize < maxFramingLine {
		copy(s.partial[s.lineSize:], p)
	}
	s.lineSize += len(p)
	s.keepTail(p)
}

func (s *Scanner) keepTail(p []byte) {
	switch n := len(p); n {
	case 0:
	case 1:
		s.tail[0], s.tail[1] = s.tail[1], p[0]
	default:
		s.tail[0], s.tail[1] = p[n-2], p[n-1]
	}
}

func (s *Scanner) checkHeader() Limit {
	if s.lines > s.limits.HeaderLines+1 { // the request line is not a header line
		return HeaderLines
	}
	if s.size > s.limits.HeaderBytes {
		return HeaderBytes
	}
	return Within
}

// scanLine reads a line of a header. If it was not read at once, only its beginning is known.
func (s *Scanner) scanLine(line []byte, size int) Limit {
	if s.lines == 1 {
		last := s.tail[1]
		if last == '\r' {
			last = s.tail[0]
		}
		s.http10 = last == '0'
		s.opaque = len(line) >= len(connectMethod) && string(line[:len(connectMethod)]) == connectMethod
		return Within
	}
	switch line[0] {
	case ' ', '\t':
		if s.framingLine { // net/http would join it to the line before
			return FramingLine
		}
		return Within
	case 'c', 'C', 't', 'T', 'u', 'U':
	default:
		s.framingLine = false
		return Within
	}
	value, isLength := cutField(line, contentLength)
	isEncoding, isUpgrade := false, false
	if !isLength {
		if value, isEncoding = cutField(line, transferEncoding); !isEncoding {
			_, isUpgrade = cutField(line, upgrade)
			s.opaque = s.opaque || isUpgrade
		}
	}
	s.framingLine = isLength || isEncoding
	switch {
	case s.framingLine && size > maxFramingLine:
		return FramingLine
	case isLength:
		s.setLength(value)
	case isEncoding && !s.http10:
		s.chunked = true
		// net/http answers other encodings, and more than one of them, with an error.
		s.opaque = s.opaque || !strings.EqualFold(string(value), "chunked")
	}
	return Within
}

// cutField returns the value of a header line with a name.
func cutField(line []byte, name string) ([]byte, bool) {
	if len(line) <= len(name) || line[len(name)] != ':' {
		return nil, false
	}
	for i := range len(name) {
		if line[i]|0x20 != name[i]|0x20 {
			return nil, false
		}
	}
	return bytes.Trim(line[len(name)+1:], " \t\r"), true
}

func (s *Scanner) setLength(value []byte) {
	if s.hasLength {
		return // net/http answers different lengths with an error
	}
	n, err := strconv.ParseUint(string(value), 10, 63)
	s.hasLength, s.remaining = true, int64(n)
	s.opaque = s.opaque || err != nil // net/http answers it with an error
}

func (s *Scanner) endHeader() {
	s.heldCost += headerCost(s.lines, s.size)
	switch {
	case s.opaque:
		s.phase = phaseUnknown
	case s.chunked:
		s.phase, s.sizeEnded, s.digits, s.remaining = phaseChunkSize, false, 0, 0
	case s.remaining > 0:
		s.phase = phaseBody
	default:
		s.phase = phaseStart
	}
}

// scanChunkSize reads the line before a chunk: its size, and extensions.
func (s *Scanner) scanChunkSize(p []byte) ([]byte, Limit) {
	for i, b := range p {
		if b == '\n' {
			s.endChunkSize()
			return p[i+1:], Within
		}
		digit, ok := hexDigit(b)
		if !s.sizeEnded && ok && s.digits < maxSizeDigits {
			s.remaining = s.remaining<<4 | digit
			s.digits++
			continue
		}
		if b == '\r' && !s.sizeEnded {
			continue
		}
		s.sizeEnded = true
		if s.extension++; s.extension > s.limits.ExtensionBytes {
			return nil, ExtensionBytes
		}
	}
	return nil, Within
}

func (s *Scanner) endChunkSize() {
	switch {
	case s.remaining < 0 || s.remaining > maxChunkBytes || s.digits == 0:
		s.phase = phaseUnknown // net/http ends the connection with an error, or the limits for bodies apply
	case s.remaining == 0:
		s.phase, s.lines, s.size, s.lineSize = phaseTrailer, 0, 0, 0
	default:
		s.phase = phaseChunk
		s.remaining += int64(len("\r\n"))
	}
}

func hexDigit(b byte) (int64, bool) {
	switch {
	case b >= '0' && b <= '9':
		return int64(b - '0'), true
	case b|0x20 >= 'a' && b|0x20 <= 'f':
		return int64(b|0x20-'a') + 10, true
	default:
		return 0, false
	}
}

func (s *Scanner) scanTrailer(p []byte) ([]byte, Limit) {
	for i, b := range p {
		s.size++
		switch {
		case b == '\n' && s.lineSize == 0:
			s.phase = phaseStart
			return p[i+1:], Within
		case b == '\n':
			s.lines++
			s.lineSize = 0
		case b != '\r':
			s.lineSize++
		}
		if s.size > s.limits.TrailerBytes || s.lines > s.limits.HeaderLines {
			return nil, TrailerBytes
		}
	}
	return nil, Within
}

// scanMessages counts the bytes since the end of the last message.
func (s *Scanner) scanMessages(p []byte) Limit {
	if i := bytes.LastIndexByte(p, '\n'); i >= 0 {
		s.size, p = 0, p[i+1:]
	}
	if s.size += len(p); s.size > s.limits.MessageBytes {
		return MessageBytes
	}
	return Within
}
