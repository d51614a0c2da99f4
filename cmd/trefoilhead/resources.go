package main

import (
	"runtime/debug"
	"syscall"

	"github.com/zeebo/errs"
)

// memoryLimitShare is the fraction of the VM's memory that is set as the memory limit
// of the Go runtime, near which it collects garbage more often. The rest is for
// the program itself and memory held by the kernel.
const memoryLimitShare = 0.62

// fillResources replaces zero values by what the VM has and the system allows: its memory in MiB, of which the Go runtime gets
// a part, and the number of descriptors.
func fillResources(memoryMB, descriptors *int) error {
	if *memoryMB == 0 {
		var info syscall.Sysinfo_t
		if err := syscall.Sysinfo(&info); err != nil {
			return errs.New("cannot read the memory of the VM: %w", err)
		}
		*memoryMB = int(info.Totalram * uint64(info.Unit) >> 20)
	}
	debug.SetMemoryLimit(int64(float64(*memoryMB<<20) * memoryLimitShare))
	if *descriptors == 0 {
		var limit syscall.Rlimit
		if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
			return errs.New("cannot read the limit on descriptors: %w", err)
		}
		const most = 1 << 20
		*descriptors = int(min(limit.Cur, most))
	}
	return nil
}
