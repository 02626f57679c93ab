package serve

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestKVStores(t *testing.T) {
	var k KVStores
	all := []string{"a", "b"}
	must.Eq(t, "a", k.Choose(all, 4))
	must.Eq(t, "b", k.Choose(all, 5))
	must.Eq(t, "", k.Choose(nil, 5))
	must.False(t, k.Set("a", true))
	must.True(t, k.Set("a", false))
	must.False(t, k.Set("a", false))
	must.Eq(t, "", k.Choose(all, 4))
	must.Eq(t, "b", k.Choose(all, 5))
	must.True(t, k.Set("a", true))
	must.Eq(t, map[string]bool{"a": true}, k.All())
}
