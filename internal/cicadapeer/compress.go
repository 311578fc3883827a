package cicadapeer

import (
	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
)

const (
	// dictionaryID identifies the dictionary below. Changing the dictionary
	// requires a new protocol version.
	dictionaryID = 1
	// windowBytes is the zstd window size, which limits the memory used for one message.
	windowBytes = 128 << 10
	// codecConcurrency limits how many messages are compressed, or decompressed, at the same time.
	codecConcurrency = 4
)

// dictionary contains the text that most messages share. Messages are too small
// to compress well without it.
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

// The codecs are shared by all connections. Each message is compressed
// independently, so that connections hold no compression state.
var (
	encoder = newEncoder()
	decoder = newDecoder()
)

func newEncoder() *zstd.Encoder {
	e, err := zstd.NewWriter(nil,
		zstd.WithEncoderDictRaw(dictionaryID, []byte(dictionary)), zstd.WithEncoderConcurrency(codecConcurrency),
		zstd.WithWindowSize(windowBytes), zstd.WithEncoderCRC(false), zstd.WithSingleSegment(true), zstd.WithLowerEncoderMem(true))
	if err != nil {
		panic(errors.Wrap(err, "create zstd encoder for peer messages")) // the options are constant
	}
	return e
}

func newDecoder() *zstd.Decoder {
	d, err := zstd.NewReader(nil,
		zstd.WithDecoderDictRaw(dictionaryID, []byte(dictionary)), zstd.WithDecoderConcurrency(codecConcurrency),
		zstd.WithDecoderMaxMemory(maxMessageBytes), zstd.WithDecoderLowmem(true))
	if err != nil {
		panic(errors.Wrap(err, "create zstd decoder for peer messages")) // the options are constant
	}
	return d
}

func compress(msg []byte) []byte { return encoder.EncodeAll(msg, nil) }

func decompress(data []byte) ([]byte, error) {
	msg, err := decoder.DecodeAll(data, nil)
	return msg, errors.Wrap(err, "decompress peer message")
}
