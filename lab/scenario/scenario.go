// Package scenario reads rehearsals from TOML: a fleet, a load, and what goes
// wrong when. A file is checked against a JSON Schema; errors name the key.
// Compile draws all that chance settles from the scenario's seed.
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

// Scenario is a rehearsal as its file gives it. Times are seconds in the file's
// keys that end in _s, milliseconds in those that end in _ms.
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

// Fleet tells which boxes there are.
type Fleet struct {
	Zones    []string `toml:"zones"`
	CellSize int      `toml:"cell_size"` // boxes of a cell, all of one zone
	// ReadersBegin is the share of a reader's memory that the most used shared
	// beginnings fill at the start, as they do in a fleet that has run for long.
	InitialPrefixShare float64 `toml:"readers_begin"`
	Kinds              []Kind  `toml:"kind"`
}

// Kind is a kind of box, with what differs from its defaults. Kinds that are
// named like one of engine.DefaultKinds begin with its figures.
type Kind struct {
	Name         string   `toml:"name"`
	Role         string   `toml:"role"`
	Count        int      `toml:"count"`
	Slots        *int     `toml:"slots"`
	Queue        *int     `toml:"queue"`
	MemoryTokens *float64 `toml:"memory_tokens"`
	ReadPerS     *float64 `toml:"read_per_s"`
	StepMs       *float64 `toml:"step_ms"`
	PerSeqMs     *float64 `toml:"per_seq_ms"`
	Speed        *float64 `toml:"speed"`
	SpeedCV      *float64 `toml:"speed_cv"`
	ColdFrom     *float64 `toml:"cold_from"`
	ColdMs       *float64 `toml:"cold_ms"`
	Conns        *int     `toml:"conns"`
	Cancel       *string  `toml:"cancel"`
	DropExpired  *bool    `toml:"drop_expired"`
	ErrorRate    *float64 `toml:"error_rate"`
}

// Load tells what clients ask for.
type Load struct {
	RatePerS    float64   `toml:"rate_per_s"` // first tries, over all classes
	BurstCV     float64   `toml:"burst_cv"`   // spread of the rate from second to second
	Retries     int       `toml:"retries"`    // of a client after a refusal or a failure
	TryShare    float64   `toml:"try_share"`  // of the class's deadline, after which a try is given up
	Honour      float64   `toml:"honour"`     // share of clients that wait as told
	BackoffMs   float64   `toml:"backoff_ms"` // before a first retry; it doubles
	Impatient   float64   `toml:"impatient"`  // share of tries that leave early
	ZoneShares  []float64 `toml:"zone_shares"`
	Connections int       `toml:"connections"` // that clients keep to a gateway at most
	Classes     []Class   `toml:"class"`
}

// Class is a class of requests.
type Class struct {
	Name         string  `toml:"name"`
	Share        float64 `toml:"share"` // of sessions' requests
	AimMs        float64 `toml:"aim_ms"`
	AimMsPerK    float64 `toml:"aim_ms_per_k"`
	DeadlineMs   float64 `toml:"deadline_ms"`
	TokenMs      float64 `toml:"token_ms"`
	Worth        float64 `toml:"worth"`
	LateWorth    float64 `toml:"late_worth"`
	Effect       string  `toml:"effect"` // pure or side_effect
	Turns        float64 `toml:"turns"`
	ThinkMs      float64 `toml:"think_ms"`
	NewTokens    float64 `toml:"new_tokens"`
	NewSigma     float64 `toml:"new_sigma"`
	OutTokens    float64 `toml:"out_tokens"`
	OutSigma     float64 `toml:"out_sigma"`
	MaxOut       int     `toml:"max_out"`
	Prefixes     int     `toml:"prefixes"`
	PrefixTokens float64 `toml:"prefix_tokens"`
	PrefixShare  float64 `toml:"prefix_share"`
	PrefixZipf   float64 `toml:"prefix_zipf"`
}

// Discovery tells how late the list is: ranges from which each news is drawn.
type Discovery struct {
	NoticeMs       [2]float64 `toml:"notice_ms"`        // that a process has ended
	SilentNoticeMs [2]float64 `toml:"silent_notice_ms"` // that a machine is silent
	AddMs          [2]float64 `toml:"add_ms"`           // that a box is up or drains
	SpreadMs       float64    `toml:"spread_ms"`        // between gateways
}

// Network is the time that one way takes.
type Network struct {
	SameMs  float64 `toml:"same_ms"`
	CrossMs float64 `toml:"cross_ms"`
}

// Fault is something that goes wrong for a while, with boxes that are named or a
// share of those that match.
type Fault struct {
	Kind    string   `toml:"kind"`
	AtS     float64  `toml:"at_s"`
	LenS    float64  `toml:"len_s"`
	Share   float64  `toml:"share"`
	Boxes   []string `toml:"boxes"`
	OfKind  string   `toml:"of_kind"`
	OfZone  string   `toml:"of_zone"`
	OfCell  *int     `toml:"of_cell"`
	Gateway *int     `toml:"gateway"` // of list faults: at this gateway's agent alone
	Factor  float64  `toml:"factor"`
}

// ErrUnknown is the error of a name that no scenario has.
var ErrUnknown = errors.New("scenario: no such scenario")

// Names lists the scenarios that are shipped, in order.
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

// Open reads a shipped scenario by its name, or one from a file by its path.
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
	if err := check(tree); err != nil {
		return nil, err
	}
	s := defaults()
	if _, err := toml.Decode(string(raw), s); err != nil {
		return nil, err
	}
	s.fill()
	return s, s.consistent()
}

// check validates a decoded file against the schema.
func check(tree map[string]any) error {
	raw, err := json.Marshal(tree) // the validator wants JSON's types
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
		return errors.Join(leaves(invalid)...)
	}
	return err
}

// leaves are the causes that name a key.
func leaves(e *jsonschema.ValidationError) (list []error) {
	for _, cause := range e.Causes {
		list = append(list, leaves(cause)...)
	}
	if len(e.Causes) == 0 {
		list = append(list, fmt.Errorf("%s: %s", keyPath(e.InstanceLocation), e.ErrorKind.LocalizedString(message.NewPrinter(language.English))))
	}
	return list
}

// keyPath writes a place in a file as its readers know it.
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
