package bench

import (
	"net/http"
	"net/http/httputil"
	"strings"
	"time"

	"arrowwalk/internal/placement"
)

// NewProxy returns the proxy that the gateway is compared with: the standard
// library's, which sends each object's requests to its brick.
func NewProxy(addresses []string) (http.Handler, error) {
	slots, err := placement.NewEven(len(addresses))
	if err != nil {
		return nil, err
	}
	return &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) {
			name := strings.TrimPrefix(r.In.URL.Path, "/")
			r.Out.URL.Scheme, r.Out.URL.Host = "http", addresses[slots.Shard(name)]
			r.Out.URL.Path = "/v1/o/" + name
			r.Out.URL.RawPath = "/v1/o/" + strings.ReplaceAll(name, "/", "%2F")
		},
		Transport: &http.Transport{MaxIdleConnsPerHost: 512, IdleConnTimeout: time.Minute, DisableCompression: true},
	}, nil
}
