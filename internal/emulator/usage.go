package emulator

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// Usage is what a process uses of its machine.
type Usage struct {
	// ResidentBytes is the size of the resident set, and QueuedBytes the number of bytes that have arrived for the
	// process's TCP connections over IPv4 and have not been read.
	ResidentBytes, QueuedBytes int64
	// Descriptors is the number of open descriptors.
	Descriptors int
}

// MemoryBytes returns the memory that counts against the limit of a machine.
func (u Usage) MemoryBytes() int64 { return u.ResidentBytes + u.QueuedBytes }

// Max returns the larger of each of both.
func (u Usage) Max(v Usage) Usage {
	if v.MemoryBytes() > u.MemoryBytes() {
		u.ResidentBytes, u.QueuedBytes = v.ResidentBytes, v.QueuedBytes
	}
	u.Descriptors = max(u.Descriptors, v.Descriptors)
	return u
}

// String returns the usage in words.
func (u Usage) String() string {
	const mib = 1 << 20
	return fmt.Sprintf("%d MiB, with queues %d MiB, %d descriptors", u.ResidentBytes/mib, u.MemoryBytes()/mib, u.Descriptors)
}

// ReadUsage returns what a process uses. It needs the proc file system of Linux.
func ReadUsage(pid int) (Usage, error) {
	var u Usage
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return u, err
	}
	_, rest, found := bytes.Cut(status, []byte("VmRSS:"))
	fields := bytes.Fields(rest)
	if !found || len(fields) == 0 {
		return u, fmt.Errorf("process %d has no resident set", pid)
	}
	kib, err := strconv.ParseInt(string(fields[0]), 10, 64)
	if err != nil {
		return u, err
	}
	u.ResidentBytes = kib << 10
	inodes, err := socketInodes(pid, &u)
	if err != nil {
		return u, err
	}
	u.QueuedBytes, err = queuedBytes(pid, inodes)
	return u, err
}

// socketInodes returns the inodes of the sockets of a process, and counts its descriptors.
func socketInodes(pid int, u *Usage) (map[string]bool, error) {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	u.Descriptors = len(entries)
	inodes := map[string]bool{}
	for _, e := range entries {
		// A descriptor may be closed meanwhile.
		target, err := os.Readlink(filepath.Join(dir, e.Name()))
		if inode, isSocket := strings.CutPrefix(target, "socket:["); err == nil && isSocket {
			inodes[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return inodes, nil
}

// Columns and states of /proc/net/tcp.
const (
	localAddressColumn = 1
	stateColumn        = 3
	queuesColumn       = 4
	inodeColumn        = 9
	listenState        = "0A"
	noInode            = "0"
)

// queuedBytes adds up what waits in the receive queues of sockets with the given inodes, and of
// connections that wait to be accepted at a listener with one of them.
func queuedBytes(pid int, inodes map[string]bool) (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/tcp", pid))
	if err != nil {
		return 0, err
	}
	listeners := map[string]bool{}
	unaccepted := map[string]int64{}
	sum := int64(0)
	for scanner := bufio.NewScanner(bytes.NewReader(data)); scanner.Scan(); {
		f := strings.Fields(scanner.Text())
		if len(f) <= inodeColumn {
			continue
		}
		_, received, _ := strings.Cut(f[queuesColumn], ":")
		n, err := strconv.ParseInt(received, 16, 64)
		switch {
		case err != nil:
			// The line of titles.
		case f[stateColumn] == listenState && inodes[f[inodeColumn]]:
			listeners[f[localAddressColumn]] = true
		case f[stateColumn] == listenState:
		case inodes[f[inodeColumn]]:
			sum += n
		case f[inodeColumn] == noInode:
			unaccepted[f[localAddressColumn]] += n
		}
	}
	for address := range listeners {
		sum += unaccepted[address]
	}
	return sum, nil
}
