// Package marshaler encodes and decodes the CBOR of messages between processes and of files.
//
// Strings may hold any bytes. Some of them come from callers and backend servers, and one that is
// no UTF-8 must not make the rest of a message or file unreadable.
package marshaler

import "github.com/fxamacker/cbor/v2"

var decoding = newDecoding()

func newDecoding() cbor.DecMode {
	m, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		// The options are constant.
		panic(err)
	}
	return m
}

// Marshal returns the encoding of v.
func Marshal(v any) ([]byte, error) { return cbor.Marshal(v) }

// Unmarshal decodes data into the value that v points to.
func Unmarshal(data []byte, v any) error { return decoding.Unmarshal(data, v) }
