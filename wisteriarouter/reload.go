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

// reloader reads the settings file again when it is told to, or finds that the
// file has changed.
type reloader struct {
	file        string
	daemon      *daemon.Daemon
	signals     chan os.Signal
	lastModTime time.Time // the file's time of change when it was last read
}

// filePollInterval is how often the file is looked at for a change that nobody
// signals.
const filePollInterval = 5 * time.Second

// newReloader returns a reloader, and a function that ends its signals.
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

// modTime returns when the file was last changed; zero if nobody can tell.
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
