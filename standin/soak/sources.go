package soak

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// sourceOf returns the name of the router process that has a connection with a local address,
// or "" if none has, as the kernel's tables tell.
func (s *soak) sourceOf(client net.Addr) string {
	tcp, ok := client.(*net.TCPAddr)
	if !ok {
		return ""
	}
	inode, err := socketInode(tcp)
	if err != nil {
		return ""
	}
	for _, r := range s.routers {
		if pid := r.pid(); pid != 0 && hasSocket(pid, inode) {
			return r.name()
		}
	}
	return ""
}

// procAddress returns an IPv4 address as the kernel's tables have it.
func procAddress(a *net.TCPAddr) string {
	return fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(a.IP.To4()), a.Port)
}

// socketInode returns the inode of the socket that has a local address.
func socketInode(a *net.TCPAddr) (string, error) {
	f, err := os.Open("/proc/self/net/tcp")
	if err != nil {
		return "", err
	}
	defer func() { _ = f.Close() }() // opened for reading only
	want := procAddress(a)
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		// The fields are number, local and remote address, state, queues, timer, retransmits,
		// user, timeout and inode.
		if fields := strings.Fields(lines.Text()); len(fields) > 9 && fields[1] == want && fields[9] != "0" {
			return fields[9], nil
		}
	}
	return "", fmt.Errorf("soak: no socket has address %s: %w", a, lines.Err())
}

// hasSocket reports whether a process has a socket open.
func hasSocket(pid int, inode string) bool {
	dir := filepath.Join("/proc", strconv.Itoa(pid), "fd")
	entries, err := os.ReadDir(dir)
	if err != nil {
		return false // the process has ended
	}
	for _, e := range entries {
		if target, err := os.Readlink(filepath.Join(dir, e.Name())); err == nil && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}
