package sidecarbench

import (
	"net/http"
	"strconv"
	"strings"
)

// startServers starts the stand-ins for servers. Each responds with a body of responseBodyBytes after
// ServiceTime. With a ServiceTime of 0, the latency of a request is that of its transport.
func (s *standInRunner) startServers() ([]string, error) {
	var addresses []string
	for _, address := range s.config.Addresses {
		bound, err := s.listen(address, s.serverHandler())
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, bound)
	}
	return addresses, nil
}

// serverHandler returns the handler of a server. Only requests with a request ID are counted.
func (s *standInRunner) serverHandler() http.Handler {
	body := []byte(strings.Repeat("x", responseBodyBytes))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Request-Id") != "" {
			s.counters.requests.Add(1)
		}
		if err := wait(r.Context(), s.config.ServiceTime); err != nil {
			return // the client has disconnected
		}
		w.Header().Set("Content-Type", "application/octet-stream")
		w.Header().Set("Content-Length", strconv.Itoa(responseBodyBytes))
		_, _ = w.Write(body) // fails if the client has disconnected
	})
}
