// Package orderlog persists the orders of operators in an embedded store (bbolt), so
// that they survive a crash: an order is on disk before it is applied, and all orders
// are replayed at the start.
package orderlog

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"go.etcd.io/bbolt"

	"arrowwalk/internal/control/drains"
)

// Entry is an accepted order and its result.
type Entry struct {
	Order  drains.Order  `json:"order"`
	Result drains.Result `json:"result"`
}

// Log is an open order log. It is safe for concurrent use.
type Log struct{ db *bbolt.DB }

var (
	bucketOrders  = []byte("orders")
	bucketMeta    = []byte("meta")
	keyFormat     = []byte("format")
	currentFormat = []byte("1")
)

// ErrFormat means that another version of the program wrote the log.
var ErrFormat = errors.New("unsupported format of the order log")

// lockTimeout bounds the time that Open waits for another process to release the
// file.
const lockTimeout = time.Second

// Open opens the log in a file. It creates a missing file with access for its owner
// only.
func Open(path string) (*Log, error) {
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout})
	if err != nil {
		return nil, fmt.Errorf("open order log %s: %w", path, err)
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		if _, err := tx.CreateBucketIfNotExists(bucketOrders); err != nil {
			return err
		}
		meta, err := tx.CreateBucketIfNotExists(bucketMeta)
		if err != nil {
			return err
		}
		switch format := meta.Get(keyFormat); {
		case format == nil:
			return meta.Put(keyFormat, currentFormat)
		case string(format) != string(currentFormat):
			return fmt.Errorf("%w: %q", ErrFormat, format)
		}
		return nil
	})
	if err != nil {
		db.Close()
		return nil, fmt.Errorf("open order log %s: %w", path, err)
	}
	return &Log{db}, nil
}

// Close closes the log and releases the file.
func (l *Log) Close() error { return l.db.Close() }

// orderKey returns the key of an order. Keys sort by number.
func orderKey(number int64) []byte { return binary.BigEndian.AppendUint64(nil, uint64(number)) }

// Append stores an entry under its number. The entry is on disk when Append returns.
func (l *Log) Append(e Entry) error {
	text, err := json.Marshal(e)
	if err != nil {
		return err
	}
	return l.db.Update(func(tx *bbolt.Tx) error {
		orders := tx.Bucket(bucketOrders)
		if orders.Get(orderKey(e.Result.Number)) != nil {
			return fmt.Errorf("order %d already exists", e.Result.Number)
		}
		return orders.Put(orderKey(e.Result.Number), text)
	})
}

// EntriesAfter returns up to maxCount entries with numbers above after, in ascending
// order.
func (l *Log) EntriesAfter(after int64, maxCount int) ([]Entry, error) {
	var out []Entry
	err := l.db.View(func(tx *bbolt.Tx) error {
		c := tx.Bucket(bucketOrders).Cursor()
		for k, v := c.Seek(orderKey(after + 1)); k != nil && len(out) < maxCount; k, v = c.Next() {
			var e Entry
			if err := json.Unmarshal(v, &e); err != nil {
				return fmt.Errorf("order %d: %w", binary.BigEndian.Uint64(k), err)
			}
			out = append(out, e)
		}
		return nil
	})
	return out, err
}

// Replay applies all logged orders to a registry.
func (l *Log) Replay(registry *drains.Registry) error {
	for last := int64(0); ; {
		entries, err := l.EntriesAfter(last, 1000)
		if err != nil {
			return err
		}
		if len(entries) == 0 {
			return nil
		}
		for _, e := range entries {
			last = e.Result.Number
			if r := registry.Apply(e.Order); r.Number != last {
				return fmt.Errorf("order %d is missing in the order log", r.Number)
			}
		}
	}
}
