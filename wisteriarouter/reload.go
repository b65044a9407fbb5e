package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"wisteriaspool/wisteriarouter/config"
	"wisteriaspool/wisteriarouter/daemon"
)

// reloader reloads the settings file on SIGHUP and when the file has changed.
type reloader struct {
	file        string
	daemon      *daemon.Daemon
	signals     chan os.Signal
	lastModTime time.Time // modification time of the file at the last read
}

// filePollInterval is how often the modification time of the file is checked,
// for changes without a SIGHUP.
const filePollInterval = 5 * time.Second

// newReloader returns a reloader, and a function that stops the delivery of
// signals to it.
func newReloader(file string, d *daemon.Daemon) (*reloader, func()) {
	r := &reloader{file: file, daemon: d, signals: make(chan os.Signal, 1)}
	r.lastModTime = r.modTime()
	signal.Notify(r.signals, syscall.SIGHUP)
	return r, func() { signal.Stop(r.signals) }
}

func (r *reloader) run(ctx context.Context) {
	t := time.NewTicker(filePollInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.signals:
			r.reload()
		case <-t.C:
			if r.modTime() != r.lastModTime {
				r.reload()
			}
		}
	}
}

// modTime returns the modification time of the file, or the zero time if the
// file cannot be examined.
func (r *reloader) modTime() time.Time {
	info, err := os.Stat(r.file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func (r *reloader) reload() {
	r.lastModTime = r.modTime()
	cfg, problems, err := config.Load(r.file)
	r.daemon.Reload(cfg, problems, err)
}
