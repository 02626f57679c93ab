// Package memory tells how much memory and how many descriptors a process may use.
package memory

import (
	"os"
	"strconv"
	"strings"
	"syscall"
)

// fallbackBytes is assumed where the system does not say.
const fallbackBytes = 1 << 30

// OfMachine returns the memory of the machine or container in bytes.
func OfMachine() int64 {
	info, _ := os.ReadFile("/proc/meminfo")
	group, _ := os.ReadFile("/sys/fs/cgroup/memory.max")
	return smaller(string(info), string(group))
}

// smaller returns the smaller of the machine's total and the container's limit.
func smaller(info, group string) int64 {
	total := int64(fallbackBytes)
	for line := range strings.Lines(info) {
		if f := strings.Fields(line); len(f) >= 2 && f[0] == "MemTotal:" {
			if kb, err := strconv.ParseInt(f[1], 10, 64); err == nil {
				total = kb << 10
			}
		}
	}
	if limit, err := strconv.ParseInt(strings.TrimSpace(group), 10, 64); err == nil {
		total = min(total, limit)
	}
	return total
}

// Descriptors returns the number of descriptors that the process may open.
func Descriptors() int {
	var r syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r); err != nil {
		return 1024
	}
	return int(min(r.Cur, 1<<20))
}
