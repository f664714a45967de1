package daemon

import (
	"fmt"
	"net"
	"syscall"

	"github.com/mulberrybank/mulberrybank/internal/clientlimit"
)

// Listeners that tests let fail.
const (
	CallersListener = "callers"
	CallsListener   = "calls"
	ControlListener = "control"
	AdminListener   = "admin"
	TargetListener  = "target"
)

// FailListener makes the next Accept of a listener return a permanent error.
func (d *Daemon) FailListener(name string) error {
	listener := map[string]net.Listener{
		CallersListener: d.listeners.callers,
		CallsListener:   d.listeners.calls,
		ControlListener: d.listeners.control,
		AdminListener:   d.listeners.admin,
		TargetListener:  d.listeners.target,
	}[name]
	if limited, ok := listener.(*clientlimit.Listener); ok {
		listener = limited.Listener
	}
	raw, err := listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return fmt.Errorf("fail listener for %s: %w", name, err)
	}
	var shutdownErr error
	err = raw.Control(func(fd uintptr) { shutdownErr = syscall.Shutdown(int(fd), syscall.SHUT_RD) })
	if err != nil {
		return fmt.Errorf("fail listener for %s: %w", name, err)
	}
	return shutdownErr
}
