// Package option defines the daemon's settings and loads them from file, environment and flags.
package option

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/samber/oops"
	"gopkg.in/yaml.v3"
)

// Settings are all settings of one router. Flags override the environment, which overrides the file.
type Settings struct {
	Config string `yaml:"-" long:"config" env:"SKYLARKQUAY_CONFIG" description:"settings file in YAML"`

	Listen string `yaml:"listen" long:"listen" env:"SKYLARKQUAY_LISTEN" description:"address for callers"`
	Peer   string `yaml:"peer" long:"peer" env:"SKYLARKQUAY_PEER" description:"address for other instances; it names this instance"`
	Admin  string `yaml:"admin" long:"admin" env:"SKYLARKQUAY_ADMIN" description:"address for operators, metrics and health"`
	Zone   string `yaml:"zone" long:"zone" env:"SKYLARKQUAY_ZONE" description:"availability zone of this instance"`

	TableURL  string `yaml:"table_url" long:"table-url" env:"SKYLARKQUAY_TABLE_URL" description:"base URL of the table service"`
	TableName string `yaml:"table_name" long:"table-name" env:"SKYLARKQUAY_TABLE_NAME" description:"name of the table"`
	ObjectURL string `yaml:"object_url" long:"object-url" env:"SKYLARKQUAY_OBJECT_URL" description:"base URL of the object store"`
	Bucket    string `yaml:"bucket" long:"bucket" env:"SKYLARKQUAY_BUCKET" description:"name of the bucket"`
	RosterURL string `yaml:"roster_url" long:"roster-url" env:"SKYLARKQUAY_ROSTER_URL" description:"base URL of the instance list"`
	Region    string `yaml:"region" long:"region" env:"SKYLARKQUAY_REGION" description:"region that signs platform calls"`
	AccessKey string `yaml:"access_key" long:"access-key" env:"SKYLARKQUAY_ACCESS_KEY" description:"access key for the platform"`
	SecretKey string `yaml:"secret_key" long:"secret-key" env:"SKYLARKQUAY_SECRET_KEY" description:"secret key for the platform"`

	StoreTimeout  time.Duration `yaml:"store_timeout" long:"store-timeout" env:"SKYLARKQUAY_STORE_TIMEOUT" description:"bound of one platform call"`
	Partitions    int           `yaml:"partitions" long:"partitions" env:"SKYLARKQUAY_PARTITIONS" description:"partitions of the limits; the same on all instances, at least the number of instances"`
	BodyBytes     int64         `yaml:"body_bytes" long:"body-bytes" env:"SKYLARKQUAY_BODY_BYTES" description:"largest request body"`
	HeaderBytes   int           `yaml:"header_bytes" long:"header-bytes" env:"SKYLARKQUAY_HEADER_BYTES" description:"largest request header"`
	Memory        int           `yaml:"memory" long:"memory" env:"SKYLARKQUAY_MEMORY" description:"memory of this process in MB; 0 takes that of the machine or container"`
	Connections   int           `yaml:"connections" long:"connections" env:"SKYLARKQUAY_CONNECTIONS" description:"callers' connections, the idle and stalled of which are closed for new ones; 0 takes what memory and descriptors allow"`
	MaxTokens     int64         `yaml:"max_tokens" long:"max-tokens" env:"SKYLARKQUAY_MAX_TOKENS" description:"output tokens of a request that names no bound"`
	FirstToken    time.Duration `yaml:"first_token" long:"first-token" env:"SKYLARKQUAY_FIRST_TOKEN" description:"longest wait for an engine's first token"`
	TokenIdle     time.Duration `yaml:"token_idle" long:"token-idle" env:"SKYLARKQUAY_TOKEN_IDLE" description:"longest silence of an engine within a stream"`
	WriteTimeout  time.Duration `yaml:"write_timeout" long:"write-timeout" env:"SKYLARKQUAY_WRITE_TIMEOUT" description:"longest time a caller may take to read one event, or 64 KB of a response"`
	HeaderTimeout time.Duration `yaml:"header_timeout" long:"header-timeout" env:"SKYLARKQUAY_HEADER_TIMEOUT" description:"longest time a caller may take to send a header"`
	BodyTimeout   time.Duration `yaml:"body_timeout" long:"body-timeout" env:"SKYLARKQUAY_BODY_TIMEOUT" description:"longest silence of a caller within a body"`
	IdleTimeout   time.Duration `yaml:"idle_timeout" long:"idle-timeout" env:"SKYLARKQUAY_IDLE_TIMEOUT" description:"longest idle time of a caller's connection"`
	DrainNotice   time.Duration `yaml:"drain_notice" long:"drain-notice" env:"SKYLARKQUAY_DRAIN_NOTICE" description:"time between not ready and closing the listener"`
	DrainTimeout  time.Duration `yaml:"drain_timeout" long:"drain-timeout" env:"SKYLARKQUAY_DRAIN_TIMEOUT" description:"longest wait for open requests at a planned stop"`
	MaxInFlight   int           `yaml:"max_in_flight" long:"max-in-flight" env:"SKYLARKQUAY_MAX_IN_FLIGHT" description:"requests in progress on this instance before new ones queue by workspace"`

	LogLevel  string `yaml:"log_level" long:"log-level" env:"SKYLARKQUAY_LOG_LEVEL" choice:"debug" choice:"info" choice:"error" description:"least level to log"`
	Profiling bool   `yaml:"profiling" long:"profiling" env:"SKYLARKQUAY_PROFILING" description:"serve pprof on the operators' address"`
}

// Defaults returns the settings before file, environment and flags.
func Defaults() Settings {
	return Settings{
		Listen:        "127.0.0.1:8080",
		Peer:          "127.0.0.1:8081",
		Admin:         "127.0.0.1:8082",
		Zone:          "a",
		TableURL:      "http://127.0.0.1:8000",
		TableName:     "skylarkquay",
		ObjectURL:     "http://127.0.0.1:8000",
		Bucket:        "skylarkquay",
		RosterURL:     "http://127.0.0.1:8000",
		Region:        "local",
		AccessKey:     "local",
		SecretKey:     "local",
		StoreTimeout:  time.Second,
		Partitions:    24,
		BodyBytes:     4 << 20,
		HeaderBytes:   32 << 10,
		MaxTokens:     512,
		FirstToken:    10 * time.Second,
		TokenIdle:     2 * time.Second,
		WriteTimeout:  30 * time.Second,
		HeaderTimeout: 5 * time.Second,
		BodyTimeout:   10 * time.Second,
		IdleTimeout:   2 * time.Minute,
		DrainNotice:   2 * time.Second,
		DrainTimeout:  2 * time.Minute,
		MaxInFlight:   512,
		LogLevel:      "info",
	}
}

// Load builds the settings from the arguments, the environment and the file named by either. It also returns the
// arguments that are not flags.
func Load(args []string) (Settings, []string, error) {
	withoutFile := Defaults()
	if _, err := parser(&withoutFile, flags.IgnoreUnknown).ParseArgs(args); err != nil {
		return withoutFile, nil, err
	}
	s := Defaults()
	if withoutFile.Config != "" {
		if err := s.read(withoutFile.Config); err != nil {
			return s, nil, err
		}
	}
	rest, err := parser(&s, flags.HelpFlag).ParseArgs(args)
	if err != nil {
		return s, nil, err
	}
	return s, rest, s.Check()
}

// Help returns the help text, with every default.
func Help() string {
	s := Defaults()
	_, err := parser(&s, flags.HelpFlag).ParseArgs([]string{"--help"})
	return err.Error()
}

func parser(s *Settings, options flags.Options) *flags.Parser {
	p := flags.NewNamedParser("skylarkquay", options|flags.PassDoubleDash)
	p.Usage = "[run | check | help] [OPTIONS]"
	if _, err := p.AddGroup("Settings", "", s); err != nil {
		panic(err)
	}
	return p
}

func (s *Settings) read(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return oops.Wrapf(err, "settings file")
	}
	defer func() { _ = file.Close() }()
	decoder := yaml.NewDecoder(file)
	decoder.KnownFields(true)
	return oops.Wrapf(decoder.Decode(s), "settings file %s", path)
}

// minBodies and minHeaders are the least memory, in bodies and headers of the largest size, in which a single request can be served.
const (
	minBodies  = 20
	minHeaders = 16
)

// Check returns all invalid settings, each with its name.
func (s *Settings) Check() error {
	var problems []error
	reject := func(name, format string, args ...any) {
		problems = append(problems, fmt.Errorf("%s: %s", name, fmt.Sprintf(format, args...)))
	}
	for name, address := range map[string]string{"listen": s.Listen, "peer": s.Peer, "admin": s.Admin} {
		host, _, err := net.SplitHostPort(address)
		if err != nil || net.ParseIP(host) == nil {
			reject(name, "%q is not an IP address with a port", address)
		}
	}
	for name, url := range map[string]string{"table_url": s.TableURL, "object_url": s.ObjectURL, "roster_url": s.RosterURL} {
		if !strings.HasPrefix(url, "http://") && !strings.HasPrefix(url, "https://") {
			reject(name, "%q is not a URL", url)
		}
	}
	if s.Zone == "" {
		reject("zone", "must be set")
	}
	if s.Partitions < 1 || s.Partitions > 4096 {
		reject("partitions", "%d is not between 1 and 4096", s.Partitions)
	}
	for name, d := range map[string]time.Duration{
		"store_timeout": s.StoreTimeout, "first_token": s.FirstToken, "token_idle": s.TokenIdle, "write_timeout": s.WriteTimeout,
		"header_timeout": s.HeaderTimeout, "body_timeout": s.BodyTimeout, "idle_timeout": s.IdleTimeout, "drain_timeout": s.DrainTimeout,
	} {
		if d <= 0 {
			reject(name, "%s is not a positive duration", d)
		}
	}
	for name, n := range map[string]int64{
		"body_bytes": s.BodyBytes, "header_bytes": int64(s.HeaderBytes), "max_tokens": s.MaxTokens, "max_in_flight": int64(s.MaxInFlight),
	} {
		if n <= 0 {
			reject(name, "%d is not positive", n)
		}
	}
	if s.Memory < 0 {
		reject("memory", "%d is negative", s.Memory)
	}
	if need := minBodies*s.BodyBytes + minHeaders*int64(s.HeaderBytes); s.Memory > 0 && int64(s.Memory)<<20 < need {
		reject("memory", "%d MB are too few for the largest body and header; at least %d MB", s.Memory, (need+1<<20-1)>>20)
	}
	if s.Connections < 0 {
		reject("connections", "%d is negative", s.Connections)
	}
	return errors.Join(problems...)
}
