package standincmd

import (
	"context"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/cli"
	"coveferry/internal/standin/configsvc"
)

// ConfigServiceCmd serves a stand-in of the configuration service.
type ConfigServiceCmd struct {
	Listen string        `default:"127.0.0.1:8500" help:"IP and port."`
	Dir    string        `required:"" help:"Folder whose files are the values, under their paths in it." placeholder:"DIR"`
	Poll   time.Duration `default:"200ms" help:"How often the folder is looked at for changes."`
	Reads  float64       `default:"2000" help:"Calls a second that it serves."`
}

// minPollInterval is the shortest interval at which the folder is polled.
const minPollInterval = 10 * time.Millisecond

// Help implements kong.HelpProvider.
func (*ConfigServiceCmd) Help() string {
	return `Publishes the files of a folder, and again those that change. "coveferryctl bundle
sign --split DIR" writes such a folder; the processes' setting config_service is
the URL printed here.`
}

// Run runs the command.
func (c *ConfigServiceCmd) Run(env *cli.Env) error {
	if c.Poll < minPollInterval {
		return cli.BadInput(errors.Newf("--poll is %s; write %s or more", c.Poll, minPollInterval))
	}
	f := folderPublisher{dir: c.Dir, service: configsvc.New(configsvc.Config{ReadsPerSecond: c.Reads}), published: make(map[string]fileState)}
	if err := f.publishChanged(); err != nil {
		return cli.BadInput(err)
	}
	ctx, cancel := context.WithCancel(env.Ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.watch(ctx, c.Poll, func(err error) { fmt.Fprintln(env.Stderr, err) })
	}()
	err := serve(env, c.Listen, f.service.Handler())
	cancel()
	<-done
	return err
}

// folderPublisher publishes the files of a folder in a configuration service.
type folderPublisher struct {
	dir       string
	service   *configsvc.Service
	published map[string]fileState // by key
}

// fileState identifies a version of a file.
type fileState struct {
	size    int64
	modTime time.Time
}

func (f *folderPublisher) watch(ctx context.Context, interval time.Duration, report func(error)) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if err := f.publishChanged(); err != nil {
				report(err)
			}
		}
	}
}

// publishChanged publishes new and changed files. It skips names that end in ".next",
// which are files that are still being written.
func (f *folderPublisher) publishChanged() error {
	err := filepath.WalkDir(f.dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || filepath.Ext(path) == ".next" {
			return err
		}
		return f.publishFile(path, d)
	})
	return errors.Wrap(err, "configuration service")
}

func (f *folderPublisher) publishFile(path string, d fs.DirEntry) error {
	info, err := d.Info()
	if err != nil {
		return err
	}
	key, err := filepath.Rel(f.dir, path)
	if err != nil {
		return err
	}
	now := fileState{size: info.Size(), modTime: info.ModTime()}
	if f.published[key] == now {
		return nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if _, err := f.service.Publish(filepath.ToSlash(key), data); err != nil {
		return errors.Wrap(err, path)
	}
	f.published[key] = now
	return nil
}
