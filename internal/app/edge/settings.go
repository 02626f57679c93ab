// Package edge assembles the router that runs on the users' platform, runs its loops and stops them in order.
package edge

import (
	"os"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/samber/oops"
	"gopkg.in/yaml.v3"
)

// Settings are all settings of one router on the platform. Times are in milliseconds unless said otherwise.
type Settings struct {
	// Name is the instance's own name, for logs.
	Name string `yaml:"name" validate:"required"`
	// Zone is the availability zone of the instance.
	Zone string `yaml:"zone" validate:"required"`
	// Listen is for callers, Ready for the balancer's question, Peer for datagrams of other instances, Metrics for
	// operators.
	Listen  string `yaml:"listen" validate:"required,hostname_port"`
	Ready   string `yaml:"ready" validate:"required,hostname_port"`
	Peer    string `yaml:"peer" validate:"required,hostname_port"`
	Metrics string `yaml:"metrics" validate:"required,hostname_port"`
	// Store is the address of the platform's store.
	Store string `yaml:"store" validate:"required,hostname_port"`
	// MemoryMB bounds the process.
	MemoryMB int64 `yaml:"memory" validate:"gt=0"`
	// Cores and Link are the machine's share of processors and its link in Mbit/s; instances with more of both take duties
	// for others first.
	Cores float64 `yaml:"cores" validate:"gt=0"`
	Link  float64 `yaml:"link" validate:"gt=0"`
	// Grace is the time between the signal to stop and the kill, in seconds.
	Grace float64 `yaml:"grace" validate:"gt=0"`
	// Revocation is the bound after which a withdrawn key must not work.
	Revocation int64 `yaml:"revocation" validate:"gt=0"`
	// Weights is the bound after which no request may begin on superseded weights.
	Weights int64 `yaml:"weights" validate:"gt=0"`
	// Turn is how far apart orders of two holders must be.
	Turn int64 `yaml:"turn" validate:"gte=0"`
	// RetryRatio, RetrySlack and RetryWindow bound what is sent again; the window is in seconds.
	RetryRatio  float64 `yaml:"ratio" validate:"gte=0"`
	RetrySlack  float64 `yaml:"slack" validate:"gte=0"`
	RetryWindow float64 `yaml:"window" validate:"gt=0"`
	// Level is the least level to log.
	Level string `yaml:"level" validate:"oneof=debug info error"`
}

// Load reads and checks a settings file. Fields that it does not know are passed over, because the platform may add some.
func Load(path string) (Settings, error) {
	s := Settings{Level: "info"}
	text, err := os.ReadFile(path)
	if err != nil {
		return s, oops.Wrapf(err, "settings file")
	}
	if err := yaml.Unmarshal(text, &s); err != nil {
		return s, oops.Wrapf(err, "settings file %s", path)
	}
	if err := validator.New().Struct(s); err != nil {
		return s, oops.Wrapf(err, "settings file %s", path)
	}
	return s, nil
}

// size is what the machine can bear: the lesser of its processor in thousandths and its link in tenths of Mbit/s.
func (s *Settings) size() int { return int(min(s.Cores*1000, s.Link*10)) }

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
