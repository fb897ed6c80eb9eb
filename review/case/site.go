//go:build review

package main

import (
	"encoding/json"
	"time"
)

// class is a class of requests in the settings.
type class struct {
	name     string
	writes   bool
	keyed    bool
	deadline time.Duration
}

// siteOptions describes a small deployment.
type siteOptions struct {
	hosts, groups int
	classes       []class
	work          func() time.Duration // of a brick for one request
	drainGrace    time.Duration
	settings      func(ordinal int) string
}

type object = map[string]any

func micros(d time.Duration) int64 { return d.Microseconds() }

// pasig returns pasig-main as its brief and site file describe it: 3 hosts and 9
// disk boxes, with the settings of the wire page's example.
func pasig() siteOptions { return pasigOf(3) }

func pasigOf(hosts int) siteOptions {
	opt := siteOptions{hosts: hosts, groups: 9, drainGrace: 500 * time.Millisecond,
		classes: []class{{name: "fetch-text", deadline: 2500 * time.Millisecond}, {name: "save-paper", writes: true, keyed: true, deadline: 2500 * time.Millisecond}},
		work:    func() time.Duration { return between(30*time.Millisecond, 70*time.Millisecond) }}
	opt.settings = func(ordinal int) string {
		text, err := json.Marshal(object{
			"peersTotal": opt.hosts, "ordinal": ordinal, "zone": 0, "periodUs": 2000, "discovery": "automatic",
			"zones": []string{"room-a", "room-b", "room-c"}, "kinds": []string{"std-10", "std-08"}, "kindOfService": "stores",
			"layer": 0, "layers": []string{"paper-store"}, "weightKind": "off", "clients": object{"marksRetry": true},
			"categories": []object{
				{"aimUs": 400000, "deadlineUs": 2500000, "dedupScope": "all", "lateWorth": 0.2, "name": "fetch-text", "repeat": "read_like", "streamed": false, "windowUs": 5000000, "worth": 2.0},
				{"aimUs": 500000, "deadlineUs": 2500000, "dedupScope": "cell", "lateWorth": 0.15, "name": "save-paper", "repeat": "idempotency_key", "streamed": false, "windowUs": 4000000, "worth": 2.0}},
			"familyInfo": object{"beyondShare": 0.08, "changesData": []bool{false, true}, "coldBears": 29.0, "meterUs": 1000000, "mostUnits": 6, "saysOthers": true, "shards": opt.groups, "unitMean": 2.01, "withinShare": 0.35},
			"limits":     object{"cancel": true, "connectTimeoutUs": 250000, "cpuUsPerRequest": 0.0, "cpuUsPerS": 666666, "idleCloseUs": 15000000, "maxAttempts": 4, "maxOpen": 26666, "maxRetryAfterUs": 500000, "multiplex": 1, "parallelTries": true, "peerMessages": false, "probing": true, "retryAfter": true},
			"reporting":  object{"fields": []string{"util"}, "how": "inline"},
			"rules":      object{"answerSlackUs": 8000, "askEveryUs": 10000000, "coldFrom": 0.23, "drainGraceUs": micros(opt.drainGrace), "fallUs": 1000000, "overloadFactor": 4.0, "warmWithinUs": 15000000},
			"serviceLevels": []object{
				{"burst": 0.0, "ceilingRate": 0.0, "limitSlack": 0.0, "name": "basic", "parts": 1.0, "reservation": 0.0, "usualRate": 3.6, "worthFactor": 0.8},
				{"burst": 0.0, "ceilingRate": 0.0, "limitSlack": 0.0, "name": "campus", "parts": 1.0, "reservation": 7.2, "usualRate": 7.2, "worthFactor": 0.9},
				{"burst": 0.0, "ceilingRate": 0.0, "limitSlack": 0.0, "name": "university", "parts": 1.0, "reservation": 17.0, "usualRate": 14.0, "worthFactor": 1.4}},
		})
		if err != nil {
			panic(err)
		}
		return string(text)
	}
	return opt
}

// throng returns pasig-main with 20 hosts.
func throng() siteOptions { return pasigOf(20) }

// results returns results-store as its brief and site file describe it: 3 hosts
// and 9 store nodes. Requests of count-write with one key run in order.
func results() siteOptions {
	opt := siteOptions{hosts: 5, groups: 9, drainGrace: 2 * time.Second,
		classes: []class{{name: "tally-read", deadline: 2 * time.Second}, {name: "count-write", writes: true, deadline: 2 * time.Second}, {name: "results-export", deadline: 4 * time.Second}},
		work:    func() time.Duration { return between(20*time.Millisecond, 40*time.Millisecond) }}
	opt.settings = func(ordinal int) string {
		text, err := json.Marshal(object{
			"peersTotal": opt.hosts, "ordinal": ordinal, "zone": 0, "periodUs": 2000, "discovery": "automatic",
			"zones": []string{"room-a"}, "kinds": []string{"std-10"}, "kindOfService": "stores",
			"layer": 0, "layers": []string{"result-store"}, "weightKind": "off", "clients": object{"marksRetry": true},
			"categories": []object{
				{"aimUs": 250000, "deadlineUs": 2000000, "dedupScope": "all", "lateWorth": 0.2, "name": "tally-read", "repeat": "read_like", "streamed": false, "windowUs": 5000000, "worth": 3.0},
				{"aimUs": 300000, "deadlineUs": 2000000, "dedupScope": "all", "lateWorth": 0.2, "name": "count-write", "repeat": "read_like", "sequential": true, "streamed": false, "windowUs": 5000000, "worth": 2.0},
				{"aimUs": 1200000, "deadlineUs": 4000000, "dedupScope": "all", "lateWorth": 0.2, "name": "results-export", "repeat": "read_like", "streamed": false, "windowUs": 5000000, "worth": 1.0}},
			"familyInfo": object{"beyondShare": 0.05, "changesData": []bool{false, true, false}, "coldBears": 29.0, "meterUs": 2000000, "mostUnits": 6, "saysOthers": true, "shards": opt.groups, "unitMean": 2.01, "withinShare": 0.3},
			"limits":     object{"cancel": true, "connectTimeoutUs": 250000, "cpuUsPerRequest": 0.0, "cpuUsPerS": 666666, "idleCloseUs": 15000000, "maxAttempts": 3, "maxOpen": 26666, "maxRetryAfterUs": 500000, "multiplex": 1, "parallelTries": false, "peerMessages": false, "probing": true, "retryAfter": true},
			"reporting":  object{"fields": []string{"util"}, "how": "inline"},
			"rules": object{"answerSlackUs": 8000, "askEveryUs": 10000000, "coldFrom": 0.17, "drainGraceUs": micros(opt.drainGrace), "fallUs": 1000000, "overloadFactor": 3.0, "warmWithinUs": 18000000,
				"turnGapUs": 0, "freeResends": 3, "repeatRatio": 0.25, "resendSpanUs": 5000000},
			"serviceLevels": []object{
				{"burst": 36.0, "ceilingRate": 14.4, "limitSlack": 6.0, "name": "standard", "parts": 1.0, "reservation": 1.8, "usualRate": 3.6, "worthFactor": 0.72},
				{"burst": 0.0, "ceilingRate": 0.0, "limitSlack": 0.0, "name": "election-night", "parts": 3.0, "reservation": 8.6, "usualRate": 7.2, "worthFactor": 1.2}},
		})
		if err != nil {
			panic(err)
		}
		return string(text)
	}
	return opt
}

// amman returns amman-main as its brief and site file describe it: 3 hosts and 8
// storage nodes. Requests of new-write with one key run in order and never twice.
func amman() siteOptions {
	opt := siteOptions{hosts: 3, groups: 8, drainGrace: 2 * time.Second,
		classes: []class{{name: "read", deadline: 5 * time.Second}, {name: "new-write", writes: true, deadline: 5 * time.Second}},
		work:    func() time.Duration { return between(50*time.Millisecond, 100*time.Millisecond) }}
	opt.settings = func(ordinal int) string {
		text, err := json.Marshal(object{
			"peersTotal": opt.hosts, "ordinal": ordinal, "zone": 0, "periodUs": 2000, "discovery": "subscribe",
			"zones": []string{"room-a"}, "kinds": []string{"std-3core"}, "kindOfService": "stores",
			"layer": 0, "layers": []string{"pick-store"}, "weightKind": "off", "clients": object{"marksRetry": true},
			"categories": []object{
				{"aimUs": 750000, "deadlineUs": 5000000, "dedupScope": "all", "lateWorth": 0.2, "name": "read", "repeat": "read_like", "streamed": false, "windowUs": 5000000, "worth": 2.0},
				{"aimUs": 1000000, "deadlineUs": 5000000, "dedupScope": "all", "lateWorth": 0.15, "name": "new-write", "repeat": "non_idempotent", "sequential": true, "streamed": false, "windowUs": 5000000, "worth": 3.0}},
			"familyInfo": object{"beyondShare": 0.1, "changesData": []bool{false, true}, "coldBears": 29.0, "meterUs": 0, "mostUnits": 6, "saysOthers": false, "shards": opt.groups, "unitMean": 2.01, "withinShare": 0.35},
			"limits":     object{"cancel": true, "connectTimeoutUs": 250000, "cpuUsPerRequest": 0.0, "cpuUsPerS": 666666, "idleCloseUs": 15000000, "maxAttempts": 3, "maxOpen": 26666, "maxRetryAfterUs": 500000, "multiplex": 1, "parallelTries": true, "peerMessages": false, "probing": true, "retryAfter": true},
			"reporting":  object{"fields": []string{"queue", "latency_ms"}, "how": "on_probe"},
			"rules": object{"answerSlackUs": 8000, "askEveryUs": 10000000, "coldFrom": 0.16, "drainGraceUs": micros(opt.drainGrace), "fallUs": 1000000, "overloadFactor": 2.5, "warmWithinUs": 17000000,
				"turnGapUs": 100000, "freeResends": 3, "repeatRatio": 0.15, "resendSpanUs": 5000000},
			"serviceLevels": []object{
				{"burst": 60.0, "ceilingRate": 40.0, "limitSlack": 6.0, "name": "standard", "parts": 1.0, "reservation": 1.5, "usualRate": 5.0, "worthFactor": 0.72},
				{"burst": 0.0, "ceilingRate": 0.0, "limitSlack": 0.0, "name": "priority", "parts": 3.0, "reservation": 9.0, "usualRate": 7.5, "worthFactor": 0.9}},
		})
		if err != nil {
			panic(err)
		}
		return string(text)
	}
	return opt
}
