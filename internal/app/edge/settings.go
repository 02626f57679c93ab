// Package edge assembles the router that runs on the users' platform, runs its loops and stops them in order.
package edge

import (
	"math"
	"os"
	"syscall"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/samber/oops"
	"gopkg.in/yaml.v3"
)

// Settings are the settings of one router instance. Times are in milliseconds unless noted.
type Settings struct {
	// Name is the instance's name in logs.
	Name string `yaml:"name" validate:"required"`
	// Zone is the availability zone of the instance.
	Zone string `yaml:"zone" validate:"required"`
	// Listen is the address for callers, Ready for readiness polls of the load balancer, Peer for datagrams of other
	// instances, Metrics for operators.
	Listen  string `yaml:"listen" validate:"required,hostname_port"`
	Ready   string `yaml:"ready" validate:"required,hostname_port"`
	Peer    string `yaml:"peer" validate:"required,hostname_port"`
	Metrics string `yaml:"metrics" validate:"required,hostname_port"`
	// Store is the address of the platform's store.
	Store string `yaml:"store" validate:"required,hostname_port"`
	// MemoryMB is the memory limit of the process in MB.
	MemoryMB int64 `yaml:"memory" validate:"gt=0"`
	// Descriptors is the number of descriptors that the process may open; zero means the limit of the operating system.
	Descriptors int `yaml:"descriptors" validate:"gte=0"`
	// Cores is the number of processors, possibly fractional, and Link the bandwidth in Mbit/s. Instances with more of both
	// are chosen first for tasks on behalf of others.
	Cores float64 `yaml:"cores" validate:"gt=0"`
	Link  float64 `yaml:"link" validate:"gt=0"`
	// Grace is the time between the stop signal and the forced kill, in seconds.
	Grace float64 `yaml:"grace" validate:"gt=0"`
	// Heartbeat is the interval at which upstreams confirm their entries in the list; zero means defaultHeartbeat. An entry lapses after
	// three of them.
	Heartbeat int64 `yaml:"heartbeat" validate:"gte=0"`
	// Revocation is the time after which a withdrawn key must be rejected.
	Revocation int64 `yaml:"revocation" validate:"gt=0"`
	// Weights is the time after which no request may start on superseded weights.
	Weights int64 `yaml:"weights" validate:"gt=0"`
	// Turn is the minimum time between orders of two holders of the rollout lease.
	Turn int64 `yaml:"turn" validate:"gte=0"`
	// RetryRatio is the fraction of requests that may be retried, RetrySlack the number of retries allowed beyond it in each
	// window over all instances, RetryWindow the window in seconds.
	RetryRatio  float64 `yaml:"ratio" validate:"gte=0"`
	RetrySlack  float64 `yaml:"slack" validate:"gte=0"`
	RetryWindow float64 `yaml:"window" validate:"gt=0"`
	// QuotaWindow is the time in seconds over which the site sums what a workspace is admitted, QuotaOvershoot the fraction of
	// its rate and burst, and QuotaSlack the number of units, by which the sum may exceed them.
	QuotaWindow    float64 `yaml:"quota_window" validate:"gte=0"`
	QuotaOvershoot float64 `yaml:"quota_overshoot" validate:"gte=0"`
	QuotaSlack     float64 `yaml:"quota_slack" validate:"gte=0"`
	// ExposureShare is the fraction of a service's requests that may reach a bad build of its upstreams, ExposureSlack the number of
	// requests beyond it, and Rollback the time after which none may once the build has failed often. They are zero where operators
	// order no moves to other builds.
	ExposureShare float64 `yaml:"exposure_share" validate:"gte=0,lte=1"`
	ExposureSlack float64 `yaml:"exposure_slack" validate:"gte=0"`
	Rollback      int64   `yaml:"rollback" validate:"gte=0"`
	// Terms are the parts of the platform's terms that are in force.
	Terms []string `yaml:"terms"`
	// Level is the minimum log level.
	Level string `yaml:"level" validate:"oneof=debug info error"`
}

// LoadSettings reads and validates a settings file. Unknown fields are ignored, because the platform may add some.
func LoadSettings(path string) (Settings, error) {
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

// size returns the capacity of the machine: the smaller of its cores in thousandths and its link in tenths of a Mbit/s.
func (s *Settings) size() int { return int(min(s.Cores*1000, s.Link*10)) }

// descriptors returns the number of descriptors that the process may open, or zero if it is not known.
func (s *Settings) descriptors() int {
	if s.Descriptors > 0 {
		return s.Descriptors
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// defaultHeartbeat is the interval at which upstreams confirm their entries where the settings name none.
const defaultHeartbeat = 1200 * time.Millisecond

// heartbeat returns the interval at which upstreams confirm their entries.
func (s *Settings) heartbeat() time.Duration {
	if s.Heartbeat == 0 {
		return defaultHeartbeat
	}
	return millis(s.Heartbeat)
}

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
