package forward

import (
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// errReset means that a response which ends with its connection was broken off by a reset.
var errReset = errors.New("forward: connection was reset within the response")

// tcpClose is the state of a TCP connection that has been reset, or closed in both directions.
const tcpClose = 7

// wasReset reports whether the end of a connection that has just been read stands for a reset, so that a response which ends with
// the connection is not complete. The kernel reports a reset once, to whichever call comes first: if the concurrent write of the
// request gets it, the read finds an ordinary end. A connection that the upstream has ended in order before it resets what still
// arrives lets the write fail with EPIPE, and the response is complete.
func (e *exchange) wasReset() bool {
	if !e.endsWithConnection || e.writeDone == nil {
		return false
	}
	select {
	case <-e.writeDone:
	default:
		if !e.connection.isClosed() {
			return false // the upstream has ended its direction only, and the write goes on
		}
		// A write on a closed connection ends at once.
		select {
		case <-e.writeDone:
		case <-e.ctx.Done():
			return true
		}
	}
	return errors.Is(e.writeErr, syscall.ECONNRESET)
}

// isClosed reports whether the connection exists in neither direction any more. It consumes no error of the connection.
func (c *connection) isClosed() bool {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	control, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = control.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err != nil || info.State == tcpClose
	})
	return err != nil || closed
}
