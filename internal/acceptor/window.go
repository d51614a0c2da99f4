package acceptor

import (
	"errors"
	"net"
	"syscall"
)

// WindowBytes is the size of the receive buffers of connections: what arrives while a process does not read
// counts against its machine's memory. The kernel doubles it. It has to be set before a connection is opened,
// since a sender waits before it fills a window that has become much smaller.
const WindowBytes = 16 << 10

// SetWindow sets the receive buffer of a socket that is not connected.
func SetWindow(raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, WindowBytes)
	})
	return errors.Join(err, setErr)
}

// setWindow sets the receive buffer that the connections of a listener begin with. Listeners that are not of TCP
// are left as they are.
func setWindow(l net.Listener) error {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	return SetWindow(raw)
}
