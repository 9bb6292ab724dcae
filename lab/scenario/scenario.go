// Package scenario reads scenarios of rehearsals from TOML: a fleet, a load, and
// faults with their times. A file is validated against a JSON Schema; errors name the
// key. Compile draws everything random, except the load, from the scenario's seed.
// Running a scenario is up to lab/rehearse.
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

// Scenario is a scenario as its file defines it. Times are in seconds for keys that
// end in _s, in milliseconds for those that end in _ms.
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

// Fleet defines the engines and where they stand.
type Fleet struct {
	Zones    []string `toml:"zones"`
	CellSize int      `toml:"cell_size"` // engines of a cell, all in one zone
	// WarmPrefixShare is the share of a prefill engine's memory that the most used
	// shared prefixes fill at the start, as in a fleet that has run for long.
	WarmPrefixShare float64 `toml:"readers_begin"`
	Kinds           []Kind  `toml:"kind"`
}

// Kind is a kind of engine; fields that are set override its defaults. A kind with
// the name of one of engine.DefaultKinds takes its defaults from that.
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

// Load defines the requests and the behaviour of clients.
type Load struct {
	RatePerS        float64   `toml:"rate_per_s"` // requests without retries, over all classes
	BurstCV         float64   `toml:"burst_cv"`   // coefficient of variation of the rate from second to second
	Retries         int       `toml:"retries"`    // that a client makes at most after refusals or failures
	TryShare        float64   `toml:"try_share"`  // share of the class's deadline after which a try times out
	HonourShare     float64   `toml:"honour"`     // share of retries that wait for the time given in Retry-After
	BackoffMs       float64   `toml:"backoff_ms"` // before the first retry; doubles with each further one
	EarlyCloseShare float64   `toml:"impatient"`  // share of tries whose client closes its connection early
	ZoneShares      []float64 `toml:"zone_shares"`
	MaxConnections  int       `toml:"connections"` // that clients keep to one gateway at most
	Classes         []Class   `toml:"class"`
}

// Class is a class of requests.
type Class struct {
	Name            string  `toml:"name"`
	Share           float64 `toml:"share"` // of all requests
	AimMs           float64 `toml:"aim_ms"`
	AimMsPerKTokens float64 `toml:"aim_ms_per_k"`
	DeadlineMs      float64 `toml:"deadline_ms"`
	TokenMs         float64 `toml:"token_ms"`
	Worth           float64 `toml:"worth"`
	LateWorth       float64 `toml:"late_worth"`
	Effect          string  `toml:"effect"` // pure or side_effect
	Turns           float64 `toml:"turns"`
	ThinkMs         float64 `toml:"think_ms"`
	NewTokens       float64 `toml:"new_tokens"`
	NewSigma        float64 `toml:"new_sigma"`
	OutputTokens    float64 `toml:"out_tokens"`
	OutputSigma     float64 `toml:"out_sigma"`
	MaxOutput       int     `toml:"max_out"`
	Prefixes        int     `toml:"prefixes"`
	PrefixTokens    float64 `toml:"prefix_tokens"`
	PrefixShare     float64 `toml:"prefix_share"`
	PrefixZipf      float64 `toml:"prefix_zipf"`
}

// Discovery defines how late membership changes are reported: ranges from which the delay of each is drawn.
type Discovery struct {
	CrashNoticeMs   [2]float64 `toml:"notice_ms"`        // after a process has exited
	SilenceNoticeMs [2]float64 `toml:"silent_notice_ms"` // after a machine has fallen silent
	ChangeNoticeMs  [2]float64 `toml:"add_ms"`           // after an engine is up or drains
	SpreadMs        float64    `toml:"spread_ms"`        // between gateways
}

// Network defines one-way latencies, within a zone and between zones.
type Network struct {
	SameZoneMs  float64 `toml:"same_ms"`
	CrossZoneMs float64 `toml:"cross_ms"`
}

// Fault is a fault of limited duration, at the engines that are named or at a share
// of those that match.
type Fault struct {
	Kind      string   `toml:"kind"`
	StartS    float64  `toml:"at_s"`
	DurationS float64  `toml:"len_s"`
	Share     float64  `toml:"share"`
	Engines   []string `toml:"boxes"`
	OfKind    string   `toml:"of_kind"`
	OfZone    string   `toml:"of_zone"`
	OfCell    *int     `toml:"of_cell"`
	Gateway   *int     `toml:"gateway"` // for discovery faults: only at this gateway's agent
	Factor    float64  `toml:"factor"`
}

// ErrUnknown is returned for a name that no shipped scenario has.
var ErrUnknown = errors.New("scenario: no such scenario")

// Names returns the sorted names of the shipped scenarios.
func Names() []string {
	files, err := fs.Glob(shipped, "scenarios/*.toml")
	if err != nil {
		panic(err) // only for a malformed pattern
	}
	names := make([]string, len(files))
	for i, f := range files {
		names[i] = strings.TrimSuffix(strings.TrimPrefix(f, "scenarios/"), ".toml")
	}
	sort.Strings(names)
	return names
}

// Open reads a shipped scenario by its name, or a file by its path.
func Open(name string) (*Scenario, error) {
	raw, err := shipped.ReadFile("scenarios/" + name + ".toml")
	if err != nil {
		if !strings.HasSuffix(name, ".toml") {
			return nil, fmt.Errorf("%w: %q; the shipped ones are %s", ErrUnknown, name, strings.Join(Names(), ", "))
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

// Parse parses a scenario. The error names invalid keys by their paths, such as
// fault[2].share.
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
	s.applyDefaults()
	return s, s.validate()
}

// validateSchema validates a decoded file against the schema.
func validateSchema(tree map[string]any) error {
	raw, err := json.Marshal(tree) // the validator requires JSON types
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
	c := jsonschema.NewCompiler()
	if err := c.AddResource("scenario.json", schema); err != nil {
		return fmt.Errorf("schema: %w", err)
	}
	compiled, err := c.Compile("scenario.json")
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
func leafErrors(e *jsonschema.ValidationError) (errs []error) {
	for _, cause := range e.Causes {
		errs = append(errs, leafErrors(cause)...)
	}
	if len(e.Causes) == 0 {
		errs = append(errs, fmt.Errorf("%s: %s", keyPath(e.InstanceLocation), e.ErrorKind.LocalizedString(message.NewPrinter(language.English))))
	}
	return errs
}

// keyPath formats a location in a file as a path of keys, such as fault[2].share.
func keyPath(parts []string) string {
	var b strings.Builder
	for _, p := range parts {
		switch {
		case strings.Trim(p, "0123456789") == "":
			b.WriteString("[" + p + "]")
		case b.Len() > 0:
			b.WriteString("." + p)
		default:
			b.WriteString(p)
		}
	}
	if b.Len() == 0 {
		return "the file"
	}
	return b.String()
}
