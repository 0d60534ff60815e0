package acaciasetting

import (
	"math"
	"net/netip"
	"net/url"
	"os"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciatoml"
)

type (
	// Settings are the contents of the settings file of one process. Either Entry or
	// Agent is set.
	Settings struct {
		Process  Process  `toml:"process"`
		Platform Platform `toml:"platform"`
		Entry    *Entry   `toml:"entry"`
		Agent    *Agent   `toml:"agent"`
	}

	// Process holds the identity, location and limits of the process.
	Process struct {
		// ID is the ID of the process's VM in the platform's VM list.
		ID string `toml:"id"`
		// Address is the address at which other processes and operators reach it, as
		// IP:port.
		Address string `toml:"address"`
		// DataCentre and Region are the location of the VM.
		DataCentre string `toml:"data_centre"`
		Region     string `toml:"region"`
		// Metrics is an address, as IP:port, at which metrics are served in addition
		// to Address; empty for none.
		Metrics string `toml:"metrics"`
		// LogLinesPerSecond bounds the log lines per second for each kind of event;
		// failures may have ten times as many.
		LogLinesPerSecond int `toml:"log_lines_per_second"`
		// MemoryMB is the memory in MiB that the process may use, and MaxFDs the number of descriptors. Zero stands for
		// what the system has.
		MemoryMB int64 `toml:"memory_mb"`
		MaxFDs   int   `toml:"max_fds"`
		// DrainTime bounds how long a graceful stop may take.
		DrainTime acaciatoml.Duration `toml:"drain_time"`
	}

	// Platform holds the URLs of the platform's services, and their limits.
	Platform struct {
		Log    string `toml:"log"`
		VMList string `toml:"vm_list"`
		// WeightStore is the URL of the weight store. If it is empty, the process sends
		// no orders to engines.
		WeightStore string `toml:"weight_store"`
		// LinkBytesPerSecond is the bandwidth, in each direction, that requests and
		// answers may use on the link to other regions; zero for no bound.
		LinkBytesPerSecond int64 `toml:"link_bytes_per_second"`
		// LogRetention is how long the platform's log keeps records.
		LogRetention acaciatoml.Duration `toml:"log_retention"`
	}

	// Entry holds the settings of an entry.
	Entry struct {
		// Listen is the address at which callers reach the entry, as IP:port.
		Listen string `toml:"listen"`
		// MaxBodyBytes bounds the size of a request body.
		MaxBodyBytes int64 `toml:"max_body_bytes"`
		// BodyTimeout bounds how long a caller may take to send a request.
		BodyTimeout acaciatoml.Duration `toml:"body_timeout"`
	}

	// Agent holds the settings of an agent.
	Agent struct {
		// Kind is KindModel or KindPlain.
		Kind string `toml:"kind"`
		// Endpoint is the base URL of the endpoint.
		Endpoint string `toml:"endpoint"`
		// PlainLimit is how many calls a plain service may run at once.
		PlainLimit int `toml:"plain_limit"`
		// CacheTokens is the size of the engine's prefix cache in tokens.
		CacheTokens int `toml:"cache_tokens"`
		// ChecksFencing reports whether the engine refuses orders with outdated fencing
		// numbers.
		ChecksFencing bool `toml:"checks_fencing"`
		// AnswerBytes bounds the total size of the answers kept for callers that
		// reconnect.
		AnswerBytes int64 `toml:"answer_bytes"`
	}
)

const (
	// KindModel is the kind of an agent whose endpoint is a model engine.
	KindModel = "model"
	// KindPlain is the kind of an agent whose endpoint is a plain service.
	KindPlain = "plain"

	defaultLogLinesPerSecond = 100
	defaultMaxBodyBytes      = 4 << 20
	defaultBodyTimeout       = acaciatoml.Duration(20 * time.Second)
	defaultDrainTime         = acaciatoml.Duration(2 * time.Minute)
	defaultAnswerBytes       = 64 << 20
	defaultLogRetention      = acaciatoml.Duration(time.Hour)

	// maxMemoryMB is 16 TiB, more than machines have; in bytes, maxBytes, it fits many times into an int64.
	maxMemoryMB = 16 << 20
	maxBytes    = maxMemoryMB << 20
	// maxTime lets sums of times fit into a Duration.
	maxTime = acaciatoml.Duration(365 * 24 * time.Hour)
)

// Load reads and checks the settings file at path.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, &acaciaroute.Error{Code: acaciaroute.CodeBadSettings, Detail: "cannot read the settings file", Err: err}
	}
	return Parse(data)
}

// Parse parses and checks settings, and sets defaults. An error has CodeBadSettings and
// lists all problems.
func Parse(data []byte) (Settings, error) {
	settings := Settings{}
	document, err := acaciatoml.Decode(acaciaroute.CodeBadSettings, data, &settings)
	if err != nil {
		return Settings{}, err
	}
	settings.checkProcess(document)
	settings.checkPlatform(document)
	settings.checkRole(document)
	settings.checkEntry(document)
	settings.checkAgent(document)
	if err := document.Err(); err != nil {
		return Settings{}, err
	}
	return settings, nil
}

func (s *Settings) checkProcess(document *acaciatoml.Document) {
	if !document.Require("process", "id", "address", "data_centre", "region") {
		return
	}
	if s.Process.DrainTime == 0 {
		s.Process.DrainTime = defaultDrainTime
	}
	if s.Process.DrainTime < 0 {
		document.AddProblem("process.drain_time", "must be positive")
	}
	if s.Process.LogLinesPerSecond == 0 {
		s.Process.LogLinesPerSecond = defaultLogLinesPerSecond
	}
	checkNumber(document, "process.log_lines_per_second", int64(s.Process.LogLinesPerSecond), math.MaxInt32)
	checkNumber(document, "process.memory_mb", s.Process.MemoryMB, maxMemoryMB)
	checkNumber(document, "process.max_fds", int64(s.Process.MaxFDs), math.MaxInt32)
	checkTime(document, "process.drain_time", s.Process.DrainTime)
	if s.Process.Metrics != "" {
		checkAddress(document, "process.metrics", s.Process.Metrics)
	}
	checkAddress(document, "process.address", s.Process.Address)
}

func (s *Settings) checkPlatform(document *acaciatoml.Document) {
	if !document.Require("platform", "log", "vm_list") {
		return
	}
	if s.Platform.LogRetention == 0 {
		s.Platform.LogRetention = defaultLogRetention
	}
	if s.Platform.LinkBytesPerSecond < 0 {
		document.AddProblem("platform.link_bytes_per_second", "must not be negative")
	}
	checkNumber(document, "platform.link_bytes_per_second", max(s.Platform.LinkBytesPerSecond, 0), maxBytes)
	checkTime(document, "platform.log_retention", s.Platform.LogRetention)
	if s.Platform.LogRetention < 0 {
		document.AddProblem("platform.log_retention", "must be positive")
	}
	checkURL(document, "platform.log", s.Platform.Log)
	if s.Platform.WeightStore != "" {
		checkURL(document, "platform.weight_store", s.Platform.WeightStore)
	}
	checkURL(document, "platform.vm_list", s.Platform.VMList)
}

// checkRole checks that the process is either an entry or an agent.
func (s *Settings) checkRole(document *acaciatoml.Document) {
	if (s.Entry == nil) == (s.Agent == nil) {
		document.AddProblem("entry", "exactly one of the tables entry and agent is needed")
	}
}

func (s *Settings) checkEntry(document *acaciatoml.Document) {
	if s.Entry == nil {
		return
	}
	if !document.Require("entry", "listen") {
		return
	}
	if s.Entry.MaxBodyBytes == 0 {
		s.Entry.MaxBodyBytes = defaultMaxBodyBytes
	}
	checkNumber(document, "entry.max_body_bytes", s.Entry.MaxBodyBytes, maxBytes)
	checkTime(document, "entry.body_timeout", s.Entry.BodyTimeout)
	if s.Entry.BodyTimeout == 0 {
		s.Entry.BodyTimeout = defaultBodyTimeout
	}
	if s.Entry.BodyTimeout < 0 {
		document.AddProblem("entry.body_timeout", "must be positive")
	}
	checkAddress(document, "entry.listen", s.Entry.Listen)
}

func (s *Settings) checkAgent(document *acaciatoml.Document) {
	if s.Agent == nil {
		return
	}
	if !document.Require("agent", "kind", "endpoint") {
		return
	}
	if s.Agent.Kind != KindModel && s.Agent.Kind != KindPlain {
		document.AddProblem("agent.kind", "must be %q or %q", KindModel, KindPlain)
	}
	checkNumber(document, "agent.plain_limit", int64(s.Agent.PlainLimit), math.MaxInt32)
	checkNumber(document, "agent.cache_tokens", int64(s.Agent.CacheTokens), math.MaxInt32)
	if s.Agent.AnswerBytes == 0 {
		s.Agent.AnswerBytes = defaultAnswerBytes
	}
	checkNumber(document, "agent.answer_bytes", s.Agent.AnswerBytes, maxBytes)
	checkURL(document, "agent.endpoint", s.Agent.Endpoint)
}

// checkNumber checks that a number is between zero, for not set, and a bound.
func checkNumber(document *acaciatoml.Document, key string, value, most int64) {
	if value < 0 {
		document.AddProblem(key, "must be positive")
	}
	if value > most {
		document.AddProblem(key, "must be at most %d", most)
	}
}

// checkTime checks that a time is not longer than maxTime.
func checkTime(document *acaciatoml.Document, key string, value acaciatoml.Duration) {
	if value > maxTime {
		document.AddProblem(key, "must be at most %v", time.Duration(maxTime))
	}
}

func checkAddress(document *acaciatoml.Document, key, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		document.AddProblem(key, "must be IP:port, not %q", address)
	}
}

func checkURL(document *acaciatoml.Document, key, address string) {
	parsed, err := url.Parse(address)
	if err != nil || parsed.Scheme != "http" && parsed.Scheme != "https" || parsed.Host == "" {
		document.AddProblem(key, "must be an http or https URL, not %q", address)
	}
}
