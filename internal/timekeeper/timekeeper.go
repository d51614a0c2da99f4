// Package timekeeper reads a clock that keeps running while the VM is suspended.
//
// The monotonic clock of the Go runtime stops during a suspension, so after it a process
// would take outdated information for current. Timeouts that other processes rely on are
// therefore measured with SinceBoot.
package timekeeper

import (
	"syscall"
	"time"
	"unsafe"
)

// clockBoottime is the id of CLOCK_BOOTTIME on Linux.
const clockBoottime = 7

// SinceBoot returns the time since the VM booted, including suspensions.
func SinceBoot() time.Duration {
	var ts syscall.Timespec
	_, _, errno := syscall.RawSyscall(syscall.SYS_CLOCK_GETTIME, clockBoottime, uintptr(unsafe.Pointer(&ts)), 0)
	if errno != 0 {
		// Linux has had this clock since 2.6.39, so this can't happen.
		panic(errno)
	}
	return time.Duration(ts.Nano())
}
