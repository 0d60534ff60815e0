package acacialimit

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/acaciaroute/acaciaroute/acaciaconnection"
	"github.com/acaciaroute/acaciaroute/acaciamemory"
)

type (
	// Collector collects what holds memory and connections, and what gave way.
	Collector struct {
		settings Settings

		memoryBytes, memoryLimit, gaveWay, connections, connectionLimit, closed *prometheus.Desc
	}

	// Settings name what a Collector looks at. Requests, Answers and Messages may be nil.
	Settings struct {
		// Prefix begins the names of the metrics.
		Prefix   string
		Requests *acaciamemory.Requests
		Answers  *acaciamemory.Answers
		// Messages are those of other processes of the system.
		Messages *acaciamemory.Requests
		// Servers are the guards of the process's servers. The first one is that of callers.
		Servers []Server
		// Holders are further holders of memory.
		Holders []Holder
	}

	// Holder is a holder of memory, and how many bytes it holds and may hold.
	Holder struct {
		Name   string
		Memory func() (bytes, limit int64)
	}

	// Server is a server and the guard of its connections.
	Server struct {
		Name  string
		Guard *acaciaconnection.Guard
		// Peers reports whether the server's clients are other processes of the system, whose connections are a
		// holder of their own.
		Peers bool
	}
)

const (
	labelHolder = "holder"
	labelReason = "reason"
	labelServer = "server"

	holderRequests        = "requests"
	holderAnswers         = "answers"
	holderConnections     = "connections"
	holderMessages        = "messages"
	holderPeerConnections = "peer_connections"
)

// New returns a collector.
func New(settings Settings) *Collector {
	describe := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc(settings.Prefix+"_"+name, help, labels, nil)
	}
	return &Collector{
		settings:        settings,
		memoryBytes:     describe("memory_bytes", "Memory that a holder holds now.", labelHolder),
		memoryLimit:     describe("memory_limit_bytes", "Memory that a holder may hold; 0 for no limit.", labelHolder),
		gaveWay:         describe("memory_gave_way_total", "Requests that were evicted for others, or got no memory.", labelReason),
		connections:     describe("connections", "Open connections.", labelServer),
		connectionLimit: describe("connections_limit", "Connections that may be open; 0 for no limit.", labelServer),
		closed:          describe("closed_connections_total", "Connections that were closed for a limit.", labelServer, labelReason),
	}
}

// Describe implements prometheus.Collector.
func (c *Collector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{c.memoryBytes, c.memoryLimit, c.gaveWay, c.connections, c.connectionLimit, c.closed} {
		descriptions <- d
	}
}

// Collect implements prometheus.Collector.
func (c *Collector) Collect(metrics chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, value int64, label string) {
		metrics <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, float64(value), label)
	}
	counter := func(d *prometheus.Desc, value int64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(value), labels...)
	}
	hold := func(holder string, bytes, limit int64) {
		gauge(c.memoryBytes, bytes, holder)
		gauge(c.memoryLimit, limit, holder)
	}
	if c.settings.Requests != nil {
		requests := c.settings.Requests.Counts()
		hold(holderRequests, requests.Bytes, requests.Limit)
		counter(c.gaveWay, requests.Evicted, "evicted")
		counter(c.gaveWay, requests.Refused, "refused")
	}
	if c.settings.Messages != nil {
		messages := c.settings.Messages.Counts()
		hold(holderMessages, messages.Bytes, messages.Limit)
		counter(c.gaveWay, messages.Evicted, "message_evicted")
		counter(c.gaveWay, messages.Refused, "message_refused")
	}
	if c.settings.Answers != nil {
		answers := c.settings.Answers.Counts()
		hold(holderAnswers, answers.Bytes, answers.Limit)
	}
	for _, holder := range c.settings.Holders {
		bytes, limit := holder.Memory()
		hold(holder.Name, bytes, limit)
	}
	for i, server := range c.settings.Servers {
		counts := server.Guard.Counts()
		switch {
		case server.Peers:
			hold(holderPeerConnections, counts.Bytes, counts.MaxBytes)
		case i == 0:
			hold(holderConnections, counts.Bytes, counts.MaxBytes)
		}
		gauge(c.connections, int64(counts.Connections), server.Name)
		gauge(c.connectionLimit, int64(counts.MaxConnections), server.Name)
		for reason, n := range counts.Closed {
			counter(c.closed, n, server.Name, string(reason))
		}
	}
}
