package acaciaconfiguration

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"io"
)

// maxPublicationBytes limits the size of a decompressed publication.
const maxPublicationBytes = 16 << 20

var errPublicationTooLong = errors.New("the decompressed publication is too long")

// Encode returns the publication as gzip-compressed JSON, the content of its record.
func (p Publication) Encode() ([]byte, error) {
	var buffer bytes.Buffer
	compressor := gzip.NewWriter(&buffer)
	if err := json.NewEncoder(compressor).Encode(p); err != nil {
		return nil, err
	}
	if err := compressor.Close(); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// decodePublication decodes the content of a record. It also accepts uncompressed
// JSON.
func decodePublication(data []byte) (Publication, error) {
	text, err := decompress(data)
	if err != nil {
		return Publication{}, err
	}
	var publication Publication
	err = json.Unmarshal(text, &publication)
	return publication, err
}

func decompress(data []byte) ([]byte, error) {
	if bytes.HasPrefix(data, []byte("{")) {
		return data, nil
	}
	decompressor, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	text, err := io.ReadAll(io.LimitReader(decompressor, maxPublicationBytes+1))
	if err == nil && len(text) > maxPublicationBytes {
		err = errPublicationTooLong
	}
	return text, err
}
