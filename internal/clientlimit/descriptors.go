package clientlimit

import "syscall"

// defaultDescriptors is the assumed limit on descriptors if it cannot be read.
const defaultDescriptors = 1024

// DescriptorLimit returns the limit of this process on open descriptors.
func DescriptorLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return defaultDescriptors
	}
	return int(min(limit.Cur, 1<<20))
}
