// Package socket sets options of connections that package net has no call for.
package socket

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// GiveUp returns a dialer's control that makes the kernel give up a connection whose peer leaves sent bytes without
// acknowledgement for the given time.
func GiveUp(unacked time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacked.Milliseconds()))
		})
		return errors.Join(err, failed)
	}
}
