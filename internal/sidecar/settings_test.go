package sidecar

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"cranehatch/internal/settings"
	"cranehatch/policy"
)

// deployment is what a sidecar must do under the settings of one file.
type deployment struct {
	settingsFile string
	tenant       string           // one of its tenants, which the other deployment does not have
	otherName    string           // a class or tenant that only the other deployment has
	wantAttempts map[string]int   // by class: how often a request that fails is sent
	objectives   map[string]int64 // by class: the latency objective in ms, the most that a server may take
	drainGrace   time.Duration
	maxAttempts  int
}

var (
	pisteDeployment = deployment{
		settingsFile: "piste.json", tenant: "low", otherName: "lock", maxAttempts: 3, drainGrace: time.Second,
		wantAttempts: map[string]int{"view": 3, "update": 3, "order": 1},
		objectives:   map[string]int64{"view": 10000, "update": 20000, "order": 30000},
	}
	deskDeployment = deployment{
		settingsFile: "desk.json", tenant: "dispatch", otherName: "update", maxAttempts: 2, drainGrace: 400 * time.Millisecond,
		wantAttempts: map[string]int{"lock": 1, "view": 1, "log": 2, "plan": 2},
		objectives:   map[string]int64{"lock": 15000, "view": 12000, "log": 11000, "plan": 13000},
	}
	// One after the other, and the first once more: state that outlives a sidecar would show.
	deploymentOrder = []deployment{pisteDeployment, deskDeployment, pisteDeployment}
)

func (d deployment) readSettings(t *testing.T) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("..", "settings", "testdata", d.settingsFile))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// useSettings replaces the settings of a test by those of the deployment.
func (d deployment) replaceSettings(t *testing.T) func(file, settings map[string]any) {
	t.Helper()
	raw := d.readSettings(t)
	return func(_, settings map[string]any) {
		clear(settings)
		if err := json.Unmarshal(raw, &settings); err != nil {
			t.Fatal(err)
		}
	}
}

// failingStubs are servers that fail every request.
func newFailingStubs(t *testing.T, n int) (stubs []*stub, addresses []string) {
	t.Helper()
	fail := func(c net.Conn, _ received) bool {
		_, err := io.WriteString(c, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	for range n {
		s := newStub(t, fail)
		stubs, addresses = append(stubs, s), append(addresses, s.address)
	}
	return stubs, addresses
}

// A sidecar that applied another deployment's settings would repeat what must not be repeated: "view" is idempotent
// in one and not in the other. Classes, idempotency, time limits and tenants are those of the file in use, whatever
// other sidecars run before or beside it in the same process.
func TestSettingsComeFromFileInUse(t *testing.T) {
	for n, d := range deploymentOrder {
		t.Run(fmt.Sprint(n, " ", d.settingsFile), func(t *testing.T) {
			stubs, addresses := newFailingStubs(t, 4)
			for class := range d.wantAttempts {
				d.checkClass(t, class, stubs, addresses)
			}
		})
	}
}

// checkClass sends a request of one class that fails, and some that are not valid in this deployment, to a sidecar of
// its own: a sidecar that has seen failures sends less.
func (d deployment) checkClass(t *testing.T, class string, stubs []*stub, addresses []string) {
	t.Helper()
	side := start(t, d.replaceSettings(t), addresses...)
	cfg := testConfig(t, listed(1, "ready"), d.replaceSettings(t))
	settings := cfg.Policy.Classes[cfg.Classes[class]]
	headers := []string{"X-Tenant-Id", d.tenant, "X-Timeout", "13000m"}
	if settings.Idempotency == policy.IdempotentByKey {
		headers = append(headers, "Idempotency-Key", "k")
	}
	method, body := methodFor[settings.Idempotency], ""
	if settings.Idempotency != policy.Idempotent {
		body = "1"
	}

	res, _ := do(t, side.request(t, method, "/"+class, body, headers...))
	if want := failureStatus(settings); res.StatusCode != want {
		t.Errorf("%s: %s, want %d", class, res.Status, want)
	}
	d.checkAttempts(t, class, stubs)

	for what, req := range map[string]*http.Request{
		"a class of another deployment":  side.request(t, "GET", "/"+d.otherName, "", "X-Tenant-Id", d.tenant),
		"a tenant of another deployment": side.request(t, method, "/"+class, body, append(headers, "X-Tenant-Id", "north")...),
		"a timeout beyond the class's":   side.request(t, method, "/"+class, body, append(headers, "X-Timeout", "700000m")...),
	} {
		if res, _ := do(t, req); res.StatusCode != http.StatusBadRequest {
			t.Errorf("%s, %s: %s, want 400", class, what, res.Status)
		}
	}
}

// failureStatus is the response to a request that all servers failed: 503, as a retry is harmless, unless the request
// may have run and would run again.
func failureStatus(class policy.Class) int {
	dedupIsPartial := class.Idempotency == policy.IdempotentByKey && class.DedupScope != policy.DedupEverywhere
	if class.Idempotency == policy.NonIdempotent || dedupIsPartial {
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// checkAttempts checks how often servers got a request of a class, and with which timeout.
func (d deployment) checkAttempts(t *testing.T, class string, stubs []*stub) {
	t.Helper()
	limit := time.Duration(min(13000, d.objectives[class])) * time.Millisecond
	sent := 0
	for _, s := range stubs {
		for len(s.seen) > 0 {
			r := <-s.seen
			sent++
			if timeout, ok := parseTimeout(r.Header.Get("X-Timeout")); !ok || timeout > limit {
				t.Errorf("%s: a server may take %v, want %v at most", class, timeout, limit)
			}
		}
	}
	if want := d.wantAttempts[class]; sent != want {
		t.Errorf("%s: sent %d times, want %d", class, sent, want)
	}
}

// So are limits, the tenants' shares and what else the policy is given.
func TestLimitsComeFromFileInUse(t *testing.T) {
	for n, d := range deploymentOrder {
		t.Run(fmt.Sprint(n, " ", d.settingsFile), func(t *testing.T) {
			cfg := testConfig(t, listed(1, "ready", "127.0.0.1:1"), d.replaceSettings(t))
			s, err := settings.ParseJSON(d.readSettings(t))
			if err != nil {
				t.Fatal(err)
			}
			if p := cfg.Policy; p.MaxAttempts != d.maxAttempts || cfg.DrainGrace != d.drainGrace || float64(cfg.MaxInFlight) != s.Number("caps.max_open") ||
				cfg.ServerIdleTimeout != s.Duration("caps.conn_idle_ms") || cfg.DialTimeout != s.Duration("caps.dial_timeout_ms") ||
				p.MaxRetryAfter != s.Duration("caps.max_retry_after_ms") || p.PollsEndpoints != (s.Text("discovery") == "ask") ||
				p.CrossZoneCost != s.Number("charges.cross_zone") || len(cfg.Tenants) != s.Count("orgs.count") {
				t.Errorf("config %+v", cfg)
			}
			checkSlotsFollowWeights(t, cfg)
		})
	}
}

// checkSlotsFollowWeights checks that no tenant has fewer slots than one of a smaller weight.
func checkSlotsFollowWeights(t *testing.T, cfg *Config) {
	t.Helper()
	l := newTestLoopFor(t, cfg)
	for i, tenant := range cfg.Policy.Tenants {
		for j, other := range cfg.Policy.Tenants {
			if tenant.Weight > other.Weight && l.balancer.FreeSlots(i) < l.balancer.FreeSlots(j) {
				t.Errorf("weight %v has %d slots, weight %v has %d",
					tenant.Weight, l.balancer.FreeSlots(i), other.Weight, l.balancer.FreeSlots(j))
			}
		}
	}
}
