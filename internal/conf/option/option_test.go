package option

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func TestSampleFileHasDefaults(t *testing.T) {
	s, _, err := Load([]string{"--config", "../../../docs/skylarkquay.yaml"})
	must.NoError(t, err)
	s.Config = ""
	must.Eq(t, Defaults(), s)
}

func TestFlagsOverrideFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.yaml")
	must.NoError(t, os.WriteFile(path, []byte("zone: b\npartitions: 30\n"), 0o600))
	s, rest, err := Load([]string{"check", "--config", path, "--zone", "c"})
	must.NoError(t, err)
	must.Eq(t, "c", s.Zone)
	must.Eq(t, 30, s.Partitions)
	must.Eq(t, []string{"check"}, rest)
}

func TestCheckNamesInvalidSettings(t *testing.T) {
	cases := []struct {
		name string
		text string
		want string
	}{
		{"unknown field", "colour: red\n", "field colour not found"},
		{"host name", "listen: example:80\n", "listen: \"example:80\" is not an IP address"},
		{"partitions", "partitions: 0\n", "partitions: 0 is not between"},
		{"memory", "memory: 64\n", "memory: 64 MB are too few for the largest body and header; at least 81 MB"},
		{"connections", "connections: -1\n", "connections: -1 is negative"},
		{"body timeout", "body_timeout: 0s\n", "body_timeout: 0s is not a positive duration"},
		{"duration", "token_idle: 0s\n", "token_idle: 0s is not a positive duration"},
		{"type", "body_bytes: many\n", "line 1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "s.yaml")
			must.NoError(t, os.WriteFile(path, []byte(c.text), 0o600))
			_, _, err := Load([]string{"--config", path})
			must.ErrorContains(t, err, c.want)
		})
	}
}

func TestHelpShowsDefaults(t *testing.T) {
	// The text is wrapped, so white space is normalized.
	help := strings.Join(strings.Fields(Help()), " ")
	must.StrContains(t, help, "address for callers (default: 127.0.0.1:8080) [$SKYLARKQUAY_LISTEN]")
	must.StrContains(t, help, "(default: 24) [$SKYLARKQUAY_PARTITIONS]")
}
