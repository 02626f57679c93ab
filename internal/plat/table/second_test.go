package table

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/platform/fake"
)

// A second answer of the table service counts as the answer to the next call on its connection.
func TestSecondAnswersOfTheTable(t *testing.T) {
	service, err := fake.NewScriptedUpstream(func(r *http.Request) fake.Answer {
		body := "{}"
		if strings.HasSuffix(r.Header.Get("X-Amz-Target"), ".GetItem") {
			body = `{"Item":` + storedRow + "}"
		}
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/x-amz-json-1.0\r\nContent-Length: %d\r\n\r\n", len(body))
		return fake.Answer{Bytes: head + body, Again: 100 * time.Microsecond, End: fake.KeepOpen}
	})
	must.NoError(t, err)
	t.Cleanup(service.Close)
	d := NewDynamo(Settings{Endpoint: "http://" + service.Address(), Region: "r", AccessKey: "a", SecretKey: "s", Name: "t", Timeout: time.Second})
	for n := range 200 {
		must.NoError(t, d.Put(t.Context(), Put{Record: Record{Part: "p", Sort: NoSort, Rev: 1}}))
		_, found, err := d.Get(t.Context(), "p", NoSort)
		must.NoError(t, err)
		must.True(t, found, must.Sprint("read ", n))
	}
}
