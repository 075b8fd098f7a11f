package partition

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"
)

// compressThreshold is the encoded size in bytes from which a record is compressed. Operation and agent names repeat within
// a group of operations, so a group shrinks to a fraction of its size. A single operation does not shrink.
const compressThreshold = 512

// maxDecompressedBytes limits the size of a decompressed value, so that a corrupt one cannot exhaust memory.
const maxDecompressedBytes = 256 << 20

// compressedRecord is the stored form of a compressed record.
type compressedRecord struct {
	Z []byte `json:"z,omitempty"`
}

// encodeRecord serialises a record's payload. Payloads below compressThreshold stay plain JSON.
func encodeRecord(data recordData) ([]byte, error) {
	plain, err := json.Marshal(data)
	if err != nil || len(plain) < compressThreshold {
		return plain, eris.Wrap(err, "encode partition record")
	}
	z, err := deflate(plain)
	if err != nil {
		return nil, err
	}
	out, err := json.Marshal(compressedRecord{Z: z})
	return out, eris.Wrap(err, "encode packed record")
}

// decodeRecord parses plain and compressed records.
func decodeRecord(value []byte) (recordData, error) {
	var data recordData
	var compressed compressedRecord
	if err := json.Unmarshal(value, &compressed); err != nil {
		return data, eris.Wrap(err, "decode partition record")
	}
	if len(compressed.Z) > 0 {
		plain, err := inflate(compressed.Z)
		if err != nil {
			return data, err
		}
		value = plain
	}
	return data, eris.Wrap(json.Unmarshal(value, &data), "decode partition record")
}

// encodeSnapshot serialises and compresses a snapshot.
func encodeSnapshot(s snapshot) ([]byte, error) {
	plain, err := json.Marshal(s)
	if err != nil {
		return nil, eris.Wrap(err, "encode partition snapshot")
	}
	return deflate(plain)
}

// decodeSnapshot parses a compressed or plain snapshot. A plain one is JSON and starts with a brace.
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
	plain, err := io.ReadAll(io.LimitReader(r, maxDecompressedBytes))
	return plain, eris.Wrap(err, "decompress")
}
