package site

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/app/opctl"
	"github.com/skylarkquay/skylarkquay/internal/base/fault"
)

// opctlMain runs the operators' command and returns its exit code and output.
func opctlMain(r *Router, stdin string, args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	code = opctl.Main(append([]string{"--router", "http://" + r.Settings.Admin, "--operator", "tester"}, args...), strings.NewReader(stdin), &out, &errs)
	return code, out.String(), errs.String()
}

func TestOpctlEditsSections(t *testing.T) {
	s := startSite(t, Options{Routers: 2, Engines: 1})
	code, models, _ := opctlMain(s.Routers[0], "", "get", "models")
	must.Eq(t, 0, code)
	must.StrHasPrefix(t, "# section-revision: ", models)
	file := filepath.Join(t.TempDir(), "models.yaml")
	must.NoError(t, os.WriteFile(file, []byte(models+"extra:\n  weights: v9\n"), 0o600))

	_, diff, _ := opctlMain(s.Routers[0], "", "diff", "models", file)
	must.StrContains(t, diff, "+extra:")
	must.StrNotContains(t, diff, "-")

	code, _, stderr := opctlMain(s.Routers[0], "", "apply", "models", file)
	must.Eq(t, 0, code, must.Sprint(stderr))
	// The file still contains the section's previous revision, so the second apply is a conflict.
	code, _, stderr = opctlMain(s.Routers[1], "", "apply", "models", file)
	must.Eq(t, 3, code)
	must.StrContains(t, stderr, "the edit started from")

	code, _, stderr = opctlMain(s.Routers[1], "a:\n  title: A\n  weight: 0\n", "apply", "workspaces", "-", "--base", "1")
	must.Eq(t, 1, code)
	must.StrContains(t, stderr, "section workspaces, line 1: a: field Weight")

	code, _, _ = opctlMain(s.Routers[1], "", "edit", "models", "extra", "-")
	must.Eq(t, 0, code)
	_, models, _ = opctlMain(s.Routers[0], "", "get", "models")
	must.StrNotContains(t, models, "extra")
}

func TestOpctlIssuesAndWithdrawsKeys(t *testing.T) {
	s := startSite(t, Options{Routers: 1, Engines: 1})
	r := s.Routers[0]
	code, key, _ := opctlMain(r, "", "key-issue", "acme", "desk")
	must.Eq(t, 0, code)
	key = strings.TrimSpace(key)
	body := `{"model":"quotes","max_tokens":1,"messages":[]}`
	must.Eq(t, 200, post(t, r, key, "/v1/chat/completions", body, nil).StatusCode)
	code, _, stderr := opctlMain(r, "", "key-issue", "acme", "desk")
	must.Eq(t, 1, code)
	must.StrContains(t, stderr, "exists already")
	code, _, _ = opctlMain(r, "", "key-withdraw", "desk")
	must.Eq(t, 0, code)
	must.Eq(t, string(fault.BadKey), post(t, r, key, "/v1/chat/completions", body, nil).Header.Get(fault.HeaderKind))
}

func TestOpctlShowsState(t *testing.T) {
	s := startSite(t, Options{Routers: 2, Engines: 3})
	code, out, _ := opctlMain(s.Routers[0], "", "--json", "status")
	must.Eq(t, 0, code)
	var reply struct {
		Revision int64 `json:"revision"`
		Current  bool  `json:"current"`
	}
	must.NoError(t, json.Unmarshal([]byte(out), &reply))
	must.True(t, reply.Current)
	code, out, _ = opctlMain(s.Routers[0], strings.Repeat("x", 20_000), "explain", "acme", Model)
	must.Eq(t, 0, code)
	must.StrContains(t, out, "chosen: runner-")
	must.StrContains(t, out, "5000 prompt tokens")
	code, _, stderr := opctlMain(s.Routers[0], "", "explain", "acme", "nonsense")
	must.Eq(t, 1, code)
	must.StrContains(t, stderr, "not served here")
	code, _, _ = opctlMain(s.Routers[1], "", "drain")
	must.Eq(t, 0, code)
	must.False(t, s.Routers[1].Ready())
	must.True(t, s.Routers[0].Ready())
}
