package prove

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cespare/xxhash/v2"

	"arrowwalk/internal/brick"
	"arrowwalk/internal/standin/clients"
	"arrowwalk/internal/store"
)

// absentObject is the value of an object that does not exist. Contents have positive
// values.
const absentObject int64 = 0

// objectOperation is one operation on one object.
type objectOperation struct {
	path  string
	write bool
	value int64 // written or read
}

// objectHistory is what clients did to objects and saw of them. It is safe for
// concurrent use.
type objectHistory struct {
	mu         sync.Mutex
	operations []porcupine.Operation
	values     map[uint64]int64 // by the hash of the content
	nextValue  int64
	foreign    []string // answers with bytes that no client wrote
	unknown    int      // writes with an unknown outcome
}

// objectModel is a register for each object.
var objectModel = porcupine.Model{
	Partition: partitionBy(func(op porcupine.Operation) string { return op.Input.(objectOperation).path }),
	Init:      func() any { return absentObject },
	Step: func(state, input, _ any) (bool, any) {
		op := input.(objectOperation)
		if op.write {
			return true, op.value
		}
		return op.value == state.(int64), state
	},
	Equal: func(a, b any) bool { return a == b },
}

// partitionBy returns a function that divides a history by a key of its operations.
func partitionBy[K comparable](key func(porcupine.Operation) K) func([]porcupine.Operation) [][]porcupine.Operation {
	return func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[K][]porcupine.Operation{}
		for _, op := range history {
			byKey[key(op)] = append(byKey[key(op)], op)
		}
		return slices.Collect(maps.Values(byKey))
	}
}

// newContent returns a new content of the given size and its value.
func (h *objectHistory) newContent(size int) ([]byte, int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.nextValue++
	body := content(h.nextValue, size)
	h.values[xxhash.Sum64(body)] = h.nextValue
	return body, h.nextValue
}

// wrote records a write that began at began. Unless it is known to have taken effect,
// it may take effect at any later time, or never.
func (h *objectHistory) wrote(path string, value int64, began time.Time, known bool) {
	op := porcupine.Operation{Input: objectOperation{path, true, value}, Call: began.UnixNano(), Return: time.Now().UnixNano()}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !known {
		op.Return = math.MaxInt64
		h.unknown++
	}
	h.operations = append(h.operations, op)
}

// read records the answer to a GET that began at began, unless it tells nothing.
func (h *objectHistory) read(path string, began time.Time, a *clients.Answer) {
	value := absentObject
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case a.Call.Status == 200 && a.Call.Whole:
		known := false
		if value, known = h.values[xxhash.Sum64(a.Body)]; !known {
			h.foreign = append(h.foreign, fmt.Sprintf("GET %s: %d bytes that nobody wrote", path, len(a.Body)))
			return
		}
	case a.Call.Status == 404:
	default:
		return
	}
	h.operations = append(h.operations, porcupine.Operation{Input: objectOperation{path, false, value}, Call: began.UnixNano(), Return: time.Now().UnixNano()})
}

// maxCheckTime bounds the search for an order.
const maxCheckTime = 60 * time.Second

// check returns what contradicts that each object is a register.
func (h *objectHistory) check() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	seen := map[int64]bool{absentObject: true}
	for _, op := range h.operations {
		if in := op.Input.(objectOperation); !in.write {
			seen[in.value] = true
		}
	}
	var relevant []porcupine.Operation
	for _, op := range h.operations {
		// A write that may not have taken effect and that nobody saw explains nothing.
		if in := op.Input.(objectOperation); op.Return != math.MaxInt64 || seen[in.value] {
			relevant = append(relevant, op)
		}
	}
	var broken []string
	for _, part := range objectModel.Partition(relevant) {
		if got := porcupine.CheckOperationsTimeout(objectModel, part, maxCheckTime); got != porcupine.Ok {
			broken = append(broken, fmt.Sprintf("%s: no order explains its %d operations (%s)", part[0].Input.(objectOperation).path, len(part), got))
		}
	}
	return broken
}

// ownership counts the pieces at bricks by whether a record names them.
type ownership struct {
	named   int
	unnamed int
	waiting int // entries of the trash, and intents
}

// countPieces looks into the stores of all bricks. Pieces of uploads in progress count
// as named.
func countPieces(stores []*store.Store) (ownership, error) {
	owners := map[string]bool{}
	var count ownership
	for _, s := range stores {
		for _, item := range listAll(s, brick.SpaceObjects) {
			var record struct {
				PiecePrefix string `json:"d"`
			}
			if err := json.Unmarshal(item.Meta, &record); err != nil {
				return count, fmt.Errorf("record of %q: %w", item.Name, err)
			}
			owners[record.PiecePrefix] = true
		}
		for _, item := range listAll(s, brick.SpaceUploads) {
			owners[item.Name[strings.LastIndexByte(item.Name, 0)+1:]] = true
		}
		count.waiting += len(listAll(s, brick.SpaceTrash)) + len(listAll(s, brick.SpaceIntents))
	}
	for _, s := range stores {
		for _, item := range listAll(s, brick.SpacePieces) {
			if set, _, _ := strings.Cut(item.Name, "/"); owners[set] {
				count.named++
			} else {
				count.unnamed++
			}
		}
	}
	return count, nil
}

// listAll returns all items of a space.
func listAll(s *store.Store, space string) []store.Item {
	const pageItems = 1000
	var items []store.Item
	after := ""
	for {
		page, more := s.List(space, store.Query{After: after, MaxItems: pageItems})
		items = append(items, page...)
		if !more || len(page) == 0 {
			return items
		}
		after = page[len(page)-1].Name
	}
}
