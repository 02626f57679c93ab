package place

import "time"

const (
	// startReserve is added to the expected wait at an engine whose weights are superseded. An attempt that has not begun in time is
	// taken back.
	startReserve = 300 * time.Millisecond
	// onceStartReserve is the same for requests that cannot be sent again then.
	onceStartReserve = 1500 * time.Millisecond
)

// startsInTime reports whether a request that is expected to wait at an engine begins before its version may no longer start requests.
// Load pattern: engines with long queues and superseded weights, while orders to load are answered late.
func (q *Query) startsInTime(version int64, wait time.Duration) bool {
	if q.StartTime == nil {
		return true
	}
	left, superseded := q.StartTime(version)
	if !superseded {
		return true
	}
	reserve := startReserve
	if q.Once {
		reserve = onceStartReserve
	}
	return left >= min(wait+reserve, q.MaxStartReserve)
}
