package cicadaingress

import "time"

const (
	defaultHeaderLines    = 256
	defaultHeaderBytes    = 64 << 10
	defaultEmptyBytes     = 16
	defaultExtensionBytes = 16 << 10
	defaultTrailerBytes   = 4 << 10
	defaultMessageBytes   = 1 << 20
	defaultWriteStall     = 15 * time.Second
	defaultHeaderTimeout  = 10 * time.Second

	// costPerConn, costPerLine and costPerByte are the memory that a connection and its request header take, in
	// bytes: 700 silent connections took 6 MB, and 300 headers of 2,200 lines and 13 KB took 77 MB.
	costPerConn = 10 << 10
	costPerLine = 112
	costPerByte = 2
)

// Limit is a limit for what a client may send or hold.
type Limit uint8

// The limits. Within stands for none.
const (
	Within Limit = iota
	HeaderLines
	HeaderBytes
	FramingLine
	EmptyBytes
	ExtensionBytes
	TrailerBytes
	MessageBytes
	WriteStall
	SlowBody
	MaxConns
	MemoryBytes
)

// limitNames are the names in counters, log lines and docs/OPERATIONS.md.
var limitNames = [...]string{
	Within: "within", HeaderLines: "headerLines", HeaderBytes: "headerBytes", FramingLine: "framingLine", EmptyBytes: "emptyBytes",
	ExtensionBytes: "extensionBytes", TrailerBytes: "trailerBytes", MessageBytes: "messageBytes", WriteStall: "writeStall",
	SlowBody: "slowBody", MaxConns: "maxConns", MemoryBytes: "memoryBytes",
}

// String returns the name of the limit.
func (l Limit) String() string { return limitNames[l] }

// Limits are limits of one connection. Zero values select the defaults.
type Limits struct {
	HeaderLines    int           // lines of a request header, without the request line
	HeaderBytes    int           // bytes of a request header
	EmptyBytes     int           // bytes of empty lines before a request
	ExtensionBytes int           // bytes of chunk extensions in one body
	TrailerBytes   int           // bytes of trailers; net/http accepts no longer ones
	MessageBytes   int           // bytes of a message on a listener with messages
	WriteStall     time.Duration // time for one write
}

func (l Limits) withDefaults() Limits {
	for _, f := range []struct {
		value      *int
		preference int
	}{
		{&l.HeaderLines, defaultHeaderLines},
		{&l.HeaderBytes, defaultHeaderBytes},
		{&l.EmptyBytes, defaultEmptyBytes},
		{&l.ExtensionBytes, defaultExtensionBytes},
		{&l.TrailerBytes, defaultTrailerBytes},
		{&l.MessageBytes, defaultMessageBytes},
	} {
		if *f.value == 0 {
			*f.value = f.preference
		}
	}
	if l.WriteStall == 0 {
		l.WriteStall = defaultWriteStall
	}
	return l
}
