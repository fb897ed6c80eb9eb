// Package record keeps the orders that operators gave, in an embedded store
// (bbolt) that survives a crash: an order is on disk before it is carried out,
// and a start plays all of them again.
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

// Entry is an order that was taken and what it changed.
type Entry struct {
	Order  drains.Order  `json:"order"`
	Result drains.Result `json:"result"`
}

// Log is an open record. It is safe for concurrent use.
type Log struct{ db *bbolt.DB }

var (
	bucketOrders = []byte("orders")
	bucketMeta   = []byte("meta")
	keyFormat    = []byte("format")
	formatNow    = []byte("1")
)

// ErrFormat means that a newer program wrote the record.
var ErrFormat = errors.New("the record of orders is of another format")

// lockWait is how long an open waits for another process to let go.
const lockWait = time.Second

// Open opens or makes the record in a file, for its owner only.
func Open(path string) (*Log, error) {
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockWait})
	if err != nil {
		return nil, fmt.Errorf("open record of orders %s: %w", path, err)
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
			return meta.Put(keyFormat, formatNow)
		case string(format) != string(formatNow):
			return fmt.Errorf("%w: %q", ErrFormat, format)
		}
		return nil
	})
	if err != nil {
		db.Close()
		return nil, fmt.Errorf("open record of orders %s: %w", path, err)
	}
	return &Log{db}, nil
}

// Close closes the record.
func (b *Log) Close() error { return b.db.Close() }

func key(number int64) []byte { return binary.BigEndian.AppendUint64(nil, uint64(number)) }

// Append keeps an entry under its number; it is on disk when this returns.
func (b *Log) Append(e Entry) error {
	text, err := json.Marshal(e)
	if err != nil {
		return err
	}
	return b.db.Update(func(tx *bbolt.Tx) error {
		orders := tx.Bucket(bucketOrders)
		if orders.Get(key(e.Result.Number)) != nil {
			return fmt.Errorf("order %d is there already", e.Result.Number)
		}
		return orders.Put(key(e.Result.Number), text)
	})
}

// EntriesAfter returns at most most entries with numbers over number, in order.
func (b *Log) EntriesAfter(number int64, most int) ([]Entry, error) {
	var out []Entry
	err := b.db.View(func(tx *bbolt.Tx) error {
		c := tx.Bucket(bucketOrders).Cursor()
		for k, v := c.Seek(key(number + 1)); k != nil && len(out) < most; k, v = c.Next() {
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

// Replay carries out all kept orders on a board.
func (b *Log) Replay(board *drains.Registry) error {
	for last := int64(0); ; {
		entries, err := b.EntriesAfter(last, 1000)
		if err != nil {
			return err
		}
		if len(entries) == 0 {
			return nil
		}
		for _, e := range entries {
			last = e.Result.Number
			if r := board.Apply(e.Order); r.Number != last {
				return fmt.Errorf("order %d is missing in the record", r.Number)
			}
		}
	}
}
