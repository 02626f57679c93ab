package daemon

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/conf/option"
	"github.com/skylarkquay/skylarkquay/internal/front/caller"
)

func TestCallerLimits(t *testing.T) {
	s := option.Defaults()
	l := callerLimits(s, 8<<30, 20_000)
	must.Eq(t, 10_000, l.Connections, must.Sprint("half of the descriptors"))
	must.Eq(t, 8<<30/requestsDivisor, l.Bytes)

	s.Memory = 64
	l = callerLimits(s, 8<<30, 20_000)
	must.Eq(t, 64<<20/connectionsDivisor/caller.ConnBytes, l.Connections)
	must.Eq(t, 64<<20/requestsDivisor, l.Bytes)

	s.Connections = 100
	must.Eq(t, 100, callerLimits(s, 8<<30, 20_000).Connections)
}
