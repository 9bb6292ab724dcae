// Package scenario reads scenarios of rehearsals from TOML: a fleet of engines, a load,
// and a schedule of faults. A file is checked against a JSON Schema; errors name the
// key. Compile draws everything random, except the load, from the scenario's seed. The
// package plays nothing; the packages engine, news and load do.
package scenario

import (
	"bytes"
	"embed"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"sort"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

//go:embed schema.json
var schemaText []byte

//go:embed scenarios/*.toml
var shipped embed.FS

// Scenario holds the contents of a scenario file. Keys that end in _s are in seconds,
// those that end in _ms in milliseconds.
type Scenario struct {
	Name      string    `toml:"name"`
	About     string    `toml:"about"`
	Seed      uint64    `toml:"seed"`
	LengthS   float64   `toml:"length_s"`
	Gateways  int       `toml:"gateways"`
	Fleet     Fleet     `toml:"fleet"`
	Load      Load      `toml:"load"`
	Discovery Discovery `toml:"discovery"`
	Network   Network   `toml:"network"`
	Faults    []Fault   `toml:"fault"`
}

// Fleet describes the engines.
type Fleet struct {
	Zones    []string `toml:"zones"`
	CellSize int      `toml:"cell_size"` // engines in a cell, all in one zone
	// InitialPrefixShare is the share of a prefill engine's memory that the most used
	// shared prefixes fill at the start, as in a fleet that has run for a long time.
	InitialPrefixShare float64 `toml:"readers_begin"`
	Kinds              []Kind  `toml:"kind"`
}

// Kind is a kind of engine; nil fields keep the default. The defaults are those of the
// kind of the same name in engine.DefaultKinds. A kind of another name needs a role, and
// takes the defaults of prefill or decode-a.
type Kind struct {
	Name         string   `toml:"name"`
	Role         string   `toml:"role"`
	Count        int      `toml:"count"`
	Slots        *int     `toml:"slots"`
	MaxQueue     *int     `toml:"queue"`
	MemoryTokens *float64 `toml:"memory_tokens"`
	PrefillPerS  *float64 `toml:"read_per_s"`
	StepMs       *float64 `toml:"step_ms"`
	PerSeqMs     *float64 `toml:"per_seq_ms"`
	Speed        *float64 `toml:"speed"`
	SpeedCV      *float64 `toml:"speed_cv"`
	ColdCapacity *float64 `toml:"cold_from"`
	WarmUpMs     *float64 `toml:"cold_ms"`
	MaxConns     *int     `toml:"conns"`
	Cancel       *string  `toml:"cancel"`
	DropExpired  *bool    `toml:"drop_expired"`
	ErrorRate    *float64 `toml:"error_rate"`
}

// Load describes the clients and their requests.
type Load struct {
	RatePerS    float64   `toml:"rate_per_s"` // first tries per second, over all classes
	BurstCV     float64   `toml:"burst_cv"`   // coefficient of variation of the rate from second to second
	Retries     int       `toml:"retries"`    // maximum of a client after a refusal or a failure
	TryShare    float64   `toml:"try_share"`  // share of the class's deadline after which a client abandons a try
	Honour      float64   `toml:"honour"`     // share of clients that wait as Retry-After says
	BackoffMs   float64   `toml:"backoff_ms"` // before the first retry; doubles with each one
	Impatient   float64   `toml:"impatient"`  // share of tries whose client leaves early
	ZoneShares  []float64 `toml:"zone_shares"`
	Connections int       `toml:"connections"` // maximum of connections from clients to a gateway
	Classes     []Class   `toml:"class"`
}

// Class describes a class of requests and its sessions.
type Class struct {
	Name         string  `toml:"name"`
	Share        float64 `toml:"share"`        // of all requests
	AimMs        float64 `toml:"aim_ms"`       // to the first token, for full worth
	AimMsPerK    float64 `toml:"aim_ms_per_k"` // added to the aim per 1000 prompt tokens
	DeadlineMs   float64 `toml:"deadline_ms"`  // to the first token, over all tries
	TokenMs      float64 `toml:"token_ms"`     // per token after the first, for full worth
	Worth        float64 `toml:"worth"`
	LateWorth    float64 `toml:"late_worth"` // share of the worth that a late answer earns
	Effect       string  `toml:"effect"`     // pure or side_effect
	Turns        float64 `toml:"turns"`      // mean number of requests in a session
	ThinkMs      float64 `toml:"think_ms"`   // mean pause between an answer and the session's next request
	NewTokens    float64 `toml:"new_tokens"` // mean, added to the prompt by each turn
	NewSigma     float64 `toml:"new_sigma"`
	OutTokens    float64 `toml:"out_tokens"` // mean length of answers
	OutSigma     float64 `toml:"out_sigma"`
	MaxOut       int     `toml:"max_out"`       // limit that requests set for answers
	Prefixes     int     `toml:"prefixes"`      // number of prefixes that sessions share
	PrefixTokens float64 `toml:"prefix_tokens"` // mean length of a shared prefix
	PrefixShare  float64 `toml:"prefix_share"`  // share of sessions that begin with a shared prefix
	PrefixZipf   float64 `toml:"prefix_zipf"`   // exponent of the popularity of prefixes
}

// Discovery describes how late membership updates come: ranges from which the delay of
// each one is drawn.
type Discovery struct {
	NoticeMs       [2]float64 `toml:"notice_ms"`        // until an ended process is reported
	SilentNoticeMs [2]float64 `toml:"silent_notice_ms"` // until an unreachable machine is reported
	AddMs          [2]float64 `toml:"add_ms"`           // until a new or draining engine is reported
	SpreadMs       float64    `toml:"spread_ms"`        // between gateways
}

// Network is the one-way latency within a zone and between zones.
type Network struct {
	SameMs  float64 `toml:"same_ms"`
	CrossMs float64 `toml:"cross_ms"`
}

// Fault is a fault for a limited time, at the engines that are named or at a share of
// those that match the kind, zone and cell.
type Fault struct {
	Kind    string   `toml:"kind"`
	AtS     float64  `toml:"at_s"`
	LenS    float64  `toml:"len_s"`
	Share   float64  `toml:"share"`
	Engines []string `toml:"boxes"`
	OfKind  string   `toml:"of_kind"`
	OfZone  string   `toml:"of_zone"`
	OfCell  *int     `toml:"of_cell"`
	Gateway *int     `toml:"gateway"` // for faults of discovery: the only gateway whose agent is concerned; nil = all
	Factor  float64  `toml:"factor"`
}

// ErrUnknown is the error for a name that no shipped scenario has.
var ErrUnknown = errors.New("scenario: no such scenario")

// Names returns the names of the shipped scenarios, sorted.
func Names() []string {
	files, err := fs.Glob(shipped, "scenarios/*.toml")
	if err != nil {
		panic(err) // only a malformed pattern is an error
	}
	names := make([]string, len(files))
	for i, file := range files {
		names[i] = strings.TrimSuffix(strings.TrimPrefix(file, "scenarios/"), ".toml")
	}
	sort.Strings(names)
	return names
}

// Open reads a shipped scenario by its name, or a file by its path, which ends in .toml.
func Open(name string) (*Scenario, error) {
	raw, err := shipped.ReadFile("scenarios/" + name + ".toml")
	if err != nil {
		if !strings.HasSuffix(name, ".toml") {
			return nil, fmt.Errorf("%w: %q; shipped are %s", ErrUnknown, name, strings.Join(Names(), ", "))
		}
		if raw, err = os.ReadFile(name); err != nil {
			return nil, fmt.Errorf("scenario: %w", err)
		}
	}
	s, err := Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("scenario: %s: %w", name, err)
	}
	return s, nil
}

// Parse reads a scenario. The error names the faulty keys by their paths, such
// as fault[2].share.
func Parse(raw []byte) (*Scenario, error) {
	var tree map[string]any
	if _, err := toml.Decode(string(raw), &tree); err != nil {
		return nil, err
	}
	if err := validateSchema(tree); err != nil {
		return nil, err
	}
	s := defaults()
	if _, err := toml.Decode(string(raw), s); err != nil {
		return nil, err
	}
	s.fillDefaults()
	return s, s.checkConsistency()
}

// validateSchema validates a decoded file against the schema.
func validateSchema(tree map[string]any) error {
	raw, err := json.Marshal(tree) // the validator expects the types that JSON decodes to
	if err != nil {
		return err
	}
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
	if err != nil {
		return err
	}
	schema, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaText))
	if err != nil {
		return fmt.Errorf("schema: %w", err)
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource("scenario.json", schema); err != nil {
		return fmt.Errorf("schema: %w", err)
	}
	compiled, err := compiler.Compile("scenario.json")
	if err != nil {
		return fmt.Errorf("schema: %w", err)
	}
	err = compiled.Validate(doc)
	var invalid *jsonschema.ValidationError
	if errors.As(err, &invalid) {
		return errors.Join(leafErrors(invalid)...)
	}
	return err
}

// leafErrors returns the innermost causes of a validation error, each with its key.
func leafErrors(invalid *jsonschema.ValidationError) (errs []error) {
	for _, cause := range invalid.Causes {
		errs = append(errs, leafErrors(cause)...)
	}
	if len(invalid.Causes) == 0 {
		errs = append(errs, fmt.Errorf("%s: %s", keyPath(invalid.InstanceLocation), invalid.ErrorKind.LocalizedString(message.NewPrinter(language.English))))
	}
	return errs
}

// keyPath formats a location as a path of keys, such as fault[2].share.
func keyPath(parts []string) string {
	var b strings.Builder
	for _, part := range parts {
		switch {
		case strings.Trim(part, "0123456789") == "":
			b.WriteString("[" + part + "]")
		case b.Len() > 0:
			b.WriteString("." + part)
		default:
			b.WriteString(part)
		}
	}
	if b.Len() == 0 {
		return "the file"
	}
	return b.String()
}
