package membership

import (
	"bytes"
	"log/slog"
	"os"
	"sync"
	"time"
)

// FileSource follows a list in a JSON file that an operator edits. A file that
// is missing or bad changes nothing: the last good list stands, and a log line
// says what is wrong.
type FileSource struct {
	path  string
	shape Topology
	log   *slog.Logger
	tell  func(*List)
	quit  chan struct{}
	done  chan struct{}
	once  sync.Once
	last  []byte
	bad   string
}

// fileEvery is how often the file is looked at.
const fileEvery = 100 * time.Millisecond

// FollowFile reads the list in path, tells of it, and then of every change
// until Close. tell is called from one goroutine at a time. The error is that
// of the first reading; the file is followed all the same.
func FollowFile(path string, shape Topology, log *slog.Logger, tell func(*List)) (*FileSource, error) {
	f := &FileSource{path: path, shape: shape, log: log, tell: tell, quit: make(chan struct{}), done: make(chan struct{})}
	err := f.look()
	go f.run()
	return f, err
}

// Close stops following.
func (f *FileSource) Close() {
	f.once.Do(func() { close(f.quit) })
	<-f.done
}

func (f *FileSource) run() {
	defer close(f.done)
	tick := time.NewTicker(fileEvery)
	defer tick.Stop()
	for {
		select {
		case <-f.quit:
			return
		case <-tick.C:
		}
		if err := f.look(); err != nil && err.Error() != f.bad {
			f.bad = err.Error()
			f.log.Warn("node list not taken", "file", f.path, "error", err)
		} else if err == nil {
			f.bad = ""
		}
	}
}

// look reads the file and tells of it where it has changed.
func (f *FileSource) look() error {
	text, err := os.ReadFile(f.path)
	if err != nil {
		return err
	}
	if bytes.Equal(text, f.last) {
		return nil
	}
	l, err := Parse(text, f.shape)
	if err != nil {
		return err
	}
	f.last = text
	f.log.Info("node list taken", "file", f.path, "version", l.Version, "bricks", len(l.Bricks))
	f.tell(l)
	return nil
}
