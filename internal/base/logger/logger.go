// Package logger builds the JSON logger and a log writer that never blocks the caller.
package logger

import (
	"io"
	"sync/atomic"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// AsyncWriter queues lines for a goroutine that writes them. When the queue is full, a line is dropped and counted.
type AsyncWriter struct {
	queue   chan []byte
	done    chan struct{}
	dropped atomic.Int64
}

// NewAsyncWriter starts a writer to w that queues at most size lines.
func NewAsyncWriter(w io.Writer, size int) *AsyncWriter {
	out := &AsyncWriter{queue: make(chan []byte, size), done: make(chan struct{})}
	go out.run(w)
	return out
}

func (w *AsyncWriter) run(dst io.Writer) {
	defer close(w.done)
	for line := range w.queue {
		// A write error of the log itself cannot be logged.
		_, _ = dst.Write(line)
	}
}

// Write queues a copy of a line. It never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped because the queue was full.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines and stops the goroutine. Write must not be called afterwards.
func (w *AsyncWriter) Close() {
	close(w.queue)
	<-w.done
}

// New returns a logger that writes JSON lines of at least the given level: debug, info or error.
func New(level string, w io.Writer) logr.Logger {
	minLevel := zapcore.InfoLevel
	switch level {
	case "debug":
		minLevel = zapcore.DebugLevel
	case "error":
		minLevel = zapcore.ErrorLevel
	}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	config.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), zapcore.AddSync(w), minLevel)
	return zapr.NewLogger(zap.New(core))
}
