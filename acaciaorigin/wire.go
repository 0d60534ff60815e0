package acaciaorigin

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/acaciaroute/acaciaroute/acaciasite"
	"github.com/acaciaroute/acaciaroute/acaciawire"
)

// originIndex assigns the versions of a message their indexes.
type originIndex struct {
	wire    *acaciawire.StreamOrigins
	indexes map[acaciasite.Origin]uint32
}

// Encode returns the report as part of a message between processes; nil if it is empty.
func (r Report) Encode() *acaciawire.StreamOrigins {
	if len(r.Versions) == 0 && len(r.Streams) == 0 {
		return nil
	}
	index := newOriginIndex()
	for _, version := range r.Versions {
		index.addInService(version)
	}
	index.addStreams(r.Streams)
	return index.wire
}

// DecodeReport converts the part of a message that Encode returned. Streams of unknown versions
// are left out.
func DecodeReport(wire *acaciawire.StreamOrigins) Report {
	var report Report
	for _, version := range wire.GetVersions() {
		if version.InService {
			report.Versions = append(report.Versions, Version{Origin: originOf(version), LeftAgo: time.Duration(version.LeftMsAgo) * time.Millisecond})
		}
	}
	for i, key := range wire.GetStreams() {
		if i >= len(wire.StreamVersions) || int(wire.StreamVersions[i]) >= len(wire.Versions) {
			continue
		}
		report.Streams = append(report.Streams, Stream{Key: Key(key), Origin: originOf(wire.Versions[wire.StreamVersions[i]])})
	}
	return report
}

// Encode returns the encoding of the record.
func (r Record) Encode() ([]byte, error) {
	index := newOriginIndex()
	for _, origin := range r.Versions {
		index.addInService(Version{Origin: origin})
	}
	index.addStreams(r.Streams)
	index.wire.WrittenMs, index.wire.Complete, index.wire.SettledEra = r.WrittenAt.UnixMilli(), r.Complete, r.SettledEra
	return proto.Marshal(index.wire)
}

// DecodeRecord parses a record encoded by Encode.
func DecodeRecord(data []byte) (Record, error) {
	wire := &acaciawire.StreamOrigins{}
	if err := proto.Unmarshal(data, wire); err != nil {
		return Record{}, err
	}
	report := DecodeReport(wire)
	record := Record{WrittenAt: time.UnixMilli(wire.WrittenMs), Complete: wire.Complete, Streams: report.Streams, SettledEra: wire.SettledEra}
	for _, version := range report.Versions {
		record.Versions = append(record.Versions, version.Origin)
	}
	return record, nil
}

func newOriginIndex() *originIndex {
	return &originIndex{wire: &acaciawire.StreamOrigins{}, indexes: map[acaciasite.Origin]uint32{}}
}

// indexOf returns the index of an origin, which it adds if it is new.
func (i *originIndex) indexOf(origin acaciasite.Origin) uint32 {
	index, known := i.indexes[origin]
	if !known {
		index = uint32(len(i.wire.Versions))
		i.indexes[origin] = index
		i.wire.Versions = append(i.wire.Versions, &acaciawire.ServiceVersion{Service: origin.Service, Version: origin.Version})
	}
	return index
}

func (i *originIndex) addInService(version Version) {
	wire := i.wire.Versions[i.indexOf(version.Origin)]
	wire.InService, wire.LeftMsAgo = true, uint32(version.LeftAgo.Milliseconds())
}

func (i *originIndex) addStreams(streams []Stream) {
	for _, stream := range streams {
		i.wire.Streams = append(i.wire.Streams, uint64(stream.Key))
		i.wire.StreamVersions = append(i.wire.StreamVersions, i.indexOf(stream.Origin))
	}
}

func originOf(version *acaciawire.ServiceVersion) acaciasite.Origin {
	return acaciasite.Origin{Service: version.Service, Version: version.Version}
}
