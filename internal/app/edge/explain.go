package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/samber/oops"

	"github.com/skylarkquay/skylarkquay/internal/base/bound"
	"github.com/skylarkquay/skylarkquay/internal/base/fault"
)

const (
	// explainPath is the path of explanations on the metrics address.
	explainPath = "/explain"
	// explainTimeout bounds the call of the command.
	explainTimeout = 5 * time.Second
	// maxExplanationBytes bounds its answer: some hundred bytes an upstream.
	maxExplanationBytes = 4 << 20
)

// handleExplain tells operators where a request with the same header would go now.
func (e *Edge) handleExplain(w http.ResponseWriter, r *http.Request) {
	request := r.Clone(r.Context())
	request.Host = r.URL.Query().Get("host")
	request.URL = &url.URL{Path: r.URL.Query().Get("path")}
	request.RequestURI = request.URL.EscapedPath()
	explanation, err := e.handler.Explain(time.Now(), request)
	if err != nil {
		http.Error(w, err.Error(), fault.ResponseFor(fault.From(err).Kind).Status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	// A failed write means that the operator has gone.
	_ = encoder.Encode(explanation)
}

// explainOptions describe the request to explain.
type explainOptions struct {
	Host    string   `long:"host" description:"explain: host of the request"`
	Path    string   `long:"path" description:"explain: path of the request"`
	Headers []string `long:"header" description:"explain: a header line of the request, 'Name: value'; may be repeated"`
}

// explain asks the running instance where a request would go now and prints the answer.
func explain(s Settings, o explainOptions, stdout io.Writer) error {
	if o.Host == "" || o.Path == "" {
		return oops.Errorf("explain needs --host and --path")
	}
	ctx, cancel := context.WithTimeout(context.Background(), explainTimeout)
	defer cancel()
	query := url.Values{"host": {o.Host}, "path": {o.Path}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Metrics+explainPath+"?"+query.Encode(), http.NoBody)
	if err != nil {
		return oops.Wrapf(err, "explain")
	}
	for _, line := range o.Headers {
		name, value, ok := strings.Cut(line, ":")
		if !ok {
			return oops.Errorf("header %q lacks a colon", line)
		}
		request.Header.Add(strings.TrimSpace(name), strings.TrimSpace(value))
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return oops.Wrapf(err, "explain")
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(bound.Reader(response.Body, maxExplanationBytes))
	if err != nil {
		return oops.Wrapf(err, "explain")
	}
	if response.StatusCode != http.StatusOK {
		return oops.Errorf("the instance answered %d: %s", response.StatusCode, strings.TrimSpace(string(text)))
	}
	_, err = fmt.Fprint(stdout, string(text))
	return err
}
