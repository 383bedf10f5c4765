package sidecarbench

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
	"unsafe"
)

// cpuTime returns the user and system CPU time of a process, including threads that have ended. It reads the
// CPU-time clock of the process (clock_getcpuclockid(3)), which has nanosecond resolution. utime and stime in
// /proc/PID/stat have a resolution of 10 ms, which is more than the CPU time of a sidecar for a thousand
// datagrams.
func cpuTime(pid int) (time.Duration, error) {
	const cpuClockSched = 2 // CPUCLOCK_SCHED in the kernel: user and system time
	clock := uintptr(^pid<<3 | cpuClockSched)
	var t syscall.Timespec
	if _, _, errno := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clock, uintptr(unsafe.Pointer(&t)), 0); errno != 0 {
		return 0, fmt.Errorf("read CPU time of process %d: %w", pid, errno)
	}
	return time.Duration(t.Nano()), nil
}

// Memory is the memory usage of a process, in bytes.
type Memory struct {
	Resident int64 // current resident set size (VmRSS)
	Peak     int64 // maximum resident set size since the start (VmHWM)
}

// readMemory returns the memory usage of a process from /proc/PID/status.
func readMemory(pid int) (Memory, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return Memory{}, fmt.Errorf("read memory usage: %w", err)
	}
	var m Memory
	for line := range strings.Lines(string(raw)) {
		name, value, _ := strings.Cut(line, ":")
		field := map[string]*int64{"VmRSS": &m.Resident, "VmHWM": &m.Peak}[name]
		if field == nil {
			continue
		}
		kb, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
		if err != nil {
			return Memory{}, fmt.Errorf("read memory usage: %s: %w", name, err)
		}
		*field = kb << 10
	}
	return m, nil
}

// udpSocketState returns the state of the UDP socket that is bound to an address, from /proc/net/udp: the
// number of datagrams that the kernel has dropped because the receive buffer was full, and the number of
// unread bytes in the buffer.
func udpSocketState(address string) (drops, unread int64, err error) {
	addrPort, err := netip.ParseAddrPort(address)
	if err != nil {
		return 0, 0, fmt.Errorf("read UDP socket state: %w", err)
	}
	ip := addrPort.Addr().As4()
	local := fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(ip[:]), addrPort.Port())
	raw, err := os.ReadFile("/proc/net/udp")
	if err != nil {
		return 0, 0, fmt.Errorf("read UDP socket state: %w", err)
	}
	for line := range strings.Lines(string(raw)) {
		// Fields: sl local remote st tx:rx tr:when retrnsmt uid timeout inode ref pointer drops
		fields := strings.Fields(line)
		if len(fields) < 13 || fields[1] != local {
			continue
		}
		_, rx, _ := strings.Cut(fields[4], ":")
		if unread, err = strconv.ParseInt(rx, 16, 64); err == nil {
			drops, err = strconv.ParseInt(fields[12], 10, 64)
		}
		if err != nil {
			return 0, 0, fmt.Errorf("read state of UDP socket %s: %w", address, err)
		}
		return drops, unread, nil
	}
	return 0, 0, fmt.Errorf("read state of UDP socket %s: no socket is bound to this address", address)
}
