// Package socket sets socket options that package net has no call for.
package socket

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout returns a net.Dialer.Control that sets TCP_USER_TIMEOUT: the kernel closes a connection on which sent
// bytes stay unacknowledged for the given time.
func UserTimeout(unacked time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var optErr error
		err := raw.Control(func(fd uintptr) {
			optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacked.Milliseconds()))
		})
		return errors.Join(err, optErr)
	}
}

// SetUserTimeout sets TCP_USER_TIMEOUT on a connection. Connections that are not TCP are left as they are.
func SetUserTimeout(c net.Conn, unacked time.Duration) error {
	tcp, ok := TCP(c)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	return UserTimeout(unacked)("", "", raw)
}

// ResetOnClose sets whether the close of a connection resets it, which includes the close by the kernel when the process ends.
// Connections that are not TCP are left as they are.
func ResetOnClose(c net.Conn, reset bool) error {
	tcp, ok := TCP(c)
	switch {
	case !ok:
		return nil
	case reset:
		return tcp.SetLinger(0)
	default:
		return tcp.SetLinger(-1)
	}
}

// ExitTime is the time that the kernel takes to close the listener and all connections of a process that has been killed.
const ExitTime = 20 * time.Millisecond
