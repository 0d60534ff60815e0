package acaciaconfiguration

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"io"
)

// maxPublicationBytes bounds a publication once it is unpacked.
const maxPublicationBytes = 16 << 20

var errTooLong = errors.New("the publication is too long")

// Encode returns the record of a publication: compressed JSON.
func (p Publication) Encode() ([]byte, error) {
	var buffer bytes.Buffer
	packed := gzip.NewWriter(&buffer)
	if err := json.NewEncoder(packed).Encode(p); err != nil {
		return nil, err
	}
	if err := packed.Close(); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// decodePublication reads a record; JSON that is not compressed is one, too.
func decodePublication(data []byte) (Publication, error) {
	text, err := unpack(data)
	if err != nil {
		return Publication{}, err
	}
	var publication Publication
	err = json.Unmarshal(text, &publication)
	return publication, err
}

func unpack(data []byte) ([]byte, error) {
	if bytes.HasPrefix(data, []byte("{")) {
		return data, nil
	}
	packed, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	text, err := io.ReadAll(io.LimitReader(packed, maxPublicationBytes+1))
	if err == nil && len(text) > maxPublicationBytes {
		err = errTooLong
	}
	return text, err
}
