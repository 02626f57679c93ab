package logger

import (
	"bytes"
	"testing"

	"github.com/shoenig/test/must"
)

// blockedWriter blocks every Write until release is closed.
type blockedWriter struct {
	release chan struct{}
	bytes.Buffer
}

func (s *blockedWriter) Write(b []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(b)
}

func TestLinesAreDroppedAndCountedWhenTheQueueIsFull(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	w := NewAsyncWriter(out, 2)
	for range 10 {
		n, err := w.Write([]byte("line\n"))
		must.NoError(t, err)
		must.Eq(t, 5, n)
	}
	must.Between(t, 7, w.Dropped(), 8)
	close(out.release)
	w.Close()
	must.Eq(t, (10-int(w.Dropped()))*5, out.Len())
}

func TestLevels(t *testing.T) {
	var out bytes.Buffer
	log := New("error", &out)
	log.Info("hidden")
	log.Error(nil, "shown")
	must.StrNotContains(t, out.String(), "hidden")
	must.StrContains(t, out.String(), "shown")
}
