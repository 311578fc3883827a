package cicadapeer

import (
	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
)

const (
	// dictionaryID marks the dictionary below. A change of it is a change of
	// the protocol's version.
	dictionaryID = 1
	// windowSize bounds the memory for one message, in bytes.
	windowSize = 128 << 10
	// concurrentCodecs bounds the messages that are worked on at once.
	concurrentCodecs = 4
)

// dictionary holds what most messages have in common. Messages are small, so
// without it there would be little to compress them against.
const dictionary = `{"jsonrpc":"2.0","id":"1","method":"config","params":{"have":0}}` +
	`{"jsonrpc":"2.0","id":"12","method":"recall","params":{"budgets":["` +
	`{"jsonrpc":"2.0","id":"123","method":"answer","params":{"requestID":"` +
	`{"jsonrpc":"2.0","id":"1234","result":{"found":true,"kept":{"status":200,"contentType":"application/json","body":"` +
	`{"jsonrpc":"2.0","id":"12345","result":{"v":{"k":"","s":"running","r":"","h":""}}}` +
	`{"jsonrpc":"2.0","id":"12345","result":{"v":{"s":"granted"}}}` +
	`{"jsonrpc":"2.0","id":"12","method":"beat","params":{"h":"","c":1}}{"jsonrpc":"2.0","id":"12","result":{"h":"","c":1}}` +
	`{"jsonrpc":"2.0","id":"123","result":{"i":[{"a":{"s":12,"x":[{"b":"","r":,"e":,"f":true}],"c":[{"b":"","u":` +
	`{"jsonrpc":"2.0","id":"123","result":{"i":[{"a":{"s":12,"g":[{"b":"","u":12}]}}]}}` +
	`{"jsonrpc":"2.0","id":"123","result":{"i":[{"a":{"s":12}}]}}` +
	`{"jsonrpc":"2.0","id":"12345","method":"claim","params":{"p":"/123","h":"","c":{"k":"","r":"","f":"` +
	`{"jsonrpc":"2.0","id":"123","method":"exchange","params":{"i":[{"p":"/123","x":{"h":"","s":12,` +
	`"a":[{"b":"","m":12,"w":12}],"t":[{"b":"","u":12}],"b":[{"r":"","b":"","k":"","u":12,"o":"cancelled","g":"` +
	`"}]}}]}}"b":[{"r":"","b":"","u":12,"o":"whole"}]}}]}}"b":[{"r":"","b":"","k":"","u":12,"o":"whole","g":"`

// The codecs are shared by all connections: each message stands for itself, so
// that a connection costs no compression state.
var (
	encoder = newEncoder()
	decoder = newDecoder()
)

func newEncoder() *zstd.Encoder {
	e, err := zstd.NewWriter(nil,
		zstd.WithEncoderDictRaw(dictionaryID, []byte(dictionary)), zstd.WithEncoderConcurrency(concurrentCodecs),
		zstd.WithWindowSize(windowSize), zstd.WithEncoderCRC(false), zstd.WithSingleSegment(true), zstd.WithLowerEncoderMem(true))
	if err != nil {
		panic(errors.Wrap(err, "make the peers' encoder")) // the options are constant
	}
	return e
}

func newDecoder() *zstd.Decoder {
	d, err := zstd.NewReader(nil,
		zstd.WithDecoderDictRaw(dictionaryID, []byte(dictionary)), zstd.WithDecoderConcurrency(concurrentCodecs),
		zstd.WithDecoderMaxMemory(maxMessage), zstd.WithDecoderLowmem(true))
	if err != nil {
		panic(errors.Wrap(err, "make the peers' decoder")) // the options are constant
	}
	return d
}

func compress(msg []byte) []byte { return encoder.EncodeAll(msg, nil) }

func decompress(data []byte) ([]byte, error) {
	msg, err := decoder.DecodeAll(data, nil)
	return msg, errors.Wrap(err, "decompress message")
}
