package site

import (
	"fmt"
	"io"
	"net/http"
	"strings"
)

const shortBody = `{"model":"quotes","max_tokens":1,"messages":[{"role":"user","content":"x"}]}`

// postOnce sends one short chat request and reads the response.
func postOnce(client *http.Client, url, key string) error {
	req, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(shortBody))
	if err != nil {
		return err
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("unexpected status %d", res.StatusCode)
	}
	return nil
}
