//go:build review

package main

import (
	"bufio"
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// gatewaySite is a gateway with the object API and its bricks, each a process of
// its own, with a proxy of this process in front of each brick.
type gatewaySite struct {
	rec       *recorder
	dir       string
	processes []*exec.Cmd
	logs      []*os.File
	proxies   []*proxy
	endpoint  string // HOST:PORT of the object API
	accessKey string
	secretKey string
	region    string
}

// gatewayBricks is the number of bricks, of one shard each.
const gatewayBricks = 3

// newGatewaySite starts the bricks, the proxies and the gateway. The caller
// closes the site also after an error.
func newGatewaySite(rec *recorder) (*gatewaySite, error) {
	dir, err := os.MkdirTemp("", "arrowwalk-review")
	if err != nil {
		return nil, err
	}
	s := &gatewaySite{rec: rec, dir: dir}
	var bricks []object
	for i := range gatewayBricks {
		name := fmt.Sprint("brick-", i+1)
		var ready struct{ Address string }
		if err := s.start(name, &ready, "brick", "--name", name, "--zone", "zone-a", "--shard", fmt.Sprint(i), "--data", s.file(name)); err != nil {
			return s, err
		}
		p, err := newProxy(rec, name, ready.Address)
		if err != nil {
			return s, err
		}
		s.proxies = append(s.proxies, p)
		bricks = append(bricks, object{"name": name, "zone": "zone-a", "shard": i, "address": p.ln.Addr().String()})
	}
	if err := s.writeConfig(bricks); err != nil {
		return s, err
	}
	var ready struct {
		Endpoint  string
		AccessKey string `json:"access_key"`
		SecretKey string `json:"secret_key"`
		Region    string
	}
	if err := s.start("gateway", &ready, "serve", "--config", s.file("settings.json"), "--data", s.file("gateway")); err != nil {
		return s, err
	}
	s.endpoint = strings.TrimPrefix(ready.Endpoint, "http://")
	s.accessKey, s.secretKey, s.region = ready.AccessKey, ready.SecretKey, ready.Region
	return s, nil
}

func (s *gatewaySite) file(name string) string { return s.dir + "/" + name }

// writeConfig writes the default settings with the bricks of this site and the
// waits of pasig-main: clients give up after 2.5 s, and repeats of a write are
// dropped for 4 s.
func (s *gatewaySite) writeConfig(bricks []object) error {
	text, err := exec.Command("bin/arrowwalk", "config", "default").Output()
	if err != nil {
		return fmt.Errorf("config default: %w", err)
	}
	var cfg object
	if err := json.Unmarshal(text, &cfg); err != nil {
		return err
	}
	cfg["listen"], cfg["zones"], cfg["shards"], cfg["bricks"] = "127.0.0.1:0", []string{"zone-a"}, len(bricks), bricks
	classes := cfg["classes"].(object)
	for name, aim := range map[string]int{"read": 400, "write": 500} {
		class := classes[name].(object)
		class["aim_ms"], class["deadline_ms"] = aim, 2500
	}
	if text, err = json.Marshal(cfg); err != nil {
		return err
	}
	return os.WriteFile(s.file("settings.json"), text, 0o600)
}

// start starts the program with a sub-command and reads the ready file that it
// writes once it serves.
func (s *gatewaySite) start(name string, ready any, args ...string) error {
	readyFile := s.file(name + ".ready")
	log, err := os.Create(s.file(name + ".log"))
	if err != nil {
		return err
	}
	s.logs = append(s.logs, log)
	cmd := exec.Command("bin/arrowwalk", append(args, "--ready-file", readyFile)...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	s.processes = append(s.processes, cmd)
	s.rec.at(time.Now(), "%s started", name)
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if text, err := os.ReadFile(readyFile); err == nil && json.Unmarshal(text, ready) == nil {
			return nil
		}
	}
	text, _ := os.ReadFile(log.Name())
	return fmt.Errorf("%s is not ready: %s", name, text)
}

// close ends all processes that the site started.
func (s *gatewaySite) close() {
	for i := len(s.processes) - 1; i >= 0; i-- {
		s.processes[i].Process.Signal(syscall.SIGTERM)
	}
	for _, cmd := range s.processes {
		kill := time.AfterFunc(5*time.Second, func() { cmd.Process.Kill() })
		cmd.Wait()
		kill.Stop()
	}
	for _, p := range s.proxies {
		p.ln.Close()
	}
	for _, log := range s.logs {
		log.Close()
	}
	os.RemoveAll(s.dir)
}

// proxy forwards the connections between the gateway and one brick. It forwards
// every request at once, and can hold back the answers to writes of objects.
type proxy struct {
	rec   *recorder
	name  string
	brick string
	ln    net.Listener

	mu     sync.Mutex
	delay  time.Duration // of the answers to writes of objects
	quiet  bool          // these answers never come
	writes map[string]chan struct{}
}

func newProxy(rec *recorder, name, brick string) (*proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{rec: rec, name: name, brick: brick, ln: ln, writes: map[string]chan struct{}{}}
	go p.accept()
	return p, nil
}

// set changes what becomes of the answers to writes of objects.
func (p *proxy) set(delay time.Duration, quiet bool) {
	p.mu.Lock()
	p.delay, p.quiet = delay, quiet
	p.mu.Unlock()
}

// awaitWrite returns a channel that is closed when the next write of the object
// with this key has passed.
func (p *proxy) awaitWrite(key string) <-chan struct{} {
	passed := make(chan struct{})
	p.mu.Lock()
	p.writes[key] = passed
	p.mu.Unlock()
	return passed
}

func (p *proxy) accept() {
	for {
		nc, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.forward(nc)
	}
}

// forward forwards one connection, request by request.
func (p *proxy) forward(gateway net.Conn) {
	defer gateway.Close()
	brick, err := net.Dial("tcp", p.brick)
	if err != nil {
		return
	}
	defer brick.Close()
	in, out := bufio.NewReader(gateway), bufio.NewReader(brick)
	for {
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		key, isObjectWrite := strings.CutPrefix(q.URL.Path, "/v1/o/")
		isObjectWrite = isObjectWrite && q.Method == "PUT"
		var text bytes.Buffer
		fmt.Fprintf(&text, "%s %s HTTP/1.1\r\n", q.Method, q.RequestURI)
		q.Header.Set("Host", q.Host)
		if q.Method != "GET" && q.Method != "HEAD" {
			q.Header.Set("Content-Length", fmt.Sprint(len(body)))
		}
		q.Header.Write(&text)
		text.WriteString("\r\n")
		text.Write(body)
		if _, err := brick.Write(text.Bytes()); err != nil {
			return
		}
		p.rec.at(time.Now(), "%s: %s %.60s, %d bytes, id %s", p.name, q.Method, q.URL.Path, len(body), q.Header.Get("Aw-Request"))
		answer, err := http.ReadResponse(out, q)
		if err != nil {
			return
		}
		answerBody, err := io.ReadAll(answer.Body)
		if err != nil {
			return
		}
		p.rec.at(time.Now(), "%s: answers %s with %d", p.name, q.Header.Get("Aw-Request"), answer.StatusCode)
		if isObjectWrite && !p.holdBack(gateway, key) {
			return
		}
		answer.Body, answer.TransferEncoding = io.NopCloser(bytes.NewReader(answerBody)), nil
		if q.Method != "HEAD" && answer.StatusCode != 204 {
			answer.ContentLength = int64(len(answerBody))
		}
		if err := answer.Write(gateway); err != nil {
			return
		}
	}
}

// holdBack holds back the answer to a write of an object. It returns false if
// the answer never goes out.
func (p *proxy) holdBack(gateway net.Conn, key string) bool {
	p.mu.Lock()
	delay, quiet := p.delay, p.quiet
	for name, passed := range p.writes {
		if strings.HasSuffix(key, name) {
			delete(p.writes, name)
			close(passed)
		}
	}
	p.mu.Unlock()
	if quiet {
		p.rec.at(time.Now(), "%s: goes quiet, the answer is not sent", p.name)
		gateway.Read(make([]byte, 1)) // until the gateway ends the connection
		return false
	}
	time.Sleep(delay)
	return true
}

// answer is what a client got.
type answer struct {
	status int // 0: none
	body   []byte
	err    error
}

// request sends one signed request (AWS Signature Version 4) and returns the
// answer. target is a path with or without a query. If leave is closed before the
// answer comes, the client closes its connection 20 ms later.
func (s *gatewaySite) request(method, target string, body []byte, leave <-chan struct{}) answer {
	path, query, _ := strings.Cut(target, "?")
	now := time.Now().UTC()
	stamp, day := now.Format("20060102T150405Z"), now.Format("20060102")
	sum := sha256.Sum256(body)
	bodyHash := hex.EncodeToString(sum[:])
	const signedHeaders = "host;x-amz-content-sha256;x-amz-date"
	canonical := strings.Join([]string{method, path, query, "host:" + s.endpoint, "x-amz-content-sha256:" + bodyHash, "x-amz-date:" + stamp, "", signedHeaders, bodyHash}, "\n")
	sum = sha256.Sum256([]byte(canonical))
	scope := strings.Join([]string{day, s.region, "s3", "aws4_request"}, "/")
	toSign := strings.Join([]string{"AWS4-HMAC-SHA256", stamp, scope, hex.EncodeToString(sum[:])}, "\n")
	key := []byte("AWS4" + s.secretKey)
	for _, part := range []string{day, s.region, "s3", "aws4_request", toSign} {
		mac := hmac.New(sha256.New, key)
		mac.Write([]byte(part))
		key = mac.Sum(nil)
	}
	nc, err := net.DialTimeout("tcp", s.endpoint, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(15 * time.Second))
	if leave != nil {
		done := make(chan struct{})
		defer close(done)
		go func() {
			select {
			case <-leave:
				time.Sleep(20 * time.Millisecond)
				nc.Close()
			case <-done:
			}
		}()
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Amz-Content-Sha256: %s\r\nX-Amz-Date: %s\r\n"+
		"Authorization: AWS4-HMAC-SHA256 Credential=%s/%s, SignedHeaders=%s, Signature=%s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n",
		method, target, s.endpoint, bodyHash, stamp, s.accessKey, scope, signedHeaders, hex.EncodeToString(key), len(body))
	if _, err := nc.Write(append([]byte(head), body...)); err != nil {
		return answer{err: err}
	}
	r, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return answer{err: err}
	}
	got, err := io.ReadAll(r.Body)
	return answer{r.StatusCode, got, err}
}
