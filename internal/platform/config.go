package platform

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"

	"arrowwalk/internal/platform/discovery"
	"arrowwalk/internal/settings"
)

// Config is the configuration that the platform passes to a host.
type Config struct {
	Name        string
	Listen      string
	Discovery   string
	Limits      Limits
	KnownBricks *discovery.List
	Settings    *settings.Settings
}

// Limits are the resources of the machine that a host may use.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// configFile is the format of the configuration file.
type configFile struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"`
	Limits    *Limits         `json:"limits"`
	Known     json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

// maxConfigBytes is the largest configuration file that is accepted.
const maxConfigBytes = 16 << 20

// LoadConfig reads the configuration file that the environment variable GW_CONFIG
// names. An error names the variable, or the file and its field.
func LoadConfig(getenv func(string) string) (*Config, error) {
	path := getenv("GW_CONFIG")
	if path == "" {
		return nil, fmt.Errorf("GW_CONFIG: not set, must name the configuration file")
	}
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("GW_CONFIG: %w", err)
	}
	if info.Size() > maxConfigBytes {
		return nil, fmt.Errorf("GW_CONFIG: %s: larger than %d bytes", path, maxConfigBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("GW_CONFIG: %w", err)
	}
	cfg, err := ParseConfig(text, getenv)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return cfg, nil
}

// ParseConfig parses a configuration. The name and the addresses may be set by
// environment variables instead. The name and discovery's address in the file have
// precedence, since the file may be newer; the listening address of GW_LISTEN has
// precedence over the file's.
func ParseConfig(text []byte, getenv func(string) string) (*Config, error) {
	f := configFile{Name: getenv("GW_NAME"), Listen: getenv("GW_LISTEN"), Discovery: getenv("GW_DISCOVERY")}
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, err
	}
	cfg := &Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, KnownBricks: &discovery.List{}}
	if listen := getenv("GW_LISTEN"); listen != "" {
		cfg.Listen = listen // the address to which the platform's clients connect
	}
	for _, a := range [...]struct{ field, value string }{{"listen", cfg.Listen}, {"discovery", cfg.Discovery}} {
		if host, port, err := net.SplitHostPort(a.value); err != nil || host == "" || port == "" {
			return nil, fmt.Errorf("%s: %q: must be HOST:PORT", a.field, a.value)
		}
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed: %q: must be 16 hex digits", f.Seed)
	}
	if f.Limits == nil {
		return nil, fmt.Errorf("limits: missing")
	}
	if cfg.Limits = *f.Limits; cfg.Limits.Cores <= 0 || cfg.Limits.MemoryMB < 16 || cfg.Limits.Sockets < 64 {
		return nil, fmt.Errorf("limits: %+v: must be cores over 0, 16 MB and 64 sockets or more", cfg.Limits)
	}
	if len(f.Known) > 0 {
		if cfg.KnownBricks, err = discovery.ParseList(f.Known); err != nil {
			return nil, fmt.Errorf("known.%w", err)
		}
	}
	if len(f.Settings) == 0 {
		return nil, fmt.Errorf("settings: missing")
	}
	cfg.Settings, err = settings.Parse(f.Settings, seed)
	return cfg, err
}
