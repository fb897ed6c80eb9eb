package brickd

import (
	"sync"
	"sync/atomic"
	"time"

	"arrowwalk/internal/brick"
	"arrowwalk/internal/store/admission"
)

// Zone deduplicates keyed writes across the bricks of a zone: a write with the
// key of an earlier one within the window is dropped and gets the response of the
// earlier one. It is safe for concurrent use.
type Zone struct {
	Name   string
	Window time.Duration

	mu     sync.Mutex
	writes map[string]*keyedWrite // by key
	byAge  []*keyedWrite          // oldest first
}

// keyedWrite is a write and its response.
type keyedWrite struct {
	key   string
	at    time.Time
	done  chan struct{} // closed when reply is set
	reply reply
}

// NewZone returns a zone with the given deduplication window.
func NewZone(window time.Duration) *Zone {
	return &Zone{Window: window, writes: map[string]*keyedWrite{}}
}

// runOnce executes a write, or waits for the earlier write with the same key and
// returns its reply. A write that failed without effect may be executed again.
func (z *Zone) runOnce(key string, execute func() *reply) *reply {
	now := time.Now()
	z.mu.Lock()
	for len(z.byAge) > 0 && now.Sub(z.byAge[0].at) > z.Window {
		if w := z.byAge[0]; z.writes[w.key] == w {
			delete(z.writes, w.key)
		}
		z.byAge = z.byAge[1:]
	}
	if w := z.writes[key]; w != nil {
		z.mu.Unlock()
		<-w.done
		r := w.reply
		r.repeat = true
		return &r
	}
	w := &keyedWrite{key: key, at: now, done: make(chan struct{})}
	z.writes[key] = w
	z.byAge = append(z.byAge, w)
	z.mu.Unlock()
	r := execute()
	w.reply = *r
	if r.status >= 400 && r.status != 404 && r.status != 412 {
		z.mu.Lock()
		if z.writes[key] == w {
			delete(z.writes, key)
		}
		z.mu.Unlock()
	}
	close(w.done)
	return r
}

// Meter counts the units that all bricks together serve for each volume. It
// reports rates with a delay: that of the period before the last complete one.
// It is safe for concurrent use.
type Meter struct {
	period      time.Duration
	mu          sync.Mutex
	periodStart time.Time
	current     map[uint64]float64 // units by volume in the current period
	previous    map[uint64]float64
	reported    map[uint64]float64
}

// NewMeter returns a meter with the given period.
func NewMeter(period time.Duration) *Meter {
	return &Meter{period: period, periodStart: time.Now(), current: map[uint64]float64{}}
}

// Served adds units served for a volume and returns the volume's reported rate in
// units per second.
func (m *Meter) Served(volume uint64, units float64) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if elapsed := time.Since(m.periodStart); elapsed >= m.period {
		m.reported, m.previous, m.current = m.previous, m.current, map[uint64]float64{}
		if elapsed >= 3*m.period {
			m.reported, m.previous = nil, nil
		}
		m.periodStart = time.Now()
	}
	m.current[volume] += units
	return m.reported[volume] / m.period.Seconds()
}

// hostMeter counts the units that a brick serves for each volume through each
// host. It tells a host how many units the volume was served through other hosts
// since it last told that host.
type hostMeter struct {
	mu      sync.Mutex
	volumes map[uint64]*volumeUsage
}

type volumeUsage struct {
	lastUsed time.Time
	total    float64
	byHost   map[int]float64 // units served through the host
	reported map[int]float64 // units served through other hosts that the host was told of
}

const (
	maxVolumes = 4096 // volumes counted; idle ones are evicted first
	maxHosts   = 1024 // hosts counted for each volume
)

// add counts units served for a volume through a host and returns the units
// through other hosts that the host has not been told of yet.
func (m *hostMeter) add(volume uint64, host int, units float64) float64 {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	v := m.volumes[volume]
	if v == nil {
		m.evict(now)
		v = &volumeUsage{byHost: map[int]float64{}, reported: map[int]float64{}}
		if m.volumes == nil {
			m.volumes = map[uint64]*volumeUsage{}
		}
		m.volumes[volume] = v
	}
	v.lastUsed = now
	if _, known := v.byHost[host]; !known {
		if len(v.byHost) >= maxHosts {
			return 0
		}
		v.reported[host] = v.total // a new host is not told of earlier units
	}
	v.total += units
	v.byHost[host] += units
	others := v.total - v.byHost[host] - v.reported[host]
	v.reported[host] += others
	return others
}

// evict removes idle volumes if there are too many, and any volume if there are
// far too many.
func (m *hostMeter) evict(now time.Time) {
	if len(m.volumes) < maxVolumes {
		return
	}
	for id, v := range m.volumes {
		if now.Sub(v.lastUsed) > time.Minute || len(m.volumes) >= 2*maxVolumes {
			delete(m.volumes, id)
		}
	}
}

// busyMeter measures the workers' utilization: the part of their time that was
// busy in the last complete period of busyPeriod.
type busyMeter struct {
	mu          sync.Mutex
	workers     int
	running     int       // busy workers
	lastChange  time.Time // of running
	periodStart time.Time
	busyTime    time.Duration // summed over the workers in this period
	permille    atomic.Int64  // utilization in parts per thousand
}

const busyPeriod = 100 * time.Millisecond

func (b *busyMeter) init(workers int) {
	b.workers, b.lastChange, b.periodStart = workers, time.Now(), time.Now()
}

func (b *busyMeter) addRunning(delta int) {
	now := time.Now()
	b.mu.Lock()
	b.busyTime += time.Duration(b.running) * now.Sub(b.lastChange)
	b.lastChange = now
	b.running += delta
	if elapsed := now.Sub(b.periodStart); elapsed >= busyPeriod {
		b.permille.Store(int64(1000 * b.busyTime / (elapsed * time.Duration(b.workers))))
		b.periodStart, b.busyTime = now, 0
	}
	b.mu.Unlock()
}

func (b *busyMeter) begin() { b.addRunning(1) }
func (b *busyMeter) end()   { b.addRunning(-1) }

// appendLoad appends the load report in ORCA's text form.
func (s *Server) appendLoad(b []byte) []byte {
	permille := int64(1000 * admission.ReportedUtilization(float64(s.busy.permille.Load())/1000, s.blobs.CommitStats()))
	b = append(b, brick.HeaderLoad...)
	b = append(b, ": TEXT cpu_utilization="...)
	b = append(b, byte('0'+min(permille/1000, 9)), '.', byte('0'+permille/100%10), byte('0'+permille/10%10), byte('0'+permille%10))
	return append(b, "\r\n"...)
}
