// Package timekeeper reads a clock that goes on while the VM is suspended.
//
// The runtime's steady clock stands still during a suspension, so a process that
// wakes up would take old knowledge for new. What must expire after a bound that
// others rely on is measured by Elapsed instead.
package timekeeper

import (
	"syscall"
	"time"
	"unsafe"
)

// clockBoottime is CLOCK_BOOTTIME of Linux.
const clockBoottime = 7

// SinceBoot returns the time since the VM was started, suspensions included.
func SinceBoot() time.Duration {
	var ts syscall.Timespec
	_, _, errno := syscall.RawSyscall(syscall.SYS_CLOCK_GETTIME, clockBoottime, uintptr(unsafe.Pointer(&ts)), 0)
	if errno != 0 {
		// Every Linux since 2.6.39 has this clock.
		panic(errno)
	}
	return time.Duration(ts.Nano())
}
