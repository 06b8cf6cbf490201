package front

import (
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// awaitHangUp waits until the other end of a connection has closed it, whether or not there are unread bytes before that end, and
// returns nil then. It returns an error once the read deadline has passed, or if it can't tell. The end is not seen while the
// receive window is full, since the bytes before it have not arrived then.
func awaitHangUp(conn net.Conn) error {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return errNoHangUp
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "front: inspect connection")
	}
	// The runtime's poller wakes the function for arriving bytes and for the end of the connection, each time once.
	return errors.Wrap(control.Read(hasHungUp), "front: await end of connection")
}

// hasHungUp reports whether the other end of a connection has closed or reset it. The kernel reports that beside unread bytes.
func hasHungUp(fd uintptr) bool {
	const hungUp = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	ready, err := unix.Poll(polled, 0)
	return err == nil && ready > 0 && polled[0].Revents&hungUp != 0
}
