package fault

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestEveryKindHasAResponse(t *testing.T) {
	must.SliceLen(t, len(responses), Kinds())
	for _, k := range Kinds() {
		a := ResponseFor(k)
		must.GreaterEq(t, 400, a.Status, must.Sprint(k))
		must.SliceContains(t, []Ran{RanNo, RanYes, RanUnknown}, a.Ran, must.Sprint(k))
	}
	must.Eq(t, responses[Internal], ResponseFor("nonsense"))
}

func TestWriteSetsStatusHeadersAndBody(t *testing.T) {
	w := httptest.NewRecorder()
	Write(w, fmt.Errorf("outer: %w", NewRetryAfter(OverRate, 1500*time.Millisecond, "workspace %s is over its rate", "w")))
	must.Eq(t, 429, w.Code)
	must.Eq(t, "2", w.Header().Get("Retry-After"))
	must.Eq(t, "not run", w.Header().Get(HeaderRan))
	must.Eq(t, "over_rate", w.Header().Get(HeaderKind))
	var body Body
	must.NoError(t, json.Unmarshal(w.Body.Bytes(), &body))
	must.Eq(t, "workspace w is over its rate", body.Error.Message)
	must.Eq(t, RanNo, body.Error.Ran)
}

func TestUnlistedErrorIsInternal(t *testing.T) {
	must.Eq(t, Internal, From(errors.New("x")).Kind)
	must.Eq(t, RanUnknown, BodyOf(errors.New("x")).Error.Ran)
	must.False(t, Is(errors.New("x"), Internal))
}
