package edge

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
)

const sampleSettings = `name: n
zone: z
listen: 10.0.0.1:1
ready: 10.0.0.1:2
peer: 10.0.0.1:3
metrics: 10.0.0.1:4
store: 10.0.0.2:5
memory: 120
cores: 0.272
link: 700.0
grace: 8
revocation: 5000
weights: 8000
turn: 3000
ratio: 0.2
slack: 122
window: 10
unknown: passed over
`

func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.yaml")
	must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestLoadSettings(t *testing.T) {
	s, err := LoadSettings(writeFile(t, sampleSettings))
	must.NoError(t, err)
	must.Eq(t, "info", s.Level)
	must.Eq(t, 0.272, s.Cores)
	must.Eq(t, 272, s.size())
}

// Deployments without such bounds leave the values out, so that the lines are empty.
func TestLoadSettingsOfMovesToOtherBuilds(t *testing.T) {
	for _, c := range []struct {
		text         string
		share, slack float64
		rollback     int64
	}{
		{"", 0, 0, 0},
		{"exposure_share: \nexposure_slack: \nrollback: \n", 0, 0, 0},
		{"exposure_share: 0.1\nexposure_slack: 50\nrollback: 5000\n", 0.1, 50, 5000},
		{"exposure_share: 1\nexposure_slack: 50.0\nrollback: 250\n", 1, 50, 250},
	} {
		s, err := LoadSettings(writeFile(t, sampleSettings+c.text))
		must.NoError(t, err)
		must.Eq(t, c.share, s.ExposureShare)
		must.Eq(t, c.slack, s.ExposureSlack)
		must.Eq(t, c.rollback, s.Rollback)
	}
	for _, text := range []string{"exposure_share: 1.5\n", "exposure_slack: -1\n", "rollback: -1\n", "rollback: soon\n"} {
		_, err := LoadSettings(writeFile(t, sampleSettings+text))
		must.Error(t, err)
	}
}

func TestLoadSettingsRejectsInvalidFields(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{"listen: 10.0.0.1:1", "listen: here", "Listen"},
		{"memory: 120", "memory: 0", "MemoryMB"},
		{"zone: z", "zone: ''", "Zone"},
		{"grace: 8", "grace: soon", "line 11"},
		{"turn: 3000", "level: loud", "Level"},
	} {
		_, err := LoadSettings(writeFile(t, string(bytes.Replace([]byte(sampleSettings), []byte(c.old), []byte(c.new), 1))))
		must.Error(t, err)
		must.StrContains(t, err.Error(), c.want)
	}
	_, err := LoadSettings("/nowhere")
	must.Error(t, err)
}

func TestCommandLine(t *testing.T) {
	var out, errs bytes.Buffer
	must.Eq(t, exitOK, Main([]string{"check", "--config", writeFile(t, sampleSettings)}, &out, &errs))
	must.Eq(t, exitSettings, Main([]string{"check", "--config", writeFile(t, "name: [")}, &out, &errs))
	must.Eq(t, exitSettings, Main([]string{"dance", "--config", writeFile(t, sampleSettings)}, &out, &errs))
	must.Eq(t, exitSettings, Main(nil, &out, &errs))
	must.Eq(t, exitOK, Main([]string{"--help"}, &out, &errs))
	must.StrContains(t, out.String(), "--config")
	must.StrContains(t, errs.String(), "unknown command")
}
