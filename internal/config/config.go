// Package config reads arrowwalk's settings: one JSON file, checked by its
// schema (schema.json, JSON Schema draft 2020-12) and by what a schema cannot
// say. It starts nothing. docs/operating.md describes each setting.
package config

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"arrowwalk"
	"arrowwalk/internal/placement"
)

// Schema is the settings' JSON Schema.
//
//go:embed schema.json
var Schema []byte

//go:embed default.json
var defaultText []byte

// Config is one host's settings. Times are in milliseconds, sizes in bytes,
// as the names say.
type Config struct {
	Listen      string       `json:"listen"`
	Region      string       `json:"region"`
	Host        Host         `json:"host"`
	Keys        []Key        `json:"keys,omitempty"`
	DefaultPlan string       `json:"default_plan"`
	Plans       []Plan       `json:"plans"`
	Collections []Collection `json:"collections,omitempty"`
	Classes     Classes      `json:"classes"`
	Rules       Rules        `json:"rules"`
	Units       Units        `json:"units"`
	PieceBytes  int64        `json:"piece_bytes"`
	MaxAttempts int          `json:"max_attempts"`
	MaxAdviceMS int          `json:"max_advice_ms"`
	MeterMS     int          `json:"meter_period_ms"`

	Zones     []string          `json:"zones"`
	Shards    int               `json:"shards"`
	Slots     []placement.Range `json:"slots,omitempty"`
	Bricks    []Brick           `json:"bricks"`
	NodesFile string            `json:"nodes_file,omitempty"`
	Discovery *Discovery        `json:"discovery,omitempty"`
	CacheDir  string            `json:"cache_dir,omitempty"` // of the kept node list; with nodes_file or discovery only

	Bounds   Bounds   `json:"bounds"`
	Timeouts Timeouts `json:"timeouts"`
}

// Host says which of the site's hosts this is.
type Host struct {
	Number int    `json:"number"`
	Count  int    `json:"count"`
	Zone   string `json:"zone"`
	Seed   uint64 `json:"seed"`
}

// Key is a pair that clients sign with.
type Key struct {
	Access string `json:"access_key"`
	Secret string `json:"secret_key"`
}

// Plan is what a collection is promised, as arrowwalk.Plan has it.
type Plan struct {
	Name        string  `json:"name"`
	Rate        float64 `json:"rate"`
	Reserve     float64 `json:"reserve"`
	Weight      float64 `json:"weight"`
	WorthFactor float64 `json:"worth_factor"`
	LimitRate   float64 `json:"limit_rate,omitempty"`
	LimitBurst  float64 `json:"limit_burst,omitempty"`
	LimitSlack  float64 `json:"limit_slack,omitempty"`
}

// Collection binds a bucket to a plan. Buckets that are not listed have the
// default plan and are made through the API.
type Collection struct {
	Bucket string `json:"bucket"`
	Plan   string `json:"plan"`
}

// Class is what a kind of request is promised.
type Class struct {
	AimMS      int     `json:"aim_ms"`
	AimStretch float64 `json:"aim_stretch"`
	DeadlineMS int     `json:"deadline_ms"`
	Worth      float64 `json:"worth"`
	LateWorth  float64 `json:"late_worth"`
	WindowMS   int     `json:"window_ms,omitempty"` // of writes: for how long a zone drops repeats
	Ordered    bool    `json:"ordered,omitempty"`   // of writes: one at a time for each object
}

// Classes are the two kinds of request.
type Classes struct {
	Read  Class `json:"read"`  // safe to repeat
	Write Class `json:"write"` // keyed: the bricks of a zone drop repeats
}

// The classes' places in arrowwalk.Settings.Classes.
const (
	ClassRead = iota
	ClassWrite
)

// Rules are the figures of the rules, as arrowwalk.Rules has them.
type Rules struct {
	DrainGraceMS int     `json:"drain_grace_ms"`
	ColdFrom     float64 `json:"cold_from"`
	WarmWithinMS int     `json:"warm_within_ms"`
	ColdMultiple float64 `json:"cold_multiple"`
	ColdSpanMS   int     `json:"cold_span_ms"`
	ColdUnits    float64 `json:"cold_units"`
	OrderGapMS   int     `json:"order_gap_ms"`
	ResendFree   float64 `json:"resend_free"`
	ResendRatio  float64 `json:"resend_ratio"`
	ResendSpanMS int     `json:"resend_span_ms"`
	AskEveryMS   int     `json:"ask_every_ms"` // longest time without news of the node list
	ShareWorth   float64 `json:"share_worth"`  // part of its worth that a unit past the reserve earns
	SpareWorth   float64 `json:"spare_worth"`  // and one past the share too
}

// Units says what work counts: Base for a request, and one more for each Bytes.
type Units struct {
	Base  float64 `json:"base"`
	Bytes int64   `json:"bytes"`
}

// Brick is a storage node. One without an address is embedded.
type Brick struct {
	Name    string `json:"name"`
	Address string `json:"address,omitempty"`
	Zone    string `json:"zone"`
	Shard   int    `json:"shard"`
	Data    string `json:"data,omitempty"` // of an embedded brick: its directory
}

// Discovery is a coordination service that the bricks register with.
type Discovery struct {
	Servers   []string `json:"servers"`              // HOST:PORT
	Root      string   `json:"root,omitempty"`       // node whose children are the bricks
	SessionMS int      `json:"session_ms,omitempty"` // asked for; after it a lost brick is gone
	RelistMS  int      `json:"relist_ms,omitempty"`  // the tree is read again so often, whatever watches say
}

// Bounds bounds what strangers can make the host hold.
type Bounds struct {
	Connections int    `json:"connections"`
	HeaderBytes int    `json:"header_bytes"`
	MemoryBytes int64  `json:"memory_bytes"` // of bodies
	SpoolBytes  int64  `json:"spool_bytes"`  // of bodies, in files, when memory is full
	SpoolDir    string `json:"spool_dir,omitempty"`
	ObjectBytes int64  `json:"object_bytes"`
	BrickIdle   int    `json:"brick_idle_connections"`
}

// Timeouts are how long a peer may take.
type Timeouts struct {
	HeaderMS     int `json:"header_ms"`
	IdleMS       int `json:"idle_ms"`
	BodyStallMS  int `json:"body_stall_ms"`
	WriteStallMS int `json:"write_stall_ms"`
	DialMS       int `json:"dial_ms"`
	SkewMS       int `json:"clock_skew_ms"`
}

// MS returns milliseconds as a time.Duration.
func MS(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Default returns the embedded default: six bricks in three zones.
func Default() *Config {
	c, err := Parse(defaultText)
	if err != nil {
		panic("the embedded default is bad: " + err.Error())
	}
	return c
}

// DefaultText returns the embedded default as it is written.
func DefaultText() []byte { return defaultText }

// Load reads the settings in a file.
func Load(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	c, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	return c, nil
}

// Parse reads settings. What is left out has the default's value; lists and
// the objects in them must be whole. The error names each path at fault, the
// value there and what is allowed.
func Parse(text []byte) (*Config, error) {
	if err := checkSchema(text); err != nil {
		return nil, err
	}
	c := &Config{}
	if !bytes.Equal(text, defaultText) {
		if err := json.Unmarshal(defaultText, c); err != nil {
			return nil, fmt.Errorf("embedded default: %w", err)
		}
		clearLists(c, text)
	}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(c); err != nil {
		return nil, err
	}
	if err := c.check(); err != nil {
		return nil, err
	}
	return c, nil
}

// clearLists empties the default's lists that text gives anew: decoding into a
// list that holds something would mix the two.
func clearLists(c *Config, text []byte) {
	var given map[string]json.RawMessage
	if json.Unmarshal(text, &given) != nil {
		return
	}
	for name, list := range map[string]func(){
		"plans": func() { c.Plans = nil }, "bricks": func() { c.Bricks = nil }, "zones": func() { c.Zones = nil },
		"keys": func() { c.Keys = nil }, "collections": func() { c.Collections = nil },
	} {
		if _, ok := given[name]; ok {
			list()
		}
	}
}

var compiled = sync.OnceValues(func() (*jsonschema.Schema, error) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(Schema))
	if err != nil {
		return nil, err
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("settings.json", doc); err != nil {
		return nil, err
	}
	return c.Compile("settings.json")
})

func checkSchema(text []byte) error {
	schema, err := compiled()
	if err != nil {
		return fmt.Errorf("schema: %w", err)
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return fmt.Errorf("not JSON: %w", err)
	}
	err = schema.Validate(value)
	var invalid *jsonschema.ValidationError
	if errors.As(err, &invalid) {
		return &Error{Faults: faults(invalid, value, nil)}
	}
	return err
}

// Fault is one thing wrong with the settings.
type Fault struct {
	Path    string // as plans[1].reserve
	Value   string // what stands there, as JSON
	Allowed string
}

// Error lists all that is wrong with the settings.
type Error struct{ Faults []Fault }

func (e *Error) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.Path + ": " + f.Allowed
		if f.Value != "" {
			lines[i] = f.Path + ": " + f.Value + ": " + f.Allowed
		}
	}
	return strings.Join(lines, "\n")
}

var english = message.NewPrinter(language.English)

func faults(e *jsonschema.ValidationError, root any, into []Fault) []Fault {
	if len(e.Causes) == 0 {
		at := e.InstanceLocation
		if extra, ok := e.ErrorKind.(*kind.AdditionalProperties); ok && len(extra.Properties) > 0 {
			for _, name := range extra.Properties {
				into = append(into, Fault{Path: pathOf(append(at[:len(at):len(at)], name)), Allowed: "unknown setting"})
			}
			return into
		}
		return append(into, Fault{pathOf(at), valueAt(root, at), e.ErrorKind.LocalizedString(english)})
	}
	for _, cause := range e.Causes {
		into = faults(cause, root, into)
	}
	return into
}

// pathOf writes a JSON pointer's tokens as plans[1].reserve.
func pathOf(tokens []string) string {
	var b strings.Builder
	for _, t := range tokens {
		if t != "" && strings.Trim(t, "0123456789") == "" {
			b.WriteString("[" + t + "]")
			continue
		}
		if b.Len() > 0 {
			b.WriteByte('.')
		}
		b.WriteString(t)
	}
	if b.Len() == 0 {
		return "settings"
	}
	return b.String()
}

func valueAt(root any, tokens []string) string {
	for _, t := range tokens {
		switch v := root.(type) {
		case map[string]any:
			root = v[t]
		case []any:
			i := 0
			if _, err := fmt.Sscan(t, &i); err != nil || i >= len(v) {
				return ""
			}
			root = v[i]
		}
	}
	text, err := json.Marshal(root)
	if err != nil || len(text) > 80 {
		return ""
	}
	if strings.HasSuffix(strings.Join(tokens, "/"), "secret_key") {
		return "(secret)"
	}
	return string(text)
}

// check finds what the schema cannot say.
func (c *Config) check() error {
	var found []Fault
	bad := func(path string, value any, allowed string, args ...any) {
		text, _ := json.Marshal(value)
		found = append(found, Fault{path, string(text), fmt.Sprintf(allowed, args...)})
	}
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		bad("listen", c.Listen, "must be HOST:PORT")
	}
	if c.Host.Number >= c.Host.Count {
		bad("host.number", c.Host.Number, "must be under host.count, %d", c.Host.Count)
	}
	zones := unique("zones", c.Zones, func(z string) string { return z }, bad)
	plans := unique("plans", c.Plans, func(p Plan) string { return p.Name }, bad)
	unique("bricks", c.Bricks, func(b Brick) string { return b.Name }, bad)
	unique("keys", c.Keys, func(k Key) string { return k.Access }, bad)
	unique("collections", c.Collections, func(l Collection) string { return l.Bucket }, bad)
	if !zones[c.Host.Zone] {
		bad("host.zone", c.Host.Zone, "must be one of zones")
	}
	if !plans[c.DefaultPlan] {
		bad("default_plan", c.DefaultPlan, "must be the name of one of plans")
	}
	for i, l := range c.Collections {
		if !plans[l.Plan] {
			bad(fmt.Sprintf("collections[%d].plan", i), l.Plan, "must be the name of one of plans")
		}
	}
	for i, p := range c.Plans {
		if p.LimitRate > 0 && p.LimitBurst < c.MostUnits() {
			bad(fmt.Sprintf("plans[%d].limit_burst", i), p.LimitBurst, "must hold one largest request, %g units", c.MostUnits())
		}
	}
	c.checkBricks(zones, bad)
	for name, class := range map[string]Class{"read": c.Classes.Read, "write": c.Classes.Write} {
		if class.AimMS > class.DeadlineMS {
			bad("classes."+name+".aim_ms", class.AimMS, "must not be over the deadline, %d", class.DeadlineMS)
		}
	}
	if c.Discovery != nil && c.NodesFile != "" {
		bad("nodes_file", c.NodesFile, "must not stand beside discovery: one source says what is")
	}
	if c.Discovery != nil {
		for i, s := range c.Discovery.Servers {
			if _, _, err := net.SplitHostPort(s); err != nil {
				bad(fmt.Sprintf("discovery.servers[%d]", i), s, "must be HOST:PORT")
			}
		}
	}
	if c.PieceBytes > c.Bounds.MemoryBytes {
		bad("piece_bytes", c.PieceBytes, "must fit into bounds.memory_bytes, %d", c.Bounds.MemoryBytes)
	}
	if _, err := c.Placement(); err != nil {
		found = append(found, Fault{Path: "slots", Allowed: err.Error()})
	}
	if len(found) > 0 {
		return &Error{found}
	}
	return nil
}

func (c *Config) checkBricks(zones map[string]bool, bad func(string, any, string, ...any)) {
	addresses := map[string]int{}
	for i, b := range c.Bricks {
		at := fmt.Sprintf("bricks[%d]", i)
		if !zones[b.Zone] {
			bad(at+".zone", b.Zone, "must be one of zones")
		}
		if b.Shard >= c.Shards {
			bad(at+".shard", b.Shard, "must be under shards, %d", c.Shards)
		}
		if b.Address == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(b.Address); err != nil {
			bad(at+".address", b.Address, "must be HOST:PORT")
		}
		if first, ok := addresses[b.Address]; ok {
			bad(at+".address", b.Address, "is the address of bricks[%d] too", first)
		}
		addresses[b.Address] = i
	}
}

// unique reports doubled names and returns all.
func unique[T any](list string, items []T, name func(T) string, bad func(string, any, string, ...any)) map[string]bool {
	field := map[string]string{"plans": ".name", "bricks": ".name", "keys": ".access_key", "collections": ".bucket"}[list]
	first, all := map[string]int{}, map[string]bool{}
	for i, it := range items {
		n := name(it)
		if j, ok := first[n]; ok {
			bad(fmt.Sprintf("%s[%d]%s", list, i, field), n, "is the name of %s[%d] too", list, j)
			continue
		}
		first[n], all[n] = i, true
	}
	return all
}

// Placement returns the map of slots to shards.
func (c *Config) Placement() (*placement.Map, error) {
	if len(c.Slots) == 0 {
		return placement.NewEven(c.Shards)
	}
	return placement.NewFromRanges(c.Shards, c.Slots)
}

// UnitsFor returns the units of a request that moves size bytes.
func (c *Config) UnitsFor(size int64) float64 {
	return c.Units.Base + float64(size)/float64(c.Units.Bytes)
}

// MostUnits returns the units of the largest request.
func (c *Config) MostUnits() float64 { return c.UnitsFor(c.PieceBytes) }

// Plan returns the place of a bucket's plan in Plans.
func (c *Config) Plan(bucket string) int {
	name := c.DefaultPlan
	for _, l := range c.Collections {
		if l.Bucket == bucket {
			name = l.Plan
		}
	}
	for i, p := range c.Plans {
		if p.Name == name {
			return i
		}
	}
	return 0
}

// ZoneNumber returns a zone's place in Zones, or -1.
func (c *Config) ZoneNumber(zone string) int {
	for i, z := range c.Zones {
		if z == zone {
			return i
		}
	}
	return -1
}

func micros(ms int) arrowwalk.Micros { return arrowwalk.Micros(ms) * 1000 }

// Module returns the module's settings.
func (c *Config) Module() arrowwalk.Settings {
	s := arrowwalk.Settings{
		Seed: c.Host.Seed, Host: c.Host.Number, Hosts: c.Host.Count, Zone: max(0, c.ZoneNumber(c.Host.Zone)),
		Shards: c.Shards, Tick: 1000, MaxAttempts: c.MaxAttempts, MaxRetryAfter: micros(c.MaxAdviceMS),
		MeanUnits: c.Units.Base + c.MostUnits()/8, MostUnits: c.MostUnits(), ShareWorth: c.Rules.ShareWorth, SpareWorth: c.Rules.SpareWorth,
		MeterPeriod: micros(c.MeterMS), ReportsOthersUnits: true, Cancel: true,
		Rules: arrowwalk.Rules{
			DrainGrace: micros(c.Rules.DrainGraceMS), MaxListInterval: micros(c.Rules.AskEveryMS),
			ColdFrom: c.Rules.ColdFrom, WarmWithin: micros(c.Rules.WarmWithinMS), ColdMultiple: c.Rules.ColdMultiple,
			ColdSpan: micros(c.Rules.ColdSpanMS), ColdUnits: c.Rules.ColdUnits, OrderGap: micros(c.Rules.OrderGapMS),
			ResendFree: c.Rules.ResendFree, ResendRatio: c.Rules.ResendRatio, ResendSpan: micros(c.Rules.ResendSpanMS),
		},
	}
	read, write := c.Classes.Read.module("read"), c.Classes.Write.module("write")
	write.Repeat, write.Scope, write.Writes = arrowwalk.Keyed, arrowwalk.ScopeZone, true
	s.Classes = []arrowwalk.Class{read, write}
	for _, p := range c.Plans {
		s.Plans = append(s.Plans, arrowwalk.Plan{Name: p.Name, Rate: p.Rate, Reserve: p.Reserve, Weight: p.Weight,
			WorthFactor: p.WorthFactor, LimitRate: p.LimitRate, LimitBurst: p.LimitBurst, LimitSlack: p.LimitSlack})
	}
	return s
}

func (c Class) module(name string) arrowwalk.Class {
	return arrowwalk.Class{Name: name, Aim: micros(c.AimMS), AimStretch: c.AimStretch, Deadline: micros(c.DeadlineMS),
		Worth: c.Worth, LateWorth: c.LateWorth, Window: micros(c.WindowMS), Ordered: c.Ordered}
}
