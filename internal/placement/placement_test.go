package placement

import (
	"fmt"
	"math"
	"strings"
	"testing"
)

// Names of the forms in use spread evenly over the shards: the fullest shard is
// within 15% of the mean, and the chi-squared statistic is within chance.
func TestBalance(t *testing.T) {
	nameForms := map[string]func(i int) string{
		"numbered": func(i int) string { return Object("theses", fmt.Sprintf("2026/%06d.pdf", i)) },
		"pieces":   func(i int) string { return Piece("0-k3x9-17", i) },
		"deep":     func(i int) string { return Object("b", strings.Repeat("a/", i%50)+fmt.Sprint(i)) },
	}
	for form, nameOf := range nameForms {
		for _, shards := range []int{3, 6, 42} {
			m, err := NewEven(shards)
			if err != nil {
				t.Fatal(err)
			}
			const n = 60_000
			counts := make([]float64, shards)
			for i := range n {
				counts[m.Shard(nameOf(i))]++
			}
			mean, fullest, chiSquared := float64(n)/float64(shards), 0.0, 0.0
			for _, c := range counts {
				fullest = max(fullest, c)
				chiSquared += (c - mean) * (c - mean) / mean
			}
			degreesOfFreedom := float64(shards - 1)
			if fullest > 1.15*mean || chiSquared > degreesOfFreedom+6*math.Sqrt(2*degreesOfFreedom) {
				t.Errorf("%s over %d shards: fullest %.0f, mean %.0f, chi-squared %.1f", form, shards, fullest, mean, chiSquared)
			}
		}
	}
}

func TestTables(t *testing.T) {
	if slot := Slot("bucket/key"); slot != Slot("bucket/key") || slot < 0 || slot >= Slots {
		t.Errorf("slot %d", slot)
	}
	// Stored data depends on the hash: xxHash64 with seed 0.
	if h := Hash("a"); h != 0xd24ec4f1a98c6e5b {
		t.Errorf("hash of a: %#x", h)
	}
	for _, c := range []struct {
		shards int
		table  []Range
		err    string
	}{
		{2, []Range{{0, 2047, 0}, {2048, 4095, 1}}, ""},
		{2, []Range{{0, 2047, 0}, {2047, 4095, 1}}, "slots[1]: slot 2047 is assigned twice"},
		{2, []Range{{0, 2047, 0}}, "slots: 2048 of 4096"},
		{2, []Range{{0, 4095, 2}}, "slots[0].shard: 2"},
		{2, []Range{{5, 4, 0}}, "slots[0]: 5 to 4"},
		{0, nil, "shards: 0"},
	} {
		m, err := NewFromRanges(c.shards, c.table)
		if c.err == "" {
			if err != nil || m.shardOfSlot[0] != 0 || m.shardOfSlot[4095] != 1 {
				t.Errorf("%+v: %v", c, err)
			}
		} else if err == nil || !strings.Contains(err.Error(), c.err) {
			t.Errorf("%+v: %v", c, err)
		}
	}
}
