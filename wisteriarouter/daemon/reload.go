package daemon

import (
	"github.com/samber/do/v2"

	"wisteriaspool/coordination/settings/schema"
	"wisteriaspool/wisteriarouter/config"
	"wisteriaspool/wisteriarouter/event"
)

// Reload applies the settings of a configuration file that was read again, as
// far as they take effect without a restart: the log level and the settings of
// a relaying router. A file that could not be read or that has problems changes
// nothing.
func (d *Daemon) Reload(cfg *config.Config, problems []schema.Problem, err error) {
	switch {
	case err != nil:
		d.log.Emit(event.ReloadFailed, event.F("error", err.Error()))
		return
	case cfg == nil:
		d.log.Emit(event.ReloadFailed, event.F("problems", problems))
		return
	}
	d.logger.SetLevel(cfg.Log.Level)
	if cfg.Relay != nil && do.MustInvoke[*config.Config](d.injector).Relay != nil {
		do.MustInvoke[*desiredState](d.injector).configure(*cfg.Relay)
		do.MustInvoke[*poolRetries](d.injector).configure(*cfg.Relay)
	}
	d.log.Emit(event.Reloaded)
}
