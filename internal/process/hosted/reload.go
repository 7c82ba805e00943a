package hosted

import (
	"context"
	"os"
	"reflect"
	"time"

	"github.com/marblepond/marblepond/internal/process/settings"
	"github.com/marblepond/marblepond/internal/process/timeline"
)

// settingsPollInterval is the time between checks whether the settings file has changed; it
// may change without a SIGHUP.
const settingsPollInterval = 2 * time.Second

// WatchSettings reloads the settings file on each SIGHUP, received from sighups, and when
// the file has changed, until ctx ends. Changed seeds take effect at once; any other change
// needs a restart. An invalid file is ignored.
func (n *Node) WatchSettings(ctx context.Context, path string, sighups <-chan os.Signal) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastModified := modified(path)
	for {
		hangup := false
		select {
		case <-ctx.Done():
			return
		case <-sighups:
			hangup = true
		case <-ticker.C:
		}
		if changed := modified(path); hangup || !changed.Equal(lastModified) {
			lastModified = changed
			n.reload(path)
		}
	}
}

// modified returns when the file was last changed, zero if that is unknown.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func (n *Node) reload(path string) {
	fresh, err := settings.Load(path)
	if err != nil {
		n.recorder.Record(timeline.NodeReloaded, "", path, "settings not applied: "+err.Error())
		return
	}
	n.seeds.Store(&fresh.Seeds)
	old, current := *n.settings, *fresh
	old.Seeds, current.Seeds = nil, nil
	what := "seeds are in use"
	if !reflect.DeepEqual(old, current) {
		what = "seeds are in use; other changes need a restart"
	}
	n.recorder.Record(timeline.NodeReloaded, "", path, what)
}
