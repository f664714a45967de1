package secure

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"github.com/fsnotify/fsnotify"
)

// reloadDelay is how long the files must stay unchanged before they are read, so
// that a new certificate and its key are read together.
const reloadDelay = 200 * time.Millisecond

// Run reloads the files when they change, until ctx is cancelled. It watches their
// directories, because files are often replaced by a rename.
func (i *Identity) Run(ctx context.Context) error {
	watcher, err := fsnotify.NewWatcher()
	if err != nil {
		return fmt.Errorf("watch certificates: %w", err)
	}
	defer watcher.Close()
	for _, file := range []string{i.files.Certificate, i.files.Key, i.files.Authority} {
		if err := watcher.Add(filepath.Dir(file)); err != nil {
			return fmt.Errorf("watch %s: %w", filepath.Dir(file), err)
		}
	}
	reloadTimer := time.NewTimer(0)
	defer reloadTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-watcher.Events:
			reloadTimer.Reset(reloadDelay)
		case err := <-watcher.Errors:
			i.log.WithError(err).Warn("certificate file watcher failed, reloading the files")
			reloadTimer.Reset(reloadDelay)
		case <-reloadTimer.C:
			i.reloadAndLog()
		}
	}
}

func (i *Identity) reloadAndLog() {
	if err := i.Reload(); err != nil {
		i.log.WithError(err).Warn("could not reload the TLS certificates, the previous ones stay in use")
		return
	}
	i.log.Debug("TLS certificates reloaded")
}
