package secure

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"github.com/fsnotify/fsnotify"
)

// settleTime is how long the files have to rest before they are read, so that
// a certificate and its key are read together.
const settleTime = 200 * time.Millisecond

// Run reloads the files when they change, until ctx ends. It watches their
// folders, because files are often replaced by renaming.
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
	settled := time.NewTimer(0)
	defer settled.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-watcher.Events:
			settled.Reset(settleTime)
		case err := <-watcher.Errors:
			i.log.WithError(err).Warn("watching certificates failed")
			settled.Reset(settleTime)
		case <-settled.C:
			i.reloadOrWarn()
		}
	}
}

func (i *Identity) reloadOrWarn() {
	if err := i.Reload(); err != nil {
		i.log.WithError(err).Warn("certificates were not reloaded, the earlier ones stay in use")
		return
	}
	i.log.Debug("certificates were reloaded")
}
