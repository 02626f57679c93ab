package table

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/platform/fake"
)

// storedRow is a row in the table service's answers.
const storedRow = `{"part":{"S":"p"},"sort":{"S":"-"},"rev":{"N":"3"},"write":{"S":"w"},"data":{"B":"eA=="}}`

// calls are the calls of a client, each with the whole body of an answer.
var calls = []struct {
	name string
	body string
	call func(context.Context, *Dynamo) error
}{
	{"get", `{"Item":` + storedRow + "}", func(ctx context.Context, d *Dynamo) error {
		_, _, err := d.Get(ctx, "p", NoSort)
		return err
	}},
	{"get of an absent row", "{}", func(ctx context.Context, d *Dynamo) error {
		_, _, err := d.Get(ctx, "p", NoSort)
		return err
	}},
	{"list", `{"Items":[` + storedRow + "]}", func(ctx context.Context, d *Dynamo) error {
		_, err := d.List(ctx, "p", "", 10)
		return err
	}},
	{"put", "{}", func(ctx context.Context, d *Dynamo) error {
		return d.Put(ctx, Put{Record: Record{Part: "p", Sort: NoSort, Rev: 1}})
	}},
	{"transact", "{}", func(ctx context.Context, d *Dynamo) error {
		return d.Transact(ctx, []Put{{Record: Record{Part: "p", Sort: NoSort, Rev: 1}}})
	}},
}

// An empty answer without a length counted as one that says that the row is absent, or written.
func TestCutAnswersAreErrors(t *testing.T) {
	for _, c := range calls {
		t.Run(c.name, func(t *testing.T) {
			body := ""
			service, err := fake.NewScriptedUpstream(func(*http.Request) fake.Answer {
				return fake.Answer{Bytes: "HTTP/1.1 200 OK\r\nContent-Type: application/x-amz-json-1.0\r\n\r\n" + body, End: fake.CloseConn}
			})
			must.NoError(t, err)
			t.Cleanup(service.Close)
			d := NewDynamo(Settings{Endpoint: "http://" + service.Address(), Region: "r", AccessKey: "a", SecretKey: "s", Name: "t", Timeout: time.Second})
			for n := range len(c.body) {
				body = c.body[:n]
				must.ErrorIs(t, c.call(t.Context(), d), ErrUnavailable, must.Sprintf("cut after %d bytes", n))
			}
			body = c.body
			must.NoError(t, c.call(t.Context(), d))
		})
	}
}
