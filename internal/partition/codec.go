package partition

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"
)

// packAbove is the size in bytes from which a record is compressed; the names of operations and agents repeat within
// a group, so groups shrink by several times, while a single operation gains nothing.
const packAbove = 512

// maxUnpacked bounds what a packed value may grow to, so that a damaged one cannot exhaust the memory.
const maxUnpacked = 256 << 20

// packed is the stored form of a compressed record.
type packed struct {
	Z []byte `json:"z,omitempty"`
}

// encodeRecord serialises a record's payload. Small ones stay readable JSON.
func encodeRecord(data recordData) ([]byte, error) {
	plain, err := json.Marshal(data)
	if err != nil || len(plain) < packAbove {
		return plain, eris.Wrap(err, "encode partition record")
	}
	z, err := deflate(plain)
	if err != nil {
		return nil, err
	}
	out, err := json.Marshal(packed{Z: z})
	return out, eris.Wrap(err, "encode packed record")
}

// decodeRecord parses both forms.
func decodeRecord(value []byte) (recordData, error) {
	var data recordData
	var p packed
	if err := json.Unmarshal(value, &p); err != nil {
		return data, eris.Wrap(err, "decode partition record")
	}
	if len(p.Z) > 0 {
		plain, err := inflate(p.Z)
		if err != nil {
			return data, err
		}
		value = plain
	}
	return data, eris.Wrap(json.Unmarshal(value, &data), "decode partition record")
}

// encodeSnapshot serialises a snapshot, compressed.
func encodeSnapshot(s snapshot) ([]byte, error) {
	plain, err := json.Marshal(s)
	if err != nil {
		return nil, eris.Wrap(err, "encode partition snapshot")
	}
	return deflate(plain)
}

// decodeSnapshot parses a snapshot; one that starts with a brace is not compressed.
func decodeSnapshot(value []byte) (snapshot, error) {
	var s snapshot
	if !bytes.HasPrefix(value, []byte("{")) {
		plain, err := inflate(value)
		if err != nil {
			return s, err
		}
		value = plain
	}
	return s, eris.Wrap(json.Unmarshal(value, &s), "decode partition snapshot")
}

func deflate(plain []byte) ([]byte, error) {
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "compress")
	}
	if _, err := w.Write(plain); err != nil {
		return nil, eris.Wrap(err, "compress")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "compress")
	}
	return buf.Bytes(), nil
}

func inflate(z []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(z))
	defer r.Close()
	plain, err := io.ReadAll(io.LimitReader(r, maxUnpacked))
	return plain, eris.Wrap(err, "decompress")
}
