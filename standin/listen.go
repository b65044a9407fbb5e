package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// stopTimeout is how long a graceful stop waits for open connections.
const stopTimeout = 60 * time.Second

// listener holds the flags shared by all commands that listen on a port.
type listener struct {
	addr     string
	addrFile string
}

func (l *listener) setFlags(f *flag.FlagSet) {
	f.StringVar(&l.addr, "addr", "127.0.0.1:0", "`address` to listen on; port 0 takes a free one")
	f.StringVar(&l.addrFile, "addr-file", "", "`file` to write the address to once it listens")
}

// listen opens the port and writes its address to stderr and, if set, to the
// address file.
func (l *listener) listen() (net.Listener, error) {
	ln, err := net.Listen("tcp", l.addr)
	if err != nil {
		return nil, fmt.Errorf("standin: %w", err)
	}
	if l.addrFile != "" {
		if err := writeFileAtomic(l.addrFile, ln.Addr().String()+"\n"); err != nil {
			ln.Close()
			return nil, err
		}
	}
	fmt.Fprintln(os.Stderr, "listening on", ln.Addr())
	return ln, nil
}

// writeFileAtomic writes a temporary file and renames it, so that a process that
// waits for the file never reads partial content.
func writeFileAtomic(name, text string) error {
	temp, err := os.CreateTemp(filepath.Dir(name), filepath.Base(name)+".*")
	if err != nil {
		return fmt.Errorf("standin: %w", err)
	}
	_, err = temp.WriteString(text)
	err = errors.Join(err, temp.Close())
	if err == nil {
		err = os.Rename(temp.Name(), name)
	}
	if err != nil {
		os.Remove(temp.Name())
		return fmt.Errorf("standin: %w", err)
	}
	return nil
}

// server serves a handler until a signal stops it.
type server struct {
	http  *http.Server
	ended chan error
}

// serve starts a server on ln.
func serve(ln net.Listener, h http.Handler) *server {
	s := &server{
		http:  &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second},
		ended: make(chan error, 1),
	}
	go s.run(ln)
	return s
}

func (s *server) run(ln net.Listener) { s.ended <- s.http.Serve(ln) }

// wait returns nil on SIGTERM, an interrupt or the end of ctx, and an error if
// serving fails.
func (s *server) wait(ctx context.Context) error {
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer cancel()
	select {
	case <-ctx.Done():
		return nil
	case err := <-s.ended:
		return fmt.Errorf("standin: %w", err)
	}
}

// stop shuts the server down and waits up to stopTimeout for open connections.
func (s *server) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil {
		return fmt.Errorf("standin: %w", err)
	}
	return nil
}
