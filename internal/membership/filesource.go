package membership

import (
	"bytes"
	"log/slog"
	"os"
	"sync"
	"time"
)

// FileSource polls a node list in a JSON file that operators edit. While the file
// is missing or invalid, the last valid list stays in force and the error is
// logged.
type FileSource struct {
	path      string
	topology  Topology
	log       *slog.Logger
	onList    func(*List)
	onRead    func(readAt time.Time)
	readNow   chan struct{} // buffered; makes run read the file at once
	stop      chan struct{}
	done      chan struct{}
	closeOnce sync.Once
	lastText  []byte
	lastError string
}

const filePollInterval = 100 * time.Millisecond

// FollowFile reads the list in path and passes it to onList, then polls the file
// and passes on each changed list until Close. After a reading that ReadNow asked for
// it calls onRead. Neither is called concurrently. The error is that of the first read;
// the returned source polls the file even if the first read failed.
func FollowFile(path string, topology Topology, log *slog.Logger, onList func(*List), onRead func(readAt time.Time)) (*FileSource, error) {
	s := &FileSource{path: path, topology: topology, log: log, onList: onList, onRead: onRead, readNow: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{})}
	err := s.reload()
	go s.run()
	return s, err
}

// Close stops polling and waits for the polling goroutine to end.
func (s *FileSource) Close() {
	s.closeOnce.Do(func() { close(s.stop) })
	<-s.done
}

func (s *FileSource) run() {
	defer close(s.done)
	ticker := time.NewTicker(filePollInterval)
	defer ticker.Stop()
	for {
		asked := false
		select {
		case <-s.stop:
			return
		case <-s.readNow:
			asked = true
		case <-ticker.C:
		}
		readAt := time.Now()
		if err := s.reload(); err != nil && err.Error() != s.lastError {
			s.lastError = err.Error()
			s.log.Warn("node list rejected", "file", s.path, "error", err)
		} else if err == nil {
			s.lastError = ""
		}
		if asked { // an unreadable file leaves the last list in force
			s.onRead(readAt)
		}
	}
}

// ReadNow makes the file be read at once. It does not wait.
func (s *FileSource) ReadNow() {
	select {
	case s.readNow <- struct{}{}:
	default:
	}
}

// reload reads the file and passes the list to onList if the text has changed.
func (s *FileSource) reload() error {
	text, err := os.ReadFile(s.path)
	if err != nil {
		return err
	}
	if bytes.Equal(text, s.lastText) {
		return nil
	}
	l, err := Parse(text, s.topology)
	if err != nil {
		return err
	}
	s.lastText = text
	s.log.Info("node list accepted", "file", s.path, "version", l.Version, "bricks", len(l.Bricks))
	s.onList(l)
	return nil
}
